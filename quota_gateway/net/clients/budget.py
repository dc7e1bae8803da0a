"""Byte budgets over all clients' connections."""

from __future__ import annotations


class ByteBudget:
    """A bound on bytes of one kind over all connections, and how many there are now."""

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def add(self, added_bytes: int) -> None:
        """Count bytes in, or out where negative."""
        self.used_bytes += added_bytes

    def is_exhausted(self) -> bool:
        """Whether no more may be added."""
        return self.used_bytes >= self.limit_bytes

    def is_exceeded(self) -> bool:
        """Whether there are more than there may be."""
        return self.used_bytes > self.limit_bytes
