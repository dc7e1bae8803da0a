"""Heartbeat between two processes of one gateway, by which each detects that the other hangs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

HEARTBEAT_INTERVAL_S = 0.25
# Own heartbeats without any message from the peer before it counts as hung. The peer's longest work in one
# turn of its event loop, processing a state of 4 MB, takes a fifth of that time.
MAX_MISSED_HEARTBEATS = 5


class Heartbeat:
    """Sends heartbeats, and reports a peer that sends nothing for several of them.

    Counts own heartbeats instead of time: on a machine that is overloaded or was suspended, this process is
    delayed as much as its peer, so that neither takes the other for hung.
    """

    def __init__(self, send: Callable[[], None], on_hung: Callable[[], None]) -> None:
        self._send = send
        self._on_hung = on_hung
        self._missed = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start sending, unless already started. Both processes must have agreed to send heartbeats."""
        if self._timer is None:
            self._missed = 0
            self._beat()

    def received(self) -> None:
        """Note that a message of any kind has arrived from the peer."""
        self._missed = 0

    def _beat(self) -> None:
        self._missed += 1
        self._timer = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self._beat)
        if self._missed > MAX_MISSED_HEARTBEATS:
            self.stop()
            self._on_hung()
        else:
            self._send()

    def stop(self) -> None:
        """Stop sending heartbeats and reporting."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
