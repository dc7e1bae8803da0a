"""From a client's bytes to its commands, within bounds. No sockets here."""

from __future__ import annotations

import hiredis

from quota_gateway.errors import ProtocolError
from quota_gateway.net.clients.commands import CommandError
from quota_gateway.net.declared_lengths import DeclaredLengths

MAX_COMMAND_BYTES = 192 * 1024  # read without a complete command: a body, one read, and to spare
MAX_WORD_BYTES = 64 * 1024  # what the protocol allows a value


class CommandStream:
    """The RESP parser of one connection, and how far its bytes have been checked and parsed."""

    __slots__ = ("_reader", "_lengths", "bytes_since_command", "is_out_of_bounds")

    def __init__(self) -> None:
        self._reader = hiredis.Reader(replyError=CommandError)
        self._lengths = DeclaredLengths(MAX_WORD_BYTES)
        self.bytes_since_command = 0  # fed since the last command; less by up to a read than what waits
        self.is_out_of_bounds = False  # what came behind the parsed bytes is no command

    def feed(self, data: bytes) -> None:
        """Take bytes; those behind a declared length that is out of bounds never reach the parser."""
        valid = self._lengths.count_valid(data)
        self.is_out_of_bounds = valid < len(data)
        self._reader.feed(data[:valid] if self.is_out_of_bounds else data)
        self.bytes_since_command += valid

    def next_command(self) -> object | None:
        """The next complete command, None if there is none yet. Raises ProtocolError for what is no array."""
        try:
            command: object = self._reader.gets()
        except (hiredis.HiredisError, ValueError, MemoryError) as error:  # MemoryError: an array of billions
            raise ProtocolError(f"not RESP: {error!r}") from None
        if command is not False:
            self.bytes_since_command = 0
            return command
        if self.is_out_of_bounds or self.bytes_since_command > MAX_COMMAND_BYTES:
            raise ProtocolError("a command out of bounds")
        return None

    def is_within_command(self) -> bool:
        """Whether the bytes so far end within a command."""
        return self._lengths.is_incomplete()

    def is_in_body(self) -> bool:
        """Whether the rest of the last word is all that is missing of a command."""
        return self._lengths.is_within_last_word()
