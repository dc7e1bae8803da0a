"""Writes, reads and replays recordings of version 1, with events, actions and settings as JSON.

The first line is the head. Each further line is a JSON array: ``["open", gateway, seed, settings]``,
``["event", gateway, now_ms, type, event, actions]`` or, at the end, ``["end", events]``.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, BinaryIO, get_args

import msgspec

from quota_gateway import Gateway, api
from quota_gateway.compatibility import RECORDING_HEAD
from quota_gateway.errors import GatewayError
from quota_gateway.recording.names import from_recorded, recorded_name, to_recorded

EVENT_TYPES: dict[str, type] = {recorded_name(event_type): event_type for event_type in get_args(api.Event)}


class RecordingError(GatewayError):
    """A file is no recording, or is damaged before its last line; the message gives the line, from 1."""


def recorded_actions(actions: Sequence[api.Action]) -> list[list[Any]]:
    """Actions as they are written, each with the name of its type."""
    return [[recorded_name(type(action)), to_recorded(action)] for action in actions]


class Recorder:
    """Writes gateways' events and actions to a file that is open for writing bytes."""

    def __init__(self, sink: BinaryIO) -> None:
        self.sink = sink
        self.events = 0
        self._write_line(RECORDING_HEAD)

    def open(self, name: str, settings: api.Settings, seed: int) -> RecordedGateway:
        """Create a gateway whose events are recorded under this name. A name used again begins anew."""
        self._write_line(msgspec.json.encode(["open", name, seed, to_recorded(settings)]))
        return RecordedGateway(Gateway(settings, seed), name, self)

    def event(self, name: str, now_ms: float, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Write one event with the actions that the gateway returned for it."""
        self.events += 1
        type_name = recorded_name(type(event))
        row = ["event", name, now_ms, type_name, to_recorded(event), recorded_actions(actions)]
        self._write_line(msgspec.json.encode(row))

    def close(self) -> None:
        """Write the ``end`` line. The file stays open."""
        self._write_line(msgspec.json.encode(["end", self.events]))
        self.sink.flush()

    def _write_line(self, line: bytes) -> None:
        self.sink.write(line + b"\n")


class RecordedGateway:
    """A gateway whose events are recorded."""

    def __init__(self, gateway: Gateway, name: str, recorder: Recorder) -> None:
        self.gateway = gateway
        self.name = name
        self.recorder = recorder

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """As ``Gateway.handle``."""
        actions = self.gateway.handle(now_ms, event)
        self.recorder.event(self.name, now_ms, event, actions)
        return actions


@dataclass(frozen=True, slots=True)
class Step:
    """One recorded event, the gateway in its state before the event, and the recorded actions."""

    line: int  # counted from 1
    gateway: Gateway
    now_ms: float
    event: api.Event
    recorded_actions: list[Any]


class Recording:
    """A recording's events in order; complete once its ``end`` line was read."""

    def __init__(self, lines: Iterator[bytes]) -> None:
        self.lines = lines
        self.is_complete = False
        self.events = 0
        self.gateways: dict[str, Gateway] = {}

    def steps(self) -> Iterator[Step]:
        """Each event, up to a last line that is cut off. Raises RecordingError for any other damage."""
        if next(self.lines, b"").rstrip(b"\n") != RECORDING_HEAD:
            raise RecordingError("line 1: not the head of a recording")
        for number, line in enumerate(self.lines, 2):
            if not line.endswith(b"\n"):
                return  # cut off in the middle of a line
            with _errors_of_line(number):
                step = self._read(number, msgspec.json.decode(line))
            if step:
                yield step
            if self.is_complete:
                return

    def _read(self, number: int, row: list[Any]) -> Step | None:
        """The event of a line; None for the other kinds of lines. Raises what ``_errors_of_line`` maps."""
        match row:
            case ["open", name, seed, settings]:
                self.gateways[name] = Gateway(from_recorded(settings, api.Settings), seed)
            case ["event", name, now_ms, type_name, recorded_event, actions]:
                self.events += 1
                event: api.Event = from_recorded(recorded_event, EVENT_TYPES[type_name])
                return Step(number, self.gateways[name], now_ms, event, actions)
            case ["end", count]:
                if count != self.events:
                    raise ValueError(f"{self.events} events before the end line, which says {count}")
                self.is_complete = True
            case _:
                raise ValueError(f"{str(row)[:80]} is not a line of a recording")
        return None


@contextmanager
def _errors_of_line(number: int) -> Iterator[None]:
    """Convert an error in a line to a RecordingError with the line's number."""
    try:
        yield
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        # not JSON; an unknown gateway or type; a field too many; a value that the settings reject
        raise RecordingError(f"line {number}: {type(error).__name__}: {error}") from None


@dataclass(slots=True)
class Comparison:
    """Result of replaying a recording. ``difference`` names the line, the event and both lists of actions."""

    events: int = 0
    actions: int = 0
    is_complete: bool = False
    difference: str = ""

    @property
    def is_same(self) -> bool:
        """Whether every event of a complete recording gave the same actions."""
        return self.is_complete and not self.difference


def play(lines: Iterator[bytes]) -> Comparison:
    """Feed a recording's events to its gateways and compare the actions, up to the first difference.

    A recording that is cut off is compared as far as it goes, and is not complete. Raises RecordingError as
    ``Recording.steps`` does.
    """
    comparison = Comparison()
    recording = Recording(lines)
    for step in recording.steps():
        with _errors_of_line(step.line):
            actions = step.gateway.handle(step.now_ms, step.event)
        # encoded and decoded as in the recording, where an infinite number is null
        actual = msgspec.json.decode(msgspec.json.encode(recorded_actions(actions)))
        comparison.events = recording.events
        comparison.actions += len(actual)
        if actual != step.recorded_actions:
            where = f"line {step.line}: {type(step.event).__name__} at {step.now_ms}"
            comparison.difference = f"{where}: recorded {step.recorded_actions}, now {actual}"
            return comparison
    comparison.is_complete = recording.is_complete
    return comparison
