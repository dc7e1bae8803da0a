"""Whether a client's connection is read, by what of it is held here already."""

from __future__ import annotations

import asyncio

from quota_gateway.net.clients.budget import ByteBudget

READ_BYTES = 64 * 1024
MAX_DISCARDED_BYTES = 1024 * 1024  # read behind the last command: a peer that sends more is no client


class ReadThrottle:
    """Pauses and resumes the reading of one connection.

    A connection is read as long as there is capacity for what comes: the client's end is seen only behind
    its data, and once it is seen, commands that are not forwarded yet are dropped.
    """

    __slots__ = ("_waiting_budget", "_waiting_bytes", "discarded_bytes", "is_paused")

    def __init__(self, waiting_budget: ByteBudget) -> None:
        self._waiting_budget = waiting_budget  # over all clients
        self._waiting_bytes = 0  # of commands behind the most that may be in flight
        self.discarded_bytes = 0  # that came behind the last command
        self.is_paused = False

    def set_waiting(self, waiting_bytes: int) -> None:
        """Count the bytes of commands that are read and wait."""
        self._waiting_budget.add(waiting_bytes - self._waiting_bytes)
        self._waiting_bytes = waiting_bytes

    def is_over_budget(self) -> bool:
        """Whether too much waits over all clients, and a read's worth of it is from this one."""
        return self._waiting_bytes >= READ_BYTES and self._waiting_budget.is_exhausted()

    def is_discard_exhausted(self) -> bool:
        """Whether the client has sent more behind its last command than is read."""
        return self.discarded_bytes > MAX_DISCARDED_BYTES

    def apply(self, transport: asyncio.Transport, is_pause_due: bool) -> None:
        """Pause or resume reading, where it changes."""
        if is_pause_due == self.is_paused:
            return
        self.is_paused = is_pause_due
        if is_pause_due:
            transport.pause_reading()
        else:
            transport.resume_reading()
