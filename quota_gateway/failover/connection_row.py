"""The row of a client connection in a supervised gateway's connection record."""

from __future__ import annotations

import struct
from dataclasses import dataclass

LAYOUT = struct.Struct("<QQQ?")


@dataclass(frozen=True, slots=True)
class ConnectionRow:
    """State of a client connection when it was last at rest: everything read on it had been answered."""

    number: int  # counts the connections that the process has opened or adopted
    read_bytes: int  # both byte counts are the kernel's, see net/tcp_info.py
    written_bytes: int
    has_requested: bool  # whether a request has arrived on the connection

    def encode(self) -> bytes:
        """The row's body in the record."""
        return LAYOUT.pack(self.number, self.read_bytes, self.written_bytes, self.has_requested)

    @classmethod
    def decode(cls, body: bytes) -> ConnectionRow:
        """The row with this body. Raises struct.error if the body has another size."""
        return cls(*LAYOUT.unpack(body))


ROW_BYTES = LAYOUT.size
