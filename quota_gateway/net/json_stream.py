"""JSON objects out of a stream of bytes: one on a line, or one over several lines."""

from __future__ import annotations

import json
from collections.abc import Iterator
from enum import Enum
from typing import Any

from quota_gateway.errors import ProtocolError


class EmptyLine(Enum):
    """Between two objects: the sender is alive and has nothing to say."""

    EMPTY_LINE = "empty line"


class JsonObjectStream:
    """Splits what comes in pieces of any size into objects and empty lines.

    An object is parsed as it begins and where it may end, not at each of its lines, which would cost the
    square of its length.
    """

    def __init__(self) -> None:
        self._object = bytearray()  # complete lines of an object that is not complete yet
        self._line = bytearray()  # of which the end has not come yet

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the object that has begun."""
        return len(self._object) + len(self._line)

    def feed(self, data: bytes) -> Iterator[Any]:
        """The objects and empty lines that are complete with these bytes.

        Raises:
            ProtocolError: These bytes can't become an object, whatever follows.
        """
        *lines, rest = (bytes(self._line) + data).split(b"\n")
        self._line = bytearray(rest)
        for line in lines:
            if line.strip():
                self._object += line + b"\n"
                yield from self._parse(may_be_complete=line.rstrip().endswith((b"}", b"]")))
            elif self._object:
                raise ProtocolError("an object that breaks off")
            else:
                yield EmptyLine.EMPTY_LINE

    def finish(self) -> Iterator[Any]:
        """The object that is complete as the stream ends in order, if any.

        Raises:
            ProtocolError: What is left can't become an object.
        """
        if self._object or self._line.strip():
            self._object += self._line
            self._line.clear()
            yield from self._parse(may_be_complete=True)

    def _parse(self, may_be_complete: bool) -> Iterator[Any]:
        is_first_line = self._object.count(b"\n") <= 1
        if not may_be_complete and not is_first_line:
            return
        try:
            text = self._object.decode()
            document = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):  # else more of it may come
                raise ProtocolError(str(error)) from None
            return
        except ValueError as error:  # not UTF-8; a number of too many digits
            raise ProtocolError(str(error)) from None
        self._object.clear()
        yield document
