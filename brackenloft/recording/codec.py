"""Lines of a recording: events, actions and settings as JSON and back (msgspec)."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, BinaryIO, get_args

import msgspec

from brackenloft import Gateway
from brackenloft import interface as api

HEAD = b'["brackenloft recording",1]'
EVENTS: dict[str, type] = {item.__name__: item for item in get_args(api.Event)}


class RecordingError(Exception):
    """What is read is no recording; the message names the line, counted from 1."""


class Recorder:
    """Writes gateways' events and actions to a file that is open for writing bytes."""

    def __init__(self, sink: BinaryIO) -> None:
        self.sink, self.events = sink, 0
        self._line(HEAD)

    def open(self, name: str, settings: api.Settings, seed: int) -> Recorded:
        """A gateway of this name whose events are recorded. One opened again begins anew."""
        self._line(msgspec.json.encode(["open", name, seed, settings]))
        return Recorded(Gateway(settings, seed), name, self)

    def event(self, name: str, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Write one event with all that it gave rise to."""
        self.events += 1
        rows = [[type(action).__name__, action] for action in actions]
        self._line(msgspec.json.encode(["event", name, now_ms, type(event).__name__, event, rows]))

    def close(self) -> None:
        """Write the end. The file stays open."""
        self._line(msgspec.json.encode(["end", self.events]))
        self.sink.flush()

    def _line(self, line: bytes) -> None:
        self.sink.write(line + b"\n")


class Recorded:
    """A gateway's ``handle``, recorded."""

    def __init__(self, gateway: Gateway, name: str, recorder: Recorder) -> None:
        self.gateway, self.name, self.recorder = gateway, name, recorder

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """As ``Gateway.handle``."""
        actions = self.gateway.handle(now_ms, event)
        self.recorder.event(self.name, now_ms, event, actions)
        return actions


@dataclass(slots=True)
class Played:
    """What a comparison found. ``difference`` names line, event and both lists of actions."""

    events: int = 0
    actions: int = 0
    whole: bool = False
    difference: str = ""

    @property
    def same(self) -> bool:
        """Whether every event of a whole recording gave the same actions."""
        return self.whole and not self.difference


def play(lines: Iterator[bytes]) -> Played:
    """Feed a recording's events to the decisions and compare, up to the first difference.

    A last line that is torn, or a missing ``end``, leaves ``whole`` false: what came before is compared all
    the same. Raises RecordingError for what is no recording, or is torn anywhere else.
    """
    played, gateways = Played(), dict[str, Gateway]()
    if next(lines, b"").rstrip(b"\n") != HEAD:
        raise RecordingError("line 1: not the head of a recording")
    for number, line in enumerate(lines, 2):
        if not line.endswith(b"\n"):
            return played  # cut off in the middle of a line
        try:
            _line(played, gateways, number, msgspec.json.decode(line))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            raise RecordingError(f"line {number}: {type(error).__name__}: {error}") from None
        if played.whole or played.difference:
            return played
    return played


def _line(played: Played, gateways: dict[str, Gateway], number: int, row: list[Any]) -> None:
    match row:
        case ["open", name, seed, settings]:
            gateways[name] = Gateway(msgspec.convert(settings, api.Settings), seed)
        case ["event", name, now_ms, kind, event, recorded]:
            actions = gateways[name].handle(now_ms, msgspec.convert(event, EVENTS[kind]))
            rows = [[type(action).__name__, action] for action in actions]
            found = msgspec.json.decode(msgspec.json.encode(rows))  # as it was written: inf is null
            played.events, played.actions = played.events + 1, played.actions + len(found)
            if found != recorded:
                played.difference = f"line {number}: {kind} at {now_ms}: recorded {recorded}, now {found}"
        case ["end", count]:
            if count != played.events:
                raise ValueError(f"{played.events} events, the end says {count}")
            played.whole = True
        case _:
            raise ValueError(f"{str(row)[:80]} is no line of a recording")
