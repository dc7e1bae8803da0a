"""The connections' record: rows in shared memory that outlives its writer, each complete or absent.

One process writes, without a system call; its successor reads after its end. What finds no free row is not
protected, and counted. Who may go on with the record is settled by a claim: its number grows with each
holder, and nobody gets one while the holder before may live.

The layout is that of all versions since the first: a header, the claim, then the rows; claim and rows are
double buffers.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from quota_gateway.errors import GatewayError

MAGIC = b"blwork\0\0"
VERSION = 1
HEADER = struct.Struct("<8sIII")  # magic, version, rows, bytes of a row's body
BUFFER_HEADER = struct.Struct("<QII")  # sequence number, length, checksum of both and of the body
CLAIM_BODY = struct.Struct("<QQQ")  # number, process id, when that process started
CLAIM_OFFSET = 64
ROWS_OFFSET = 256
MAX_ROWS = 65_536
MAX_BODY_BYTES = 1024 * 1024
NO_ROW = -1
NO_CLAIM = 0
ENDED_STATES = ("Z", "X")  # of a process, as /proc has them: zombie, dead


class ConnectionRecordError(GatewayError):
    """No record, or one of another version; nothing of it can be used."""


class DoubleBuffer:
    """A value in shared memory that is replaced as a whole.

    Guards against a writer that is killed in the middle of a store, which would leave a mixture of two
    values. Holds because two buffers are written in turn, each with a growing number and a checksum: the one
    that holds the value is never touched, and a torn one does not match its checksum.
    """

    __slots__ = ("memory", "offset", "max_body_bytes", "sequence")

    def __init__(self, memory: mmap.mmap, offset: int, max_body_bytes: int) -> None:
        self.memory = memory
        self.offset = offset
        self.max_body_bytes = max_body_bytes
        self.sequence = max((sequence for sequence, _ in self._complete_buffers()), default=0)

    def _buffer_offset(self, sequence: int) -> int:
        return self.offset + (sequence & 1) * (BUFFER_HEADER.size + self.max_body_bytes)

    def _complete_buffers(self) -> Iterator[tuple[int, bytes]]:
        """Sequence number and body of each buffer that is not torn."""
        for offset in (self._buffer_offset(0), self._buffer_offset(1)):
            sequence, length, checksum = BUFFER_HEADER.unpack_from(self.memory, offset)
            if not sequence or length > self.max_body_bytes or self._buffer_offset(sequence) != offset:
                continue
            start = offset + BUFFER_HEADER.size
            body = bytes(self.memory[start : start + length])
            if checksum == _checksum(sequence, body):
                yield sequence, body

    def read(self) -> bytes:
        """The value that was written last; empty where there was none."""
        _, body = max(self._complete_buffers(), default=(0, b""))
        return body

    def write(self, body: bytes) -> None:
        """Replace the value."""
        self.sequence += 1
        offset = self._buffer_offset(self.sequence)
        start = offset + BUFFER_HEADER.size
        self.memory[start : start + len(body)] = body
        self.memory[offset:start] = BUFFER_HEADER.pack(
            self.sequence, len(body), _checksum(self.sequence, body)
        )


def _checksum(sequence: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(b"%d %d" % (sequence, len(body))))


@dataclass(frozen=True, slots=True)
class Claim:
    """Who may go on with the record; a number and a process of 0 before the first.

    Attributes:
        number: grows with each holder.
        pid: the holder's process.
        started_ticks: when that process started, see `started_ticks`.
    """

    number: int
    pid: int
    started_ticks: int


class ConnectionRecord:
    """Rows in a memory file, by its descriptor, which stays the caller's."""

    def __init__(self, file: int, memory: mmap.mmap) -> None:
        """Use a record. Raises ConnectionRecordError where it is none of this version."""
        self.file = file
        self.memory = memory
        magic, version, row_count, max_body_bytes = HEADER.unpack_from(memory, 0)
        if magic != MAGIC or version != VERSION:
            raise ConnectionRecordError("no record of this version's")
        if not _is_valid_size(row_count, max_body_bytes) or len(memory) < record_bytes(
            row_count, max_body_bytes
        ):
            raise ConnectionRecordError("a record that breaks off")
        self.max_body_bytes = max_body_bytes
        row_bytes = 2 * (BUFFER_HEADER.size + max_body_bytes)
        self.rows = [
            DoubleBuffer(memory, ROWS_OFFSET + row * row_bytes, max_body_bytes) for row in range(row_count)
        ]
        self.free_rows = [row for row in range(row_count - 1, -1, -1) if not self.rows[row].read()]
        self.unprotected = 0  # bodies that found no room

    @classmethod
    def create(cls, file: int, row_count: int, max_body_bytes: int) -> ConnectionRecord:
        """Make an empty record in an empty memory file (``os.memfd_create``)."""
        if not _is_valid_size(row_count, max_body_bytes):
            raise ConnectionRecordError(f"{row_count} rows of {max_body_bytes} bytes")
        size_bytes = record_bytes(row_count, max_body_bytes)
        os.ftruncate(file, size_bytes)
        memory = mmap.mmap(file, size_bytes)
        memory[: HEADER.size] = HEADER.pack(MAGIC, VERSION, row_count, max_body_bytes)
        return cls(file, memory)

    @classmethod
    def open(cls, file: int) -> ConnectionRecord:
        """Use a record that another process has written. Raises ConnectionRecordError or OSError."""
        size_bytes = os.fstat(file).st_size
        if size_bytes < ROWS_OFFSET:
            raise ConnectionRecordError("a record that breaks off")
        return cls(file, mmap.mmap(file, size_bytes))

    # ---- Rows

    def add_row(self, body: bytes) -> int:
        """Write a new row; its number, or `NO_ROW` where there is no room, which is counted."""
        if not self.free_rows or not 0 < len(body) <= self.max_body_bytes:
            self.unprotected += 1
            return NO_ROW
        row = self.free_rows.pop()
        self.rows[row].write(body)
        return row

    def replace_row(self, row: int, body: bytes) -> bool:
        """Replace a row's body; false where it is too long: then the row is freed, and that is counted."""
        if len(body) > self.max_body_bytes:
            self.unprotected += 1
            self.free_row(row)
            return False
        self.rows[row].write(body)
        return True

    def free_row(self, row: int) -> None:
        """Free a row whose connection has ended."""
        self.rows[row].write(b"")
        self.free_rows.append(row)

    def read_rows(self) -> dict[int, bytes]:
        """The bodies of all rows in use, by row."""
        bodies = {row: buffer.read() for row, buffer in enumerate(self.rows)}
        return {row: body for row, body in bodies.items() if body}

    # ---- Claims

    def claim(self) -> int:
        """Claim the record: a number above all before it, or `NO_CLAIM` while the holder may live."""
        with self._lock():
            buffer = self._claim_buffer()
            held = _decode_claim(buffer)
            if held.pid and not has_ended(held.pid, held.started_ticks):
                return NO_CLAIM
            pid = os.getpid()
            number = held.number + 1
            buffer.write(CLAIM_BODY.pack(number, pid, started_ticks(pid) or 0))
            return number

    def holder(self) -> Claim:
        """The latest claim."""
        return _decode_claim(self._claim_buffer())

    def _claim_buffer(self) -> DoubleBuffer:
        """The claim as it stands now: other processes write it, too."""
        return DoubleBuffer(self.memory, CLAIM_OFFSET, CLAIM_BODY.size)

    @contextmanager
    def _lock(self) -> Iterator[None]:
        """Admit one process at a time; the kernel unlocks if it dies within."""
        fcntl.lockf(self.file, fcntl.LOCK_EX)
        try:
            yield
        finally:
            fcntl.lockf(self.file, fcntl.LOCK_UN)

    def close(self) -> None:
        """Unmap the memory; the descriptor stays open."""
        self.memory.close()


def _decode_claim(buffer: DoubleBuffer) -> Claim:
    number, pid, started = CLAIM_BODY.unpack(buffer.read() or bytes(CLAIM_BODY.size))
    return Claim(number, pid, started)


def _is_valid_size(row_count: int, max_body_bytes: int) -> bool:
    return 0 < row_count <= MAX_ROWS and 0 < max_body_bytes <= MAX_BODY_BYTES


def record_bytes(row_count: int, max_body_bytes: int) -> int:
    """Size of a record."""
    return ROWS_OFFSET + row_count * 2 * (BUFFER_HEADER.size + max_body_bytes)


def started_ticks(pid: int) -> int | None:
    """When a process started, in the kernel's ticks since boot; none where it has ended, reaped or not."""
    try:
        line = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    state, *fields = line.rpartition(")")[2].split()
    return None if state in ENDED_STATES else int(fields[18])


def has_ended(pid: int, started: int) -> bool:
    """Whether a process has ended: a number that the kernel has reused since is another process."""
    return started_ticks(pid) != started
