"""Decodes a server's bytes into replies, and into the pieces of long values. Uses no sockets."""

from __future__ import annotations

from typing import NamedTuple

import hiredis

from quota_gateway.errors import ProtocolError
from quota_gateway.net.declared_lengths import (
    LINE_END,
    STREAMED_VALUE_BYTES,
    DeclaredLengths,
    parse_long_value_head,
)
from quota_gateway.net.servers.replies import ServerError

MAX_REPLY_BYTES = 192 * 1024  # of an incomplete reply: a value of 64 KiB, one read, and a margin


class DecodedReply(NamedTuple):
    """A parsed reply, and whether exactly this one complete reply was received."""

    parsed: object  # False: an incomplete reply that is too long, or that no attempt waits for
    is_clean: bool
    has_more: bool  # bytes follow the complete reply


class LongValueBegun(NamedTuple):
    """The start of a reply whose long value is streamed: its length and its first bytes."""

    value_bytes: int
    data: bytes


class ReplyDecoder:
    """Decodes the replies on one connection, one after the other.

    The first bytes of a reply show whether it begins with a long value. The caller then passes the value's
    bytes through ``split_value``, and the rest of the reply is parsed as if the value were empty.
    """

    __slots__ = (
        "_parser",
        "_lengths",
        "_head",
        "_is_head_read",
        "_unparsed_bytes",
        "_value_words",
        "_value_bytes_left",
    )

    def __init__(self) -> None:
        self._parser = hiredis.Reader(replyError=ServerError)
        self._lengths = DeclaredLengths(STREAMED_VALUE_BYTES, is_replies=True)
        # Bytes held back from the parser: the start of a reply while it is too short to show whether a long
        # value begins, or the bytes after a long value.
        self._head = b""
        self._is_head_read = False
        self._unparsed_bytes = 0
        self._value_words = 0  # array length of the reply that begins with a long value
        self._value_bytes_left = 0

    def feed(self, data: bytes, is_reply_due: bool) -> DecodedReply | LongValueBegun | None:
        """Decode received bytes; None while a reply is incomplete. Raises ProtocolError if it is invalid."""
        if is_reply_due and not self._is_head_read:
            self._head += data
            long_value = parse_long_value_head(self._head)
            if long_value is None:
                return None
            data = self._head
            self._head = b""
            self._is_head_read = True
            if long_value.words:
                self._value_words = long_value.words
                self._value_bytes_left = long_value.value_bytes
                return LongValueBegun(long_value.value_bytes, data[long_value.value_at :])
        return self._parse(data, is_reply_due)

    def _parse(self, data: bytes, is_reply_due: bool) -> DecodedReply | None:
        valid = self._lengths.count_valid(data)
        self._parser.feed(data[:valid])
        self._unparsed_bytes += len(data)
        try:
            parsed = self._parser.gets()
            has_more = self._parser.has_data() or valid < len(data)
        except (hiredis.HiredisError, ValueError, MemoryError) as error:  # MemoryError: an array of billions
            raise ProtocolError(f"the RESP parser failed: {error!r}") from None
        is_complete = parsed is not False
        if not is_complete and valid < len(data):
            raise ProtocolError("a declared length is out of bounds")
        if not is_complete and is_reply_due and self._unparsed_bytes <= MAX_REPLY_BYTES:
            return None
        self._unparsed_bytes = 0
        self._is_head_read = False
        return DecodedReply(parsed, is_complete and not has_more, is_complete and has_more)

    # ---- Streamed values

    def split_value(self, data: bytes) -> int:
        """How many of these bytes belong to the long value; the others come after its end."""
        in_value = min(len(data), self._value_bytes_left)
        self._value_bytes_left -= in_value
        return in_value

    def is_value_complete(self) -> bool:
        """Whether all bytes of the value have been received; the CRLF after it may be missing."""
        return not self._value_bytes_left

    def take_line_end(self, data: bytes) -> bool:
        """Take the bytes after a long value; whether its CRLF is complete.

        Raises ProtocolError if anything but CRLF follows: the value is longer than declared.
        """
        self._head += data
        if not self._head.startswith(LINE_END[: len(self._head)]):
            raise ProtocolError("a long value is longer than declared")
        return len(self._head) >= len(LINE_END)

    def resume_reply(self, is_reply_due: bool) -> DecodedReply | None:
        """Parse the rest of a reply after its streamed value, with an empty value in its place."""
        head = self._head
        self._head = b""
        return self._parse(b"*%d\r\n$0\r\n" % self._value_words + head, is_reply_due)

    def holds_partial_reply(self) -> bool:
        """Whether the start of an incomplete reply has been received."""
        return bool(self._head or self._unparsed_bytes)
