"""Parses a client's bytes into commands and enforces length limits. Does no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import hiredis

from quota_gateway.errors import ProtocolError
from quota_gateway.net.clients.commands import CommandError
from quota_gateway.net.declared_lengths import DeclaredLengths

MAX_COMMAND_BYTES = 192 * 1024  # of an incomplete command: the largest body, one read and some reserve
MAX_WORD_BYTES = 64 * 1024  # the protocol's limit for one value
MAX_WORDS_BYTES = 80 * 1024  # of all words of a command: the largest body, and the words before it


class Arrival(NamedTuple):
    """Commands whose last bytes were read at the same time."""

    commands_completed: int  # on the connection, up to and with these
    bytes_before: int  # read on the connection before the read that completed them
    read_ms: float


class CommandStream:
    """The RESP parser of one connection, with a check of the lengths that the client declares."""

    __slots__ = (
        "_reader",
        "_lengths",
        "_arrivals",
        "_commands_parsed",
        "_bytes_read",
        "bytes_since_command",
        "is_out_of_bounds",
    )

    def __init__(self) -> None:
        self._reader = hiredis.Reader(replyError=CommandError)
        self._lengths = DeclaredLengths(MAX_WORD_BYTES, max_array_bytes=MAX_WORDS_BYTES)
        self._arrivals: deque[Arrival] = deque()  # of commands that are not parsed yet
        self._commands_parsed = 0
        self._bytes_read = 0
        self.bytes_since_command = 0  # after the latest command; the parser may hold up to a read more
        self.is_out_of_bounds = False  # after an invalid declared length nothing is parsed

    def feed(self, data: bytes, read_ms: float) -> None:
        """Add bytes read at this time; those after an invalid or too large length never reach the parser."""
        completed_before = self._lengths.arrays_completed
        valid = self._lengths.count_valid(data)
        if self._lengths.arrays_completed > completed_before:
            self._arrivals.append(Arrival(self._lengths.arrays_completed, self._bytes_read, read_ms))
        self.is_out_of_bounds = valid < len(data)
        self._reader.feed(data[:valid] if self.is_out_of_bounds else data)
        self._bytes_read += valid
        self.bytes_since_command += valid

    def next_command(self) -> object | None:
        """The next complete command, or None. Raises ProtocolError if the input is malformed or too long."""
        try:
            command: object = self._reader.gets()
        except (hiredis.HiredisError, ValueError, MemoryError) as error:  # MemoryError: an array of billions
            raise ProtocolError(f"malformed RESP from a client: {error!r}") from None
        if command is not False:
            self.bytes_since_command = 0
            self._commands_parsed += 1
            self._forget_arrivals()
            return command
        if self.is_out_of_bounds or self.bytes_since_command > MAX_COMMAND_BYTES:
            raise ProtocolError("a client's command exceeds a length limit or declares an invalid length")
        return None

    def unparsed_commands(self) -> int:
        """Number of complete commands that were read and not parsed yet."""
        return self._lengths.arrays_completed - self._commands_parsed

    def waiting_bytes(self) -> int:
        """Bytes held for commands that were read and not parsed yet: at most one read more than they have.

        Without such commands, the bytes of the one that is incomplete.
        """
        if not self.unparsed_commands():
            return self.bytes_since_command
        first = next(item for item in self._arrivals if item.commands_completed > self._commands_parsed)
        return self._bytes_read - first.bytes_before

    def drop_unparsed(self) -> int:
        """Drop the bytes that were read and not parsed; returns how many complete commands were among them.

        Nothing may be fed or parsed afterwards.
        """
        dropped = self.unparsed_commands()
        self._commands_parsed += dropped
        self._arrivals.clear()
        self._reader = hiredis.Reader(replyError=CommandError)
        return dropped

    def latest_command_read_ms(self) -> float:
        """When the last byte of the latest parsed command was read."""
        return self._arrivals[0].read_ms

    def _forget_arrivals(self) -> None:
        """Forget the arrivals before that of the latest parsed command."""
        while len(self._arrivals) > 1 and self._arrivals[0].commands_completed < self._commands_parsed:
            self._arrivals.popleft()

    def is_within_command(self) -> bool:
        """Whether the bytes received so far end in the middle of a command."""
        return self._lengths.is_incomplete()

    def is_in_body(self) -> bool:
        """Whether only the rest of the last word of a command is missing."""
        return self._lengths.is_within_last_word()
