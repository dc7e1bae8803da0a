"""A rollout's journal: a file of checksummed records.

A record is synced to disk before the action that it announces begins. One that is cut off or damaged counts
as absent, with all after it. One controller holds the journal at a time, by a lock on the file. Each has a
token above those of all controllers before it, so that gateways can reject an earlier controller that was
thought dead.
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

from quota_gateway.errors import RolloutError
from quota_gateway.rollout.journal_records import ControllerStarted, JournalRecord
from quota_gateway.rollout.rollout_state import RolloutState

HEADER = struct.Struct("<II")  # length and CRC-32 of the record that follows
MAX_RECORD_BYTES = 4 * 1024 * 1024


class JournalError(RolloutError):
    """The journal is held by another controller, is not a journal, or can't take a record."""


def records(data: bytes) -> Iterator[tuple[int, JournalRecord]]:
    """The records of a journal, each with the offset of its end, up to the first incomplete or damaged one.

    Raises:
        JournalError: a complete record is of no kind that this program knows.
    """
    decoder = msgspec.json.Decoder(JournalRecord)
    offset = 0
    while offset + HEADER.size <= len(data):
        length, checksum = HEADER.unpack_from(data, offset)
        body = data[offset + HEADER.size : offset + HEADER.size + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            return
        offset += HEADER.size + length
        try:
            yield offset, decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise JournalError(f"the journal has a record of no known kind: {error}") from None


def read(path: Path) -> RolloutState:
    """Read the present state from a journal, without holding it.

    Raises:
        OSError: the file can't be read.
        JournalError: it is not a journal.
    """
    state = RolloutState()
    for _, record in records(path.read_bytes()):
        state.apply(record)
    return state


class Journal:
    """A journal that this process holds: locked, cut to its complete records, with a token of its own."""

    def __init__(self, path: Path, clock: Callable[[], float] = time.time) -> None:
        """Open or create the journal, lock it, and record this controller's token.

        Args:
            path: the journal's file.
            clock: returns the Unix time in seconds.

        Raises:
            OSError: the file can't be opened or written.
            JournalError: another controller holds it, or it is not a journal.
        """
        self.clock = clock
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            self._lock(path)
            self.state = RolloutState()
            self._replay(path)
            _sync_folder(path.parent)
            self.write(ControllerStarted(clock(), self._next_token()))
        except BaseException:
            os.close(self.file)
            raise

    def _lock(self, path: Path) -> None:
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise JournalError(f"{path}: another controller holds it") from None

    def _replay(self, path: Path) -> None:
        """Compute the state from the complete records, and truncate the file behind them."""
        end = 0
        for record_end, record in records(path.read_bytes()):
            self.state.apply(record)
            end = record_end
        os.ftruncate(self.file, end)
        os.lseek(self.file, end, os.SEEK_SET)

    def _next_token(self) -> int:
        """A number above the last token, and by the Unix time in ms also above other journals' tokens."""
        return max(self.state.token + 1, int(1000.0 * self.clock()))

    def write(self, record: JournalRecord) -> None:
        """Append a record; it is on disk when this returns.

        Raises:
            OSError: it can't be written.
            JournalError: the record is too long.
        """
        body = msgspec.json.encode(record)
        if len(body) > MAX_RECORD_BYTES:
            raise JournalError("a journal record is too long to be written")
        data = memoryview(HEADER.pack(len(body), zlib.crc32(body)) + body)
        while data:
            data = data[os.write(self.file, data) :]
        os.fsync(self.file)
        self.state.apply(record)

    def close(self) -> None:
        """Close the journal's file, which releases the lock."""
        os.close(self.file)


def _sync_folder(folder: Path) -> None:
    """Sync the folder, so that the entry of a new journal in it survives a crash."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
