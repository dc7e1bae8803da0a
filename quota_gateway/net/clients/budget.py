"""Limits on the bytes that all client connections together may hold."""

from __future__ import annotations


class ByteBudget:
    """A limit on bytes of one kind over all connections, and the current total."""

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def add(self, added_bytes: int) -> None:
        """Add bytes to the total; a negative number removes them."""
        self.used_bytes += added_bytes

    def is_exhausted(self) -> bool:
        """Whether the limit has been reached."""
        return self.used_bytes >= self.limit_bytes

    def is_exceeded(self) -> bool:
        """Whether the total is above the limit."""
        return self.used_bytes > self.limit_bytes
