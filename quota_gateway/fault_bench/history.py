"""The history of a play: a file of records, a JSON object a line."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from quota_gateway.fault_bench.records import AnyRecord

BUFFER_BYTES = 64 * 1024  # held before they are written


class History:
    """Writes records, in the order of their times."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._file = path.open("wb")
        self._encoder = msgspec.json.Encoder()
        self._buffer = bytearray()

    def add(self, record: AnyRecord) -> None:
        """Write, or hold for a while; nothing once it is closed."""
        if self._file.closed:
            return
        self._buffer += self._encoder.encode(record) + b"\n"
        if len(self._buffer) >= BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what is held."""
        self._file.write(self._buffer)
        self._file.flush()
        self._buffer.clear()

    def close(self) -> None:
        """At the end; once is enough."""
        if not self._file.closed:
            self.flush()
            self._file.close()


def read(path: Path) -> Iterator[AnyRecord]:
    """The records of a file; an incomplete last line is passed over. Raises msgspec.MsgspecError."""
    decoder = msgspec.json.Decoder(AnyRecord)
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
