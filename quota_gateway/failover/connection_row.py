"""A connection's row in the record that a supervised gateway leaves behind."""

from __future__ import annotations

import struct
from dataclasses import dataclass

LAYOUT = struct.Struct("<QQQ?")


@dataclass(frozen=True, slots=True)
class ConnectionRow:
    """A client's connection as it was last at rest: all that was read on it had been answered."""

    number: int  # in the order in which its process opened connections
    read_bytes: int  # by the kernel's count
    written_bytes: int
    has_requested: bool  # whether a request had come on it

    def encode(self) -> bytes:
        """The row's body in the record."""
        return LAYOUT.pack(self.number, self.read_bytes, self.written_bytes, self.has_requested)

    @classmethod
    def decode(cls, body: bytes) -> ConnectionRow:
        """The row with this body. Raises struct.error if it is none."""
        return cls(*LAYOUT.unpack(body))


ROW_BYTES = LAYOUT.size
