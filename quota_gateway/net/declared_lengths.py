"""Bounds on the lengths that a RESP peer declares, checked ahead of the parser."""

from __future__ import annotations

import re
from typing import NamedTuple

STREAMED_VALUE_BYTES = 64 * 1024  # a value that is longer is passed on as it comes
MAX_VALUE_BYTES = 4 * 1024 * 1024
MAX_WORDS = 64  # of an array: a request has five, what a library says at its start a few more
MAX_HEADER_BYTES = 16  # of the line that declares a length, with its end
LINE_KINDS = b"+-:"  # first bytes of a line that holds a value itself
LINE_END = b"\r\n"  # of a line, and behind each word
NULL = b"-1"

LONG_VALUE_HEAD = re.compile(rb"\*([1-9][0-9]?)\r\n\$([0-9]{1,7})\r\n")
PART_OF_HEAD = re.compile(rb"(\*([1-9][0-9]?(\r(\n(\$([0-9]{1,7}\r?)?)?)?)?)?)?")


class LongValueHead(NamedTuple):
    """What a reply that begins with a long value declares; all zeros for any other reply."""

    words: int
    value_bytes: int
    value_at: int  # where the value begins


NO_LONG_VALUE = LongValueHead(0, 0, 0)


def parse_long_value_head(head: bytes) -> LongValueHead | None:
    """What the first bytes of a reply declare; None while they are too few to tell."""
    match = LONG_VALUE_HEAD.match(head)
    if match is None:
        return None if PART_OF_HEAD.fullmatch(head) else NO_LONG_VALUE
    words = int(match[1])
    value_bytes = int(match[2])
    if words <= MAX_WORDS and STREAMED_VALUE_BYTES < value_bytes <= MAX_VALUE_BYTES:
        return LongValueHead(words, value_bytes, match.end())
    return NO_LONG_VALUE


class DeclaredLengths:
    """Follows the lengths that a peer declares, ahead of the parser.

    Guards against a few bytes that declare an array of billions: the parser makes room for all of it, and
    each pass of the garbage collector then walks that room for seconds. And against a word that runs on
    beyond its length: the parser does not look at what stands where its line's end has to be.

    With ``is_replies``, lines and nulls are expected too, as in what a server sends.
    """

    __slots__ = ("_max_word_bytes", "_is_replies", "_words_left", "_word_bytes_left", "_header", "_in_line")

    def __init__(self, max_word_bytes: int, is_replies: bool = False) -> None:
        self._max_word_bytes = max_word_bytes
        self._is_replies = is_replies
        self._words_left = 0  # of the array, behind the word that is being read
        self._word_bytes_left = 0  # of the word and its line's end
        self._header = b""  # of which the end has not come yet
        self._in_line = False

    def count_valid(self, data: bytes) -> int:
        """How many of these bytes the parser may have: all, or those before what is out of bounds."""
        at = 0
        size = len(data)
        while at < size:
            if self._word_bytes_left > len(LINE_END):
                skipped = min(self._word_bytes_left - len(LINE_END), size - at)
                self._word_bytes_left -= skipped
                at += skipped
            elif self._word_bytes_left:
                if data[at] != LINE_END[-self._word_bytes_left]:
                    return at
                self._word_bytes_left -= 1
                at += 1
            elif self._in_line or (self._is_replies and not self._header and data[at] in LINE_KINDS):
                at = self._skip_line(data, at)
            else:
                header_end = self._read_header(data, at)
                if header_end is None:
                    return at
                at = header_end
        return size

    def is_within_last_word(self) -> bool:
        """Whether the rest of the last word is all that is missing."""
        return bool(self._word_bytes_left) and not self._words_left

    def is_incomplete(self) -> bool:
        """Whether what has come ends within a command or a reply."""
        return bool(self._words_left or self._word_bytes_left or self._header or self._in_line)

    def _skip_line(self, data: bytes, at: int) -> int:
        """Where the line ends, or the data."""
        end = data.find(b"\n", at) + 1
        self._in_line = not end
        if end and self._words_left:
            self._words_left -= 1
        return end or len(data)

    def _read_header(self, data: bytes, at: int) -> int | None:
        """Where the header ends, or the data; None if it is invalid."""
        line = self._header + data[at : at + MAX_HEADER_BYTES]
        end = line.find(LINE_END)
        if end < 0 and len(line) < MAX_HEADER_BYTES and line[:1] in self._expected_kinds():
            self._header = line
            return len(data)
        if end < 0 or not self._declare(line[:end]):
            return None
        header_end = at + end + len(LINE_END) - len(self._header)
        self._header = b""
        return header_end

    def _expected_kinds(self) -> tuple[bytes, ...]:
        if self._words_left:
            return (b"$",)
        return (b"*", b"$") if self._is_replies else (b"*",)

    def _declare(self, line: bytes) -> bool:
        """Take over one declared length; false if it is none, or beyond the bounds."""
        kind = line[:1]
        digits = line[1:]
        if kind not in self._expected_kinds():
            return False
        is_null = self._is_replies and digits == NULL
        if not is_null and not digits.isdigit():
            return False
        length = 0 if is_null else int(digits)
        if kind == b"$":
            self._words_left = max(0, self._words_left - 1)
            self._word_bytes_left = 0 if is_null else length + len(LINE_END)
            return length <= self._max_word_bytes
        self._words_left = length
        return length <= MAX_WORDS and (self._is_replies or length > 0)
