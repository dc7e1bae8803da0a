"""Parses a client's bytes into commands and enforces length limits. Does no I/O."""

from __future__ import annotations

import hiredis

from quota_gateway.errors import ProtocolError
from quota_gateway.net.clients.commands import CommandError
from quota_gateway.net.declared_lengths import DeclaredLengths

MAX_COMMAND_BYTES = 192 * 1024  # of an incomplete command: the largest body, one read and some reserve
MAX_WORD_BYTES = 64 * 1024  # the protocol's limit for one value


class CommandStream:
    """The RESP parser of one connection, with a check of the lengths that the client declares."""

    __slots__ = ("_reader", "_lengths", "bytes_since_command", "is_out_of_bounds")

    def __init__(self) -> None:
        self._reader = hiredis.Reader(replyError=CommandError)
        self._lengths = DeclaredLengths(MAX_WORD_BYTES)
        self.bytes_since_command = 0  # after the latest command; the parser may hold up to a read more
        self.is_out_of_bounds = False  # after an invalid declared length nothing is parsed

    def feed(self, data: bytes) -> None:
        """Add received bytes; those after an invalid or too large declared length never reach the parser."""
        valid = self._lengths.count_valid(data)
        self.is_out_of_bounds = valid < len(data)
        self._reader.feed(data[:valid] if self.is_out_of_bounds else data)
        self.bytes_since_command += valid

    def next_command(self) -> object | None:
        """The next complete command, or None. Raises ProtocolError if the input is malformed or too long."""
        try:
            command: object = self._reader.gets()
        except (hiredis.HiredisError, ValueError, MemoryError) as error:  # MemoryError: an array of billions
            raise ProtocolError(f"malformed RESP from a client: {error!r}") from None
        if command is not False:
            self.bytes_since_command = 0
            return command
        if self.is_out_of_bounds or self.bytes_since_command > MAX_COMMAND_BYTES:
            raise ProtocolError("a client's command exceeds a length limit or declares an invalid length")
        return None

    def is_within_command(self) -> bool:
        """Whether the bytes received so far end in the middle of a command."""
        return self._lengths.is_incomplete()

    def is_in_body(self) -> bool:
        """Whether only the rest of the last word of a command is missing."""
        return self._lengths.is_within_last_word()
