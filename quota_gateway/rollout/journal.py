"""The controller's memory on disk: records that are whole or not there, synced before each effect.

One holder at a time, by a lock on the file; each holder has a token that is higher than all before it, so
that doors can refuse one that was thought dead.
"""

from __future__ import annotations

import fcntl
import os
import struct
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
from msgspec import Struct

from quota_gateway.rollout.canary_analysis import Before

HEAD = struct.Struct("<II")  # length and CRC-32 of what follows
LONGEST = 4 * 1024 * 1024  # bytes of a record


class JournalError(Exception):
    """Held by another, or none of this program's."""


class Record(Struct, tag_field="is", frozen=True, omit_defaults=True):
    """Something decided or done, at a Unix time."""

    at: float


class Begun(Record, tag="begun", frozen=True):
    """The first: of which plan; what each member has before and is to have after: digests of settings, or the
    doors of its processes.
    """

    plan: str
    fingerprint: str
    stages: list[list[str]]
    before: dict[str, str]
    after: dict[str, str]


class Held(Record, tag="held", frozen=True):
    """A controller holds the journal from here on."""

    token: int


class Baseline(Record, tag="baseline", frozen=True):
    """What all members did before a stage began, as the judge counts it."""

    stage: int
    measured: Before


class Changing(Record, tag="changing", frozen=True):
    """A member is about to be changed, or (``back``) to be changed back."""

    member: str
    back: bool = False


class Changed(Record, tag="changed", frozen=True):
    """It is, with the process that it runs as; a member that can't be is given up by name."""

    member: str
    back: bool = False
    given_up: bool = False
    pid: int = 0


class Judged(Record, tag="judged", frozen=True):
    """A stage is good, and is about to be confirmed."""

    stage: int
    why: str


class Confirmed(Record, tag="confirmed", frozen=True):
    """All members of a stage keep the change."""

    stage: int


class Halted(Record, tag="halted", frozen=True):
    """Paused until somebody says how to go on."""

    why: str


class Resumed(Record, tag="resumed", frozen=True):
    """Goes on; the stage is watched anew."""


class Turned(Record, tag="turned", frozen=True):
    """All that was changed goes back."""

    why: str


class Ended(Record, tag="ended", frozen=True):
    """It is over: done, or back."""

    outcome: str


Any = Begun | Held | Baseline | Changing | Changed | Judged | Confirmed | Halted | Resumed | Turned | Ended


class State:
    """What a journal's records come to."""

    def __init__(self) -> None:
        self.begun: Begun | None = None
        self.token = 0
        self.stage = 0  # at which it is
        self.touched: list[str] = []  # members whose change has begun, in order
        self.returning: set[str] = set()  # members whose way back has begun
        self.changed: dict[str, int] = {}  # those that have it, with their processes
        self.back: dict[str, bool] = {}  # those that are back; false: given up
        self.baseline: dict[int, Before] = {}  # by stage
        self.judged = -1  # the last stage that was found good
        self.halted = self.turned = self.outcome = ""
        self.history: list[Any] = []

    def take(self, record: Any) -> None:
        """The next record."""
        self.history.append(record)
        match record:
            case Begun():
                self.begun = record
            case Held(token=token):
                self.token = token
            case Changing(member=member, back=True):
                self.returning.add(member)
            case Changing(member=member):
                self._changing(member)
            case Changed():
                self._changed(record)
            case Halted(why=why):
                self.halted = why
            case Resumed():
                self.halted = ""
            case _:
                self._stage(record)

    def _stage(self, record: Any) -> None:
        match record:
            case Baseline(stage=stage, measured=measured):
                self.baseline[stage] = measured
            case Judged(stage=stage):
                self.judged = stage
            case Confirmed(stage=stage):
                self.stage = stage + 1
            case Turned(why=why):
                self.turned = why
                self.halted = ""
            case Ended(outcome=outcome):
                self.outcome = outcome

    def _changing(self, member: str) -> None:
        self.judged = min(self.judged, self.stage - 1)  # whoever is changed again is watched again
        self.changed.pop(member, None)
        if member not in self.touched:
            self.touched.append(member)

    def _changed(self, record: Changed) -> None:
        if record.back:
            self.back[record.member] = not record.given_up
            self.changed.pop(record.member, None)
        else:
            self.changed[record.member] = record.pid


def records(raw: bytes) -> Iterator[tuple[int, Any]]:
    """The whole records of a journal and where each ends; stops at the first that is torn."""
    decoder = msgspec.json.Decoder(Any)
    at = 0
    while at + HEAD.size <= len(raw):
        length, checksum = HEAD.unpack_from(raw, at)
        body = raw[at + HEAD.size : at + HEAD.size + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            return
        at += HEAD.size + length
        try:
            yield at, decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise JournalError(f"no journal of this program's: {error}") from None


def read(path: Path) -> State:
    """What a journal says now, without holding it. Raises OSError or JournalError."""
    state = State()
    for _, record in records(path.read_bytes()):
        state.take(record)
    return state


class Journal:
    """A journal that is held: locked, cut to its whole records, with a token of its own."""

    def __init__(self, path: Path, clock: Callable[[], float] = time.time) -> None:
        """Raises OSError, or JournalError where another holds it."""
        self.clock = clock
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.file)
            raise JournalError(f"{path}: another controller holds it") from None
        try:
            self.state = State()
            end = 0
            for end, record in records(path.read_bytes()):  # noqa: B007
                self.state.take(record)
            os.ftruncate(self.file, end)
            os.lseek(self.file, end, os.SEEK_SET)
            self._sync_folder(path.parent)
            # Also higher than that of a rollout with another journal that began before this one.
            self.write(Held(clock(), max(self.state.token + 1, int(1000.0 * clock()))))
        except BaseException:
            os.close(self.file)
            raise

    def _sync_folder(self, folder: Path) -> None:
        place = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(place)
        finally:
            os.close(place)

    def write(self, record: Any) -> None:
        """On disk when this returns, whole."""
        body = msgspec.json.encode(record)
        if len(body) > LONGEST:
            raise JournalError("a record too long")
        data = memoryview(HEAD.pack(len(body), zlib.crc32(body)) + body)
        while data:
            data = data[os.write(self.file, data) :]
        os.fsync(self.file)
        self.state.take(record)

    def close(self) -> None:
        """Let go of it."""
        os.close(self.file)
