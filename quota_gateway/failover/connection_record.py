"""The record of the work in hand, in memory that outlives its writer: rows that are whole or not there.

One process writes, without a system call; whoever follows it reads, after its end. A row has two halves that
are written in turn, each under a number that grows and a checksum over all of it: a writer that is killed in
the middle of a store leaves the half of before. Bounds are fixed at the beginning; what finds no room is not
protected, and counted.

Who may go on with it is told by a claim: its number grows with each holder, and nobody gets one while the
holder before may live.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

MAGIC = b"blwork\0\0"
VERSION = 1
HEAD = struct.Struct("<8sIII")  # magic, version, rows, bytes of a row's half
HALF = struct.Struct("<QII")  # number, length, checksum of both and of what follows
CLAIM = struct.Struct("<QQQ")  # number, process, when that process started
# where the claim's two halves and the rows begin
CLAIM_AT = 64
ROWS_AT = 256
MOST_ROWS = 65_536
MOST_ROOM = 1024 * 1024


class RecordError(Exception):
    """No record, or one of another version."""


class Pair:
    """Two halves that are written in turn. ``room``: bytes that each holds."""

    __slots__ = ("memory", "at", "room", "number")

    def __init__(self, memory: mmap.mmap, at: int, room: int) -> None:
        self.memory = memory
        self.at = at
        self.room = room
        self.number = max((number for number, _ in self._whole()), default=0)

    def _place(self, number: int) -> int:
        return self.at + (number & 1) * (HALF.size + self.room)

    def _whole(self) -> Iterator[tuple[int, bytes]]:
        for place in (self._place(0), self._place(1)):
            number, length, checksum = HALF.unpack_from(self.memory, place)
            if not number or length > self.room or self._place(number) != place:
                continue
            body = bytes(self.memory[place + HALF.size : place + HALF.size + length])
            if checksum == _checksum(number, body):
                yield number, body

    def read(self) -> bytes:
        """What was written last, whole; empty where nothing was."""
        return max(self._whole(), default=(0, b""))[1]

    def write(self, body: bytes) -> None:
        """Put it in place of what is there. The half that holds is not touched."""
        self.number += 1
        place = self._place(self.number)
        self.memory[place + HALF.size : place + HALF.size + len(body)] = body
        self.memory[place : place + HALF.size] = HALF.pack(
            self.number, len(body), _checksum(self.number, body)
        )


def _checksum(number: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(b"%d %d" % (number, len(body))))


class Record:
    """Rows in a file of memory, by its descriptor, which stays the caller's."""

    def __init__(self, file: int, memory: mmap.mmap) -> None:
        self.file = file
        self.memory = memory
        magic, version, rows, room = HEAD.unpack_from(memory, 0)
        if magic != MAGIC or version != VERSION:
            raise RecordError("no record of this version's")
        if not (0 < rows <= MOST_ROWS and 0 < room <= MOST_ROOM) or len(memory) < size(rows, room):
            raise RecordError("a record that breaks off")
        self.room = room
        self.rows = [Pair(memory, ROWS_AT + row * 2 * (HALF.size + room), room) for row in range(rows)]
        self.free = [row for row in range(rows - 1, -1, -1) if not self.rows[row].read()]
        self.unprotected = 0

    @classmethod
    def create(cls, file: int, rows: int, room: int) -> Record:
        """An empty one, in an empty file (of memory: ``os.memfd_create``)."""
        if not (0 < rows <= MOST_ROWS and 0 < room <= MOST_ROOM):
            raise RecordError(f"{rows} rows of {room} bytes")
        os.ftruncate(file, size(rows, room))
        memory = mmap.mmap(file, size(rows, room))
        memory[: HEAD.size] = HEAD.pack(MAGIC, VERSION, rows, room)
        return cls(file, memory)

    @classmethod
    def open(cls, file: int) -> Record:
        """One that another process has written. Raises RecordError or OSError."""
        length = os.fstat(file).st_size
        if length < ROWS_AT:
            raise RecordError("a record that breaks off")
        return cls(file, mmap.mmap(file, length))

    # ---- Rows

    def take(self, body: bytes) -> int:
        """A new row with this in it; -1 where there is no room, which is counted."""
        if not self.free or not 0 < len(body) <= self.room:
            self.unprotected += 1
            return -1
        row = self.free.pop()
        self.rows[row].write(body)
        return row

    def change(self, row: int, body: bytes) -> bool:
        """Put this in its place; false, and counted, where it is too long: the row is given back."""
        if len(body) > self.room:
            self.unprotected += 1
            self.give_back(row)
            return False
        self.rows[row].write(body)
        return True

    def give_back(self, row: int) -> None:
        """What was in it is over."""
        self.rows[row].write(b"")
        self.free.append(row)

    def read(self) -> dict[int, bytes]:
        """All that is in hand, by row."""
        bodies = {row: pair.read() for row, pair in enumerate(self.rows)}
        return {row: body for row, body in bodies.items() if body}

    # ---- Claims

    def claim(self) -> int:
        """A number above all before it, if the holder has certainly ended; else 0. One caller at a time."""
        with self._alone():
            pair, number, process, started = self._held()
            if process and not has_ended(process, started):
                return 0
            own = os.getpid()
            pair.write(CLAIM.pack(number + 1, own, started_at(own) or 0))
            return number + 1

    def holder(self) -> tuple[int, int]:
        """The highest number that was given, and the process that has it; 0 and 0 at the beginning."""
        _, number, process, _ = self._held()
        return number, process

    def _held(self) -> tuple[Pair, int, int, int]:
        """The claim as it stands now: others write it, too."""
        pair = Pair(self.memory, CLAIM_AT, CLAIM.size)
        number, process, started = CLAIM.unpack(pair.read() or bytes(CLAIM.size))
        return pair, number, process, started

    @contextmanager
    def _alone(self) -> Iterator[None]:
        """A lock of the process's, which the kernel gives back if it dies within."""
        fcntl.lockf(self.file, fcntl.LOCK_EX)
        try:
            yield
        finally:
            fcntl.lockf(self.file, fcntl.LOCK_UN)

    def close(self) -> None:
        """Let go of the memory; the descriptor stays open."""
        self.memory.close()


def size(rows: int, room: int) -> int:
    """Bytes of a record."""
    return ROWS_AT + rows * 2 * (HALF.size + room)


def started_at(process: int) -> int | None:
    """When a process started, in the kernel's ticks since boot; None where it has ended, reaped or not."""
    try:
        line = Path(f"/proc/{process}/stat").read_text()
    except OSError:
        return None
    state, *fields = line.rpartition(")")[2].split()
    return None if state in ("Z", "X") else int(fields[18])


def has_ended(process: int, started: int) -> bool:
    """Whether it has: a number that the kernel has given to another process since is not it."""
    return started_at(process) != started
