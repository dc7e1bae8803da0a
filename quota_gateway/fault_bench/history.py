"""The history of a run: a file of records, with one JSON object per line."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from quota_gateway.fault_bench.records import AnyRecord

BUFFER_BYTES = 64 * 1024  # buffered in memory before they are written


class History:
    """Writes records to a file, in the order of their times."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._file = path.open("wb")
        self._encoder = msgspec.json.Encoder()
        self._buffer = bytearray()

    def add(self, record: AnyRecord) -> None:
        """Append a record to the buffer, and flush a full buffer; ignored once the file is closed."""
        if self._file.closed:
            return
        self._buffer += self._encoder.encode(record) + b"\n"
        if len(self._buffer) >= BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered records."""
        self._file.write(self._buffer)
        self._file.flush()
        self._buffer.clear()

    def close(self) -> None:
        """Flush and close the file; further calls do nothing."""
        if not self._file.closed:
            self.flush()
            self._file.close()


def read_history(path: Path) -> Iterator[AnyRecord]:
    """Yield the records of a file; an incomplete last line is skipped.

    Raises:
        OSError: the file can't be read.
        msgspec.MsgspecError: a line is not a record.
    """
    decoder = msgspec.json.Decoder(AnyRecord)
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
