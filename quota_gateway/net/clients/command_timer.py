"""Limits the time that a client may take to send a complete command."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# For a first request, and for the rest of a started command. A peer that is not a real client is disconnected
# within 3 s, which includes LINGER_S in connection.py.
COMMAND_TIMEOUT_S = 2.5
MAX_BODY_EXTENSIONS = 3  # further timeouts for a command whose body is still arriving


class CommandTimer:
    """Measures how long a complete command is awaited; the connection decides what to do when it expires.

    Guards against a peer that sends nothing, half a command or a single PING and never disconnects. Time in
    which this process takes nothing from the client does not count: the timer is suspended meanwhile.
    """

    __slots__ = (
        "_loop",
        "_on_expired",
        "timeout_s",
        "_left_s",
        "_resumed_at_s",
        "_handle",
        "_is_suspended",
        "_has_received_bytes",
        "_body_extensions",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._on_expired: Callable[[], None] | None = None  # None if no command is awaited
        self.timeout_s = 0.0  # given at the latest start
        self._left_s = 0.0  # at the latest start, suspension or resumption
        self._resumed_at_s = 0.0  # loop time of the latest start or resumption
        self._handle: asyncio.TimerHandle | None = None  # None also while suspended
        self._is_suspended = False
        self._has_received_bytes = False  # bytes have arrived since the timer was started
        self._body_extensions = 0  # granted to the current command

    @property
    def is_running(self) -> bool:
        """Whether a command is awaited, although the timer may be suspended."""
        return self._on_expired is not None

    def waited_s(self) -> float:
        """How long the awaited command has been awaited, without the time suspended; 0 if none is."""
        return COMMAND_TIMEOUT_S - self._time_left_s() if self.is_running else 0.0

    def start(self, on_expired: Callable[[], None], waited_s: float = 0.0) -> None:
        """Start to wait for a command; the wait ends as ``on_expired`` is called.

        ``waited_s``: how long this command has been awaited already, by the process before.
        """
        self._on_expired = on_expired
        self.timeout_s = max(0.0, COMMAND_TIMEOUT_S - waited_s)
        self._left_s = self.timeout_s
        self._has_received_bytes = False
        self._schedule()

    def stop(self) -> None:
        """Stop waiting: a complete command has arrived, or none is awaited any more."""
        self._body_extensions = 0
        self._on_expired = None
        self._cancel()

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspend the timer, as nothing is taken from the client, or resume it with the time left."""
        if is_suspended == self._is_suspended:
            return
        self._left_s = self._time_left_s()
        self._is_suspended = is_suspended
        if self.is_running:
            self._schedule()

    def on_bytes(self) -> None:
        """Record that bytes have arrived."""
        self._has_received_bytes = True

    def grant_body_extension(self) -> bool:
        """Whether to wait for one more timeout: only if bytes arrived meanwhile, a few times per command."""
        if not self._has_received_bytes or self._body_extensions >= MAX_BODY_EXTENSIONS:
            return False
        self._body_extensions += 1
        return True

    def _time_left_s(self) -> float:
        if self._is_suspended:
            return self._left_s
        return max(0.0, self._left_s - (self._loop.time() - self._resumed_at_s))

    def _schedule(self) -> None:
        self._cancel()
        self._resumed_at_s = self._loop.time()
        if not self._is_suspended:
            self._handle = self._loop.call_later(self._left_s, self._expire)

    def _cancel(self) -> None:
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def _expire(self) -> None:
        on_expired = self._on_expired
        self._handle = None
        self._on_expired = None
        if on_expired:
            on_expired()
