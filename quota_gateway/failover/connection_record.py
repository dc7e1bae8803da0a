"""The connection record: a row per client connection, in shared memory that outlives its writer.

A row is either complete or absent. One process writes the record, without a system call; its successor reads
it after that process has ended. A connection that finds no free row is not protected by failover, and is
counted. A claim decides which process may use the record: its number grows with each holder, and no process
gets one while the previous holder may still run.

All versions share one layout: a header, the claim, then the rows. The claim and each row are double buffers.
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
ENDED_STATES = ("Z", "X")  # process states in /proc/PID/stat: zombie, dead


class ConnectionRecordError(GatewayError):
    """No usable record: none, a damaged one, one of another version, or one of an impossible size."""


class DoubleBuffer:
    """A value in shared memory that is replaced as a whole.

    Guards against a writer that is killed in the middle of a store, which would leave a mixture of two
    values. Two buffers are written alternately, each with a growing sequence number and a checksum: the one
    that holds the current value is never written, and a torn one does not match its checksum.
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
        """The value that was written last; empty if none was written."""
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
    """Which process may use the record; number and process id are 0 before the first claim.

    Attributes:
        number: grows with each holder.
        pid: process id of the holder.
        started_ticks: when the holder's process started, see `started_ticks`.
    """

    number: int
    pid: int
    started_ticks: int


class ConnectionRecord:
    """The claim and the rows in a memory file. The caller keeps ownership of the file's descriptor."""

    def __init__(self, file: int, memory: mmap.mmap) -> None:
        """Use the record in this memory. Raises ConnectionRecordError if it is not one of this version."""
        self.file = file
        self.memory = memory
        magic, version, row_count, max_body_bytes = HEADER.unpack_from(memory, 0)
        if magic != MAGIC or version != VERSION:
            raise ConnectionRecordError(
                f"not a connection record of version {VERSION}: it begins with {magic!r}, version {version}"
            )
        if not _is_valid_size(row_count, max_body_bytes) or len(memory) < record_bytes(
            row_count, max_body_bytes
        ):
            raise ConnectionRecordError(
                f"the connection record is damaged: {row_count} rows of {max_body_bytes} bytes in a memory"
                f" file of {len(memory)} bytes"
            )
        self.max_body_bytes = max_body_bytes
        row_bytes = 2 * (BUFFER_HEADER.size + max_body_bytes)
        self.rows = [
            DoubleBuffer(memory, ROWS_OFFSET + row * row_bytes, max_body_bytes) for row in range(row_count)
        ]
        self.free_rows = [row for row in range(row_count - 1, -1, -1) if not self.rows[row].read()]
        self.unprotected = 0  # bodies for which no row was free, or that were too long

    @classmethod
    def create(cls, file: int, row_count: int, max_body_bytes: int) -> ConnectionRecord:
        """Make an empty record in an empty memory file (``os.memfd_create``)."""
        if not _is_valid_size(row_count, max_body_bytes):
            raise ConnectionRecordError(
                f"cannot create a connection record of {row_count} rows of {max_body_bytes} bytes: 1 to"
                f" {MAX_ROWS} rows of 1 to {MAX_BODY_BYTES} bytes are possible"
            )
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
            raise ConnectionRecordError(
                f"the connection record is cut off: its memory file has {size_bytes} bytes"
            )
        return cls(file, mmap.mmap(file, size_bytes))

    # ---- Rows

    def add_row(self, body: bytes) -> int:
        """Write a new row and return its index; without room, count that and return `NO_ROW`."""
        if not self.free_rows or not 0 < len(body) <= self.max_body_bytes:
            self.unprotected += 1
            return NO_ROW
        row = self.free_rows.pop()
        self.rows[row].write(body)
        return row

    def replace_row(self, row: int, body: bytes) -> bool:
        """Replace a row's body. If it is too long, free the row, count that and return false."""
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
        """The bodies of all rows in use, by the index of the row."""
        bodies = {row: buffer.read() for row, buffer in enumerate(self.rows)}
        return {row: body for row, body in bodies.items() if body}

    # ---- Claims

    def claim(self) -> int:
        """Claim the record: a number above all earlier ones, or `NO_CLAIM` while the holder may still run."""
        with self._lock():
            buffer = self._claim_buffer()
            current = _decode_claim(buffer)
            if current.pid and not has_ended(current.pid, current.started_ticks):
                return NO_CLAIM
            pid = os.getpid()
            number = current.number + 1
            buffer.write(CLAIM_BODY.pack(number, pid, started_ticks(pid) or 0))
            return number

    def holder(self) -> Claim:
        """The latest claim."""
        return _decode_claim(self._claim_buffer())

    def _claim_buffer(self) -> DoubleBuffer:
        """The claim's buffer, opened anew for each use because other processes write it too."""
        return DoubleBuffer(self.memory, CLAIM_OFFSET, CLAIM_BODY.size)

    @contextmanager
    def _lock(self) -> Iterator[None]:
        """Exclude other processes; the kernel releases the lock if this process dies while it holds it."""
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
    """Size of a record's memory file in bytes."""
    return ROWS_OFFSET + row_count * 2 * (BUFFER_HEADER.size + max_body_bytes)


def started_ticks(pid: int) -> int | None:
    """When a process started, in clock ticks since boot; None if it has ended, whether reaped or not."""
    try:
        line = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    state, *fields = line.rpartition(")")[2].split()
    return None if state in ENDED_STATES else int(fields[18])


def has_ended(pid: int, started: int) -> bool:
    """Whether the process that started then has ended. Its id may be that of another process by now."""
    return started_ticks(pid) != started
