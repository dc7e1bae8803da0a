"""Detects a client that reads none of its replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

STALL_TIMEOUT_S = 15.0  # a client that reads no byte of its replies for this long counts as gone


class StallTimer:
    """Calls back when a peer has read nothing from its connection for the timeout; not if it reads slowly.

    Progress is checked once per timeout, so a stall is detected after one to two timeouts. It is measured by
    the size of the write buffer, so nothing may be written while the timer runs.
    """

    __slots__ = ("_timer", "_buffered_bytes")

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None
        self._buffered_bytes = 0

    def start(self, transport: asyncio.Transport, on_stalled: Callable[[], None]) -> None:
        """Start watching the write buffer, from its current size."""
        self.cancel()
        self._buffered_bytes = transport.get_write_buffer_size()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STALL_TIMEOUT_S, self._on_timeout, transport, on_stalled)

    def cancel(self) -> None:
        """Stop watching."""
        if self._timer:
            self._timer.cancel()

    def _on_timeout(self, transport: asyncio.Transport, on_stalled: Callable[[], None]) -> None:
        if transport.get_write_buffer_size() < self._buffered_bytes:
            self.start(transport, on_stalled)
        else:
            on_stalled()
