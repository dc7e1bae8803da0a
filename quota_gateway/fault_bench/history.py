"""What clients, servers, discovery and the rig itself saw, as JSON lines; the referee reads nothing else.

Times are milliseconds since the rig's beginning, by one clock for all.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
from msgspec import Struct

from quota_gateway.fault_bench.scenario import Scenario

HELD = 64 * 1024  # bytes before they are written


class Record(Struct, tag_field="what", frozen=True, omit_defaults=True):
    """Something that was seen at a time."""

    t: float


class Header(Record, tag="rig", frozen=True):
    """The first record."""

    seed: int
    scenario: Scenario


class Asked(Record, tag="asked", frozen=True):
    """A client begins to write a request; latency counts from the ``intended`` moment."""

    id: str
    wish: str
    gateway: str
    kind: str
    plan: str
    customer: str
    intended: float
    deadline: float
    key: str = ""
    units: float = 1.0


class Resent(Record, tag="resent", frozen=True):
    """The connection ended first, and its client writes the request once more, on a new one."""

    id: str


class Answered(Record, tag="answered", frozen=True):
    """How a request ended.

    ok, busy, error: by its reply; cut: the connection ended first; none: nothing came until well after its
    deadline; unheard: nobody accepted the connection; foreign: a value that is not this request's.
    """

    id: str
    how: str


class Extra(Record, tag="extra", frozen=True):
    """An answer that nobody had asked for, on a client's connection."""

    gateway: str


class Arrived(Record, tag="arrived", frozen=True):
    """A server has an attempt's last byte. ``work``: ms of a core of speed 1."""

    id: str
    number: int
    server: str
    gateway: str
    work: float


class Left(Record, tag="left", frozen=True):
    """An attempt has ended at its server; ``status`` as in the decisions' interface."""

    id: str
    number: int
    status: str


class ServerIs(Record, tag="server", frozen=True):
    """A server's state, as it is from now on."""

    server: str
    zone: str
    state: str
    started: float
    speed: float


class Told(Record, tag="told", frozen=True):
    """Discovery has written a server's state to a gateway."""

    gateway: str
    server: str
    state: str


class Process(Record, tag="process", frozen=True):
    """A gateway's process: started, ready, ended (with its exit code, below 0 for a signal)."""

    gateway: str
    pid: int
    state: str
    code: int = 0


class Act(Record, tag="act", frozen=True):
    """A step of the timeline is carried out, or undone."""

    number: int
    do: str
    on: list[str]
    undone: bool = False
    said: str = ""


class Late(Record, tag="late", frozen=True):
    """The rig's own loop was late by so much: a machine with too much to do."""

    by: float


Any = Header | Asked | Resent | Answered | Extra | Arrived | Left | ServerIs | Told | Process | Act | Late


class History:
    """Writes records, in the order of their times."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._file = path.open("wb")
        self._encoder = msgspec.json.Encoder()
        self._held = bytearray()

    def add(self, record: Any) -> None:
        """Write, or hold for a while; nothing once it is closed."""
        if self._file.closed:
            return
        self._held += self._encoder.encode(record) + b"\n"
        if len(self._held) >= HELD:
            self.flush()

    def flush(self) -> None:
        """Write what is held."""
        self._file.write(self._held)
        self._file.flush()
        self._held.clear()

    def close(self) -> None:
        """At the end; once is enough."""
        if not self._file.closed:
            self.flush()
            self._file.close()


def read(path: Path) -> Iterator[Any]:
    """The records of a file; a last line that was cut off is passed over. Raises msgspec.MsgspecError."""
    decoder = msgspec.json.Decoder(Any)
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
