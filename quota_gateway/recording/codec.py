"""Lines of a recording: events, actions and settings as JSON and back (msgspec)."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, BinaryIO, NamedTuple, get_args

import msgspec

from quota_gateway import Gateway, api
from quota_gateway.compatibility import RECORDING_HEAD
from quota_gateway.recording.names import from_recorded, recorded_name, to_recorded

HEAD = RECORDING_HEAD
EVENTS: dict[str, type] = {recorded_name(item): item for item in get_args(api.Event)}


class RecordingError(Exception):
    """What is read is no recording; the message names the line, counted from 1."""


def named(actions: Sequence[api.Action]) -> list[list[Any]]:
    """Actions as they are written, each with the name of its type."""
    return [[recorded_name(type(action)), to_recorded(action)] for action in actions]


class Recorder:
    """Writes gateways' events and actions to a file that is open for writing bytes."""

    def __init__(self, sink: BinaryIO) -> None:
        self.sink = sink
        self.events = 0
        self._line(HEAD)

    def open(self, name: str, settings: api.Settings, seed: int) -> Recorded:
        """A gateway of this name whose events are recorded. One opened again begins anew."""
        self._line(msgspec.json.encode(["open", name, seed, to_recorded(settings)]))
        return Recorded(Gateway(settings, seed), name, self)

    def event(self, name: str, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Write one event with all that it gave rise to."""
        self.events += 1
        row = ["event", name, now_ms, recorded_name(type(event)), to_recorded(event), named(actions)]
        self._line(msgspec.json.encode(row))

    def close(self) -> None:
        """Write the end. The file stays open."""
        self._line(msgspec.json.encode(["end", self.events]))
        self.sink.flush()

    def _line(self, line: bytes) -> None:
        self.sink.write(line + b"\n")


class Recorded:
    """A gateway's ``handle``, recorded."""

    def __init__(self, gateway: Gateway, name: str, recorder: Recorder) -> None:
        self.gateway = gateway
        self.name = name
        self.recorder = recorder

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


class Step(NamedTuple):
    """One recorded event, with its gateway as it stands, and the actions as they were written."""

    line: int  # counted from 1
    gateway: Gateway
    now_ms: float
    event: api.Event
    recorded: list[Any]


class Recording:
    """A recording's events in order. ``whole`` once its end was met: a torn last line leaves it false."""

    def __init__(self, lines: Iterator[bytes]) -> None:
        self.lines = lines
        self.whole = False
        self.events = 0
        self.gateways: dict[str, Gateway] = {}

    def steps(self) -> Iterator[Step]:
        """Each event. Raises RecordingError for what is no recording, or is torn before its last line."""
        if next(self.lines, b"").rstrip(b"\n") != HEAD:
            raise RecordingError("line 1: not the head of a recording")
        for number, line in enumerate(self.lines, 2):
            if not line.endswith(b"\n"):
                return  # cut off in the middle of a line
            with told(number):
                step = self._read(number, msgspec.json.decode(line))
            if step:
                yield step
            if self.whole:
                return

    def _read(self, number: int, row: list[Any]) -> Step | None:
        match row:
            case ["open", name, seed, settings]:
                self.gateways[name] = Gateway(from_recorded(settings, api.Settings), seed)
            case ["event", name, now_ms, kind, event, recorded]:
                self.events += 1
                made: api.Event = from_recorded(event, EVENTS[kind])
                return Step(number, self.gateways[name], now_ms, made, recorded)
            case ["end", count]:
                if count != self.events:
                    raise ValueError(f"{self.events} events, the end says {count}")
                self.whole = True
            case _:
                raise ValueError(f"{str(row)[:80]} is no line of a recording")
        return None


@contextmanager
def told(number: int) -> Iterator[None]:
    """Whatever is wrong with a line becomes a RecordingError that names it."""
    try:
        yield
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise RecordingError(f"line {number}: {type(error).__name__}: {error}") from None


def play(lines: Iterator[bytes]) -> Played:
    """Feed a recording's events to the decisions and compare, up to the first difference.

    What is cut off is compared as far as it goes, and is not ``whole``. Raises RecordingError, as
    ``Recording.steps``.
    """
    played = Played()
    recording = Recording(lines)
    for step in recording.steps():
        with told(step.line):
            actions = step.gateway.handle(step.now_ms, step.event)
        found = msgspec.json.decode(msgspec.json.encode(named(actions)))  # as it was written: inf is null
        played.events = recording.events
        played.actions = played.actions + len(found)
        if found != step.recorded:
            where = f"line {step.line}: {type(step.event).__name__} at {step.now_ms}"
            played.difference = f"{where}: recorded {step.recorded}, now {found}"
            return played
    played.whole = recording.whole
    return played
