"""Pauses reading from a client while the gateway holds too many bytes of it."""

from __future__ import annotations

import asyncio

from quota_gateway.net.clients.budget import ByteBudget

READ_BYTES = 16 * 1024  # at once: of the smallest commands, a read takes some milliseconds to check
MAX_DISCARDED_BYTES = 1024 * 1024  # read after the last command; no real client sends more


class ReadThrottle:
    """Pauses and resumes reading from one connection.

    A connection is read as long as there is capacity for more bytes: a disconnect is only detected after all
    data before it has been read, and then commands that were not forwarded yet are dropped.
    """

    __slots__ = ("_waiting_budget", "_waiting_bytes", "discarded_bytes", "is_paused")

    def __init__(self, waiting_budget: ByteBudget) -> None:
        self._waiting_budget = waiting_budget  # shared by all clients
        self._waiting_bytes = 0  # of commands that wait because the maximum is in flight
        self.discarded_bytes = 0  # received after the last command
        self.is_paused = False

    def set_waiting(self, waiting_bytes: int) -> None:
        """Set the number of bytes of commands that were read and wait."""
        self._waiting_budget.add(waiting_bytes - self._waiting_bytes)
        self._waiting_bytes = waiting_bytes

    def is_over_budget(self) -> bool:
        """Whether the budget of all clients is used up and at least one full read of it is this client's."""
        return self._waiting_bytes >= READ_BYTES and self._waiting_budget.is_exhausted()

    def is_discard_exhausted(self) -> bool:
        """Whether more bytes were discarded after the last command than the limit allows."""
        return self.discarded_bytes > MAX_DISCARDED_BYTES

    def apply(self, transport: asyncio.Transport, should_pause: bool) -> None:
        """Pause or resume reading if the state changes."""
        if should_pause == self.is_paused:
            return
        self.is_paused = should_pause
        if should_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()
