"""Detects a client that reads none of its replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from quota_gateway.net.tcp_info import bytes_acknowledged

STALL_TIMEOUT_S = 15.0  # a client that reads no byte of its replies for this long counts as gone


class Progress(NamedTuple):
    """How far the replies of a client have come."""

    buffered_bytes: int  # in this process
    acknowledged_bytes: int  # by the client's kernel, which stops where the client does not read

    @classmethod
    def of(cls, transport: asyncio.Transport) -> Progress:
        """The progress on a connection so far."""
        buffered_bytes = transport.get_write_buffer_size()
        try:
            acknowledged_bytes = bytes_acknowledged(transport.get_extra_info("socket").fileno())
        except OSError:  # the kernel does not tell
            acknowledged_bytes = 0
        return cls(buffered_bytes, acknowledged_bytes)

    def is_ahead_of(self, earlier: Progress) -> bool:
        """Whether the client has read something meanwhile, if nothing was written."""
        return (
            self.buffered_bytes < earlier.buffered_bytes
            or self.acknowledged_bytes > earlier.acknowledged_bytes
        )


class StallTimer:
    """Calls back when a peer has read nothing from its connection for the timeout; not if it reads slowly.

    Progress is checked once per timeout, so a stall is detected after one to two timeouts. The write buffer
    alone does not show it: the kernel takes more bytes only once a large part of its own buffer is free.
    Nothing may be written while the timer runs.
    """

    __slots__ = ("_timer", "_progress")

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None
        self._progress = Progress(0, 0)

    def start(self, transport: asyncio.Transport, on_stalled: Callable[[], None]) -> None:
        """Start watching a connection, from its progress so far."""
        self.cancel()
        self._progress = Progress.of(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STALL_TIMEOUT_S, self.check, transport, on_stalled)

    def cancel(self) -> None:
        """Stop watching."""
        if self._timer:
            self._timer.cancel()

    def check(self, transport: asyncio.Transport, on_stalled: Callable[[], None]) -> None:
        """Go on watching if the client has read something since the last look."""
        if Progress.of(transport).is_ahead_of(self._progress):
            self.start(transport, on_stalled)
        else:
            on_stalled()
