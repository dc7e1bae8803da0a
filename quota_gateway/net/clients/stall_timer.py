"""Gives up a client that takes none of its replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

STALL_TIMEOUT_S = 15.0  # a client that takes no byte of its replies for so long is gone


class StallTimer:
    """Calls back when a peer took nothing from its transport for the timeout; a slow client takes some.

    It looks once a timeout, so a stall is seen after one to two of them. Nothing may be written meanwhile.
    """

    __slots__ = ("_timer", "_buffered_bytes")

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None
        self._buffered_bytes = 0

    def start(self, transport: asyncio.Transport, on_stalled: Callable[[], None]) -> None:
        """Watch from now on."""
        self.cancel()
        self._buffered_bytes = transport.get_write_buffer_size()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STALL_TIMEOUT_S, self._on_timeout, transport, on_stalled)

    def cancel(self) -> None:
        """Watch no more."""
        if self._timer:
            self._timer.cancel()

    def _on_timeout(self, transport: asyncio.Transport, on_stalled: Callable[[], None]) -> None:
        if transport.get_write_buffer_size() < self._buffered_bytes:
            self.start(transport, on_stalled)
        else:
            on_stalled()
