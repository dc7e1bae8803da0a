"""Checks the lengths that a RESP peer declares before its bytes reach the parser.

A "word" is a RESP bulk string, such as an element of a command. A "header" is a line that declares the length
of an array or of a word.
"""

from __future__ import annotations

import re
from math import inf
from typing import NamedTuple

STREAMED_VALUE_BYTES = 64 * 1024  # a longer value is streamed to the client
MAX_VALUE_BYTES = 4 * 1024 * 1024
MAX_WORDS = 64  # of an array; a request has 5, the commands that client libraries send on connect a few more
MAX_HEADER_BYTES = 16  # including the line end
LINE_KINDS = b"+-:"  # first bytes of lines that hold a value instead of a length
LINE_END = b"\r\n"  # ends each line and follows each word
NULL = b"-1"  # declared length of a null

LONG_VALUE_HEAD = re.compile(rb"\*([1-9][0-9]?)\r\n\$([0-9]{1,7})\r\n")
PART_OF_HEAD = re.compile(rb"(\*([1-9][0-9]?(\r(\n(\$([0-9]{1,7}\r?)?)?)?)?)?)?")


class LongValueHead(NamedTuple):
    """Lengths declared by a reply that begins with a long value; all zeros for any other reply."""

    words: int
    value_bytes: int
    value_at: int  # offset of the value's first byte


NO_LONG_VALUE = LongValueHead(0, 0, 0)


def parse_long_value_head(head: bytes) -> LongValueHead | None:
    """Parse the first bytes of a reply; None while there are too few to tell what it begins with."""
    match = LONG_VALUE_HEAD.match(head)
    if match is None:
        return None if PART_OF_HEAD.fullmatch(head) else NO_LONG_VALUE
    words = int(match[1])
    value_bytes = int(match[2])
    if words <= MAX_WORDS and STREAMED_VALUE_BYTES < value_bytes <= MAX_VALUE_BYTES:
        return LongValueHead(words, value_bytes, match.end())
    return NO_LONG_VALUE


class DeclaredLengths:
    """Tracks the lengths that a peer declares, before the parser sees the bytes.

    Guards against a few bytes that declare an array of billions of elements: the parser allocates all of it,
    and each pass of the garbage collector then traverses it for seconds. Also guards against a word that is
    longer than declared: the parser does not check that the bytes after the word are a line end.

    With ``is_replies``, single-line values and nulls are valid too, as servers send them.
    ``max_array_bytes`` limits what the words of one array declare together: a peer that stops within an
    array can make its receiver hold no more than that.
    """

    __slots__ = (
        "_max_word_bytes",
        "_is_replies",
        "_max_array_bytes",
        "_array_bytes",
        "_words_left",
        "_word_bytes_left",
        "_header",
        "_in_line",
        "arrays_completed",
    )

    def __init__(self, max_word_bytes: int, is_replies: bool = False, max_array_bytes: float = inf) -> None:
        self._max_word_bytes = max_word_bytes
        self._max_array_bytes = max_array_bytes
        self._array_bytes = 0  # that the words of the array have declared so far
        self._is_replies = is_replies
        self._words_left = 0  # of the array, after the word that is being read
        self._word_bytes_left = 0  # of the word and the line end after it
        self._header = b""  # start of a header whose end has not been received
        self._in_line = False
        self.arrays_completed = 0  # whose last word ended so far; without arrays that end in a line or a null

    def count_valid(self, data: bytes) -> int:
        """How many of these bytes may go to the parser: all, or those before the first invalid one."""
        position = 0
        size = len(data)
        while position < size:
            if self._word_bytes_left > len(LINE_END):
                skipped = min(self._word_bytes_left - len(LINE_END), size - position)
                self._word_bytes_left -= skipped
                position += skipped
            elif self._word_bytes_left:
                if data[position] != LINE_END[-self._word_bytes_left]:
                    return position
                self._word_bytes_left -= 1
                position += 1
                self.arrays_completed += not (self._word_bytes_left or self._words_left)
            elif self._in_line or (self._is_replies and not self._header and data[position] in LINE_KINDS):
                position = self._skip_line(data, position)
            else:
                header_end = self._read_header(data, position)
                if header_end is None:
                    return position
                position = header_end
        return size

    def is_within_last_word(self) -> bool:
        """Whether only the rest of the last word is missing."""
        return bool(self._word_bytes_left) and not self._words_left

    def is_incomplete(self) -> bool:
        """Whether the bytes received so far end within a command or a reply."""
        return bool(self._words_left or self._word_bytes_left or self._header or self._in_line)

    def _skip_line(self, data: bytes, position: int) -> int:
        """Position after the line, or after the data if the line is incomplete."""
        end = data.find(b"\n", position) + 1
        self._in_line = not end
        if end and self._words_left:
            self._words_left -= 1
        return end or len(data)

    def _read_header(self, data: bytes, position: int) -> int | None:
        """Position after the header, or after the data if the header is incomplete; None if it is invalid."""
        line = self._header + data[position : position + MAX_HEADER_BYTES]
        end = line.find(LINE_END)
        if end < 0 and len(line) < MAX_HEADER_BYTES and line[:1] in self._expected_kinds():
            self._header = line
            return len(data)
        if end < 0 or not self._declare(line[:end]):
            return None
        header_end = position + end + len(LINE_END) - len(self._header)
        self._header = b""
        return header_end

    def _expected_kinds(self) -> tuple[bytes, ...]:
        if self._words_left:
            return (b"$",)
        return (b"*", b"$") if self._is_replies else (b"*",)

    def _declare(self, line: bytes) -> bool:
        """Store the length that a header declares; False if it is invalid or exceeds a limit."""
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
            self._array_bytes += length
            return length <= self._max_word_bytes and self._array_bytes <= self._max_array_bytes
        self._words_left = length
        self._array_bytes = 0
        return length <= MAX_WORDS and (self._is_replies or length > 0)
