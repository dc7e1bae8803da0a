"""Bounds on what a peer declares in RESP, checked ahead of the parser."""

from __future__ import annotations

import re

LONG = 64 * 1024  # bytes: a value that is longer is passed on as it comes
LONGEST_VALUE = 4 * 1024 * 1024  # bytes
MOST_WORDS = 64  # of an array: a request has five, what a library says at its start a few more
LONGEST_HEADER = 16  # bytes of the line that declares a length
LINES = b"+-:"  # what begins a line that holds a value itself
END = b"\r\n"  # of a line, and behind each word


HEAD = re.compile(rb"\*([1-9][0-9]?)\r\n\$([0-9]{1,7})\r\n")
PART = re.compile(rb"(\*([1-9][0-9]?(\r(\n(\$([0-9]{1,7}\r?)?)?)?)?)?)?")


def long_value(head: bytes) -> tuple[int, int, int] | None:
    """The words of an answer that begins with a long value, the value's length and where it begins.

    Zeros where it begins with something else; None while that can't be told yet.
    """
    match = HEAD.match(head)
    if match:
        words = int(match[1])
        length = int(match[2])
        if words <= MOST_WORDS and LONG < length <= LONGEST_VALUE:
            return words, length, match.end()
        return 0, 0, 0
    return None if PART.fullmatch(head) else (0, 0, 0)


class Lengths:
    """Follows the lengths that a peer declares, ahead of the parser.

    Guards against a few bytes that declare an array of billions: the parser makes room for all of it, and
    each pass of the garbage collector then walks that room for seconds. And against a word that runs on
    beyond its length: the parser does not look at what stands where its line's end has to be.
    """

    __slots__ = ("longest_word", "answers", "words", "skip", "header", "in_line")

    def __init__(self, longest_word: int, answers: bool = False) -> None:
        # answers also have lines and nulls
        self.longest_word = longest_word
        self.answers = answers
        self.words = self.skip = 0  # words of the array, and bytes of the word, that are yet to come
        self.header = b""  # the part of a header whose end has not come yet
        self.in_line = False

    def good(self, data: bytes) -> int:
        """How many of these bytes the parser may have: all, or those before what is out of bounds."""
        at = 0
        size = len(data)
        while at < size:
            if self.skip > len(END):
                step = min(self.skip - len(END), size - at)
                self.skip -= step
                at += step
            elif self.skip:
                if data[at] != END[-self.skip]:
                    return at
                self.skip -= 1
                at += 1
            elif self.in_line or (self.answers and not self.header and data[at] in LINES):
                at = self._line(data, at)
            else:
                line = self.header + data[at : at + LONGEST_HEADER]
                end = line.find(b"\r\n")
                if end < 0 and len(line) < LONGEST_HEADER and line[:1] in self._kinds():
                    self.header = line
                    return size
                if end < 0 or not self._declare(line[:end]):
                    return at
                at += end + 2 - len(self.header)
                self.header = b""
        return size

    def in_last_word(self) -> bool:
        """Whether the rest of the last word is all that is missing."""
        return bool(self.skip) and not self.words

    def within(self) -> bool:
        """Whether what has come ends within a command or an answer."""
        return bool(self.words or self.skip or self.header or self.in_line)

    def _line(self, data: bytes, at: int) -> int:
        """Where the line ends, or the data."""
        end = data.find(b"\n", at) + 1
        self.in_line = not end
        if end and self.words:
            self.words -= 1
        return end or len(data)

    def _kinds(self) -> tuple[bytes, ...]:
        if self.words:
            return (b"$",)
        return (b"*", b"$") if self.answers else (b"*",)

    def _declare(self, line: bytes) -> bool:
        """Take over one declared length; false if it is none, or beyond the bounds."""
        kind = line[:1]
        digits = line[1:]
        if kind not in self._kinds():
            return False
        null = self.answers and digits == b"-1"
        if not null and not digits.isdigit():
            return False
        number = -len(END) if null else int(digits)
        if kind == b"$":
            self.words = max(0, self.words - 1)
            self.skip = number + len(END)  # none behind a null
            return number <= self.longest_word
        self.words = max(0, number)
        return number <= MOST_WORDS and (self.answers or number > 0)
