"""From a server's bytes to its replies, and to the pieces of a long value. No sockets here."""

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

MAX_REPLY_BYTES = 192 * 1024  # read without a complete reply: a value of 64 KiB, one read, and to spare


class DecodedReply(NamedTuple):
    """What the parser made of a reply, and whether nothing but this one complete reply has come."""

    parsed: object  # False: incomplete, and beyond the bound or out of turn
    is_clean: bool


class LongValueBegun(NamedTuple):
    """A reply whose long value is passed on as it comes, and the value's first bytes."""

    value_bytes: int
    data: bytes


class ReplyDecoder:
    """Decodes the replies on one connection, one after the other.

    A long value is told apart by the first bytes of its reply; its pieces go through ``split_value``, and the
    rest of the reply is parsed as if the value were empty.
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
        # Bytes held back: those that do not tell yet what they begin, or what stands behind a long value.
        self._head = b""
        self._is_head_read = False
        self._unparsed_bytes = 0
        self._value_words = 0  # of the reply that a long value begins
        self._value_bytes_left = 0

    def feed(self, data: bytes, is_reply_due: bool) -> DecodedReply | LongValueBegun | None:
        """Take bytes; None while a reply is incomplete. Raises ProtocolError for what is no reply."""
        if is_reply_due and not self._is_head_read:
            self._head += data
            found = parse_long_value_head(self._head)
            if found is None:
                return None
            data = self._head
            self._head = b""
            self._is_head_read = True
            if found.words:
                self._value_words = found.words
                self._value_bytes_left = found.value_bytes
                return LongValueBegun(found.value_bytes, data[found.value_at :])
        return self._parse(data, is_reply_due)

    def _parse(self, data: bytes, is_reply_due: bool) -> DecodedReply | None:
        valid = self._lengths.count_valid(data)
        self._parser.feed(data[:valid])
        self._unparsed_bytes += len(data)
        try:
            parsed = self._parser.gets()
            has_more = self._parser.has_data() or valid < len(data)
        except (hiredis.HiredisError, ValueError, MemoryError) as error:  # MemoryError: an array of billions
            raise ProtocolError(f"not RESP: {error!r}") from None
        is_complete = parsed is not False
        if not is_complete and valid < len(data):
            raise ProtocolError("a length out of bounds")
        if not is_complete and is_reply_due and self._unparsed_bytes <= MAX_REPLY_BYTES:
            return None
        self._unparsed_bytes = 0
        self._is_head_read = False
        return DecodedReply(parsed, is_complete and not has_more)

    # ---- Streamed values

    def split_value(self, data: bytes) -> int:
        """How many of these bytes belong to the value; the others are behind its end."""
        in_value = min(len(data), self._value_bytes_left)
        self._value_bytes_left -= in_value
        return in_value

    def is_value_complete(self) -> bool:
        """Whether all bytes of the value have come; its line's end may be missing."""
        return not self._value_bytes_left

    def take_line_end(self, data: bytes) -> bool:
        """Take bytes behind a value; whether its line's end is there. Raises ProtocolError if it runs on."""
        self._head += data
        if not self._head.startswith(LINE_END[: len(self._head)]):
            raise ProtocolError("a long value runs on")
        return len(self._head) >= len(LINE_END)

    def resume_reply(self, is_reply_due: bool) -> DecodedReply | None:
        """Go on behind a streamed value: the parser gets the reply with an empty value in its place."""
        head = self._head
        self._head = b""
        return self._parse(b"*%d\r\n$0\r\n" % self._value_words + head, is_reply_due)

    def holds_partial_reply(self) -> bool:
        """Whether bytes of a reply are held that is not complete."""
        return bool(self._head or self._unparsed_bytes)
