"""Heartbeat between two processes of one gateway: each one finds out when the other hangs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

HEARTBEAT_INTERVAL_S = 0.25
# Own heartbeats without a message of the peer before it counts as hung. Its longest work in one turn of the
# loop, a state of 4 MB, takes a fifth of that.
MAX_MISSED_HEARTBEATS = 5


class Heartbeat:
    """Sends heartbeats, and reports a peer that sends nothing for several of them.

    Counts own heartbeats instead of time: on a machine that is overloaded or was suspended, this process is
    held up as well as its peer, and neither finds the other hung.
    """

    def __init__(self, send: Callable[[], None], on_hung: Callable[[], None]) -> None:
        self._send = send
        self._on_hung = on_hung
        self._missed = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin; nothing happens if it has begun. Both ends must have agreed to send heartbeats."""
        if self._timer is None:
            self._missed = 0
            self._beat()

    def received(self) -> None:
        """Note that any message of the peer has come."""
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
        """Send no more and report nothing."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
