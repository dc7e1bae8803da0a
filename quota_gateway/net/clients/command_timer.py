"""Limits the time that a client may take to send a complete command."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# For a first request, and for the rest of a started command. A peer that is not a real client is disconnected
# within 3 s, which includes LINGER_S in connection.py.
COMMAND_TIMEOUT_S = 2.5
MAX_BODY_EXTENSIONS = 3  # further timeouts for a command whose body is still arriving


class CommandTimer:
    """Runs while a complete command is awaited; the connection decides what to do when it expires.

    Guards against a peer that sends nothing, half a command or a single PING and never disconnects.
    """

    __slots__ = (
        "_loop",
        "_handle",
        "_awaited_since_s",
        "_has_received_bytes",
        "_body_extensions",
        "timeout_s",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None
        self._awaited_since_s = 0.0  # loop time
        self._has_received_bytes = False  # bytes have arrived since the timer was started
        self._body_extensions = 0  # granted to the current command
        self.timeout_s = COMMAND_TIMEOUT_S  # of the latest start

    @property
    def is_running(self) -> bool:
        """Whether the timer is running, which means that a command is awaited."""
        return self._handle is not None

    def waited_s(self) -> float:
        """How long the awaited command has been awaited; 0 if none is."""
        return self._loop.time() - self._awaited_since_s if self.is_running else 0.0

    def start(self, on_expired: Callable[[], None], waited_s: float = 0.0) -> None:
        """Start to wait for a command; ``on_expired`` must call ``mark_expired`` first.

        ``waited_s``: how long this command has been awaited already, by the process before.
        """
        self._awaited_since_s = self._loop.time() - waited_s
        self.timeout_s = max(0.0, COMMAND_TIMEOUT_S - waited_s)
        self._has_received_bytes = False
        self._handle = self._loop.call_later(self.timeout_s, on_expired)

    def mark_expired(self) -> None:
        """Record that the timer has expired and no longer runs."""
        self._handle = None

    def stop(self) -> None:
        """Stop waiting: a complete command has arrived, or none is awaited any more."""
        self._body_extensions = 0
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def on_bytes(self) -> None:
        """Record that bytes have arrived."""
        self._has_received_bytes = True

    def grant_body_extension(self) -> bool:
        """Whether to wait for one more timeout: only if bytes arrived meanwhile, a few times per command."""
        if not self._has_received_bytes or self._body_extensions >= MAX_BODY_EXTENSIONS:
            return False
        self._body_extensions += 1
        return True
