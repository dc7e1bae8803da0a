"""Gives up a client that takes none of its replies."""

from __future__ import annotations

import asyncio

STALL_TIMEOUT_S = 15.0  # a client that takes no byte of its replies for so long is gone


class StallTimer:
    """Aborts a transport from which nothing was taken for the timeout; a slow client takes some."""

    __slots__ = ("_timer", "_transport", "_waiting_bytes")

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._waiting_bytes = 0

    def start(self, transport: asyncio.Transport) -> None:
        """Watch from now on."""
        self.cancel()
        self._transport = transport
        self._waiting_bytes = transport.get_write_buffer_size()
        self._timer = asyncio.get_running_loop().call_later(STALL_TIMEOUT_S, self._on_timeout)

    def cancel(self) -> None:
        """Watch no more."""
        if self._timer:
            self._timer.cancel()

    def _on_timeout(self) -> None:
        assert self._transport
        if self._transport.get_write_buffer_size() < self._waiting_bytes:
            self.start(self._transport)
        else:
            self._transport.abort()
