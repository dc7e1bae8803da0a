"""Splits a byte stream into JSON objects, each on one line or spread over several lines."""

from __future__ import annotations

import json
from collections.abc import Iterator
from enum import Enum
from typing import Any

from quota_gateway.errors import ProtocolError


class EmptyLine(Enum):
    """An empty line between two objects, which the sender uses as a heartbeat."""

    EMPTY_LINE = "empty line"


class JsonObjectStream:
    """Splits received pieces of any size into objects and empty lines.

    An object is parsed at its first line and at lines where it may end, not at each line: parsing at each
    line would take time quadratic in its length.
    """

    def __init__(self) -> None:
        self._object = bytearray()  # complete lines of an incomplete object
        self._line = bytearray()  # start of a line whose end has not been received

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the incomplete object received so far."""
        return len(self._object) + len(self._line)

    def feed(self, data: bytes) -> Iterator[Any]:
        """Add bytes and yield the objects and empty lines that they complete.

        Raises:
            ProtocolError: The bytes can't become a JSON value, whatever follows.
        """
        *lines, rest = (bytes(self._line) + data).split(b"\n")
        self._line = bytearray(rest)
        for line in lines:
            if line.strip():
                self._object += line + b"\n"
                yield from self._parse(may_be_complete=line.rstrip().endswith((b"}", b"]")))
            elif self._object:
                raise ProtocolError("incomplete JSON object before an empty line")
            else:
                yield EmptyLine.EMPTY_LINE

    def finish(self) -> Iterator[Any]:
        """Yield the last object, if the regular end of the stream completes one.

        Raises:
            ProtocolError: The remaining bytes are not the start of a JSON value.
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
            if error.pos < len(text.rstrip()):  # otherwise the rest may still follow
                raise ProtocolError(str(error)) from None
            return
        except ValueError as error:  # not UTF-8, or a number with too many digits
            raise ProtocolError(str(error)) from None
        self._object.clear()
        yield document
