"""The time that a client has for its next command."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# For a first request, and for the rest of a command: a peer that is no client is closed within 3 s.
COMMAND_TIMEOUT_S = 2.5
MAX_BODY_ROUNDS = 3  # further command timeouts granted to a body while its bytes come


class CommandTimer:
    """Runs while a complete command is awaited; what its end means is the connection's to decide.

    Guards against a peer that sends nothing, half a command or a single PING and stays for good.
    """

    __slots__ = ("_loop", "_handle", "_first_timeout_s", "_has_progress", "_body_rounds")

    def __init__(self, loop: asyncio.AbstractEventLoop, waited_s: float) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None
        self._first_timeout_s: float | None = max(0.0, COMMAND_TIMEOUT_S - waited_s)
        self._has_progress = False  # bytes came since it was started
        self._body_rounds = 0  # granted to the command that is coming

    @property
    def is_running(self) -> bool:
        """Whether a command is awaited."""
        return self._handle is not None

    def start(self, on_expired: Callable[[], None]) -> None:
        """Await a command; call ``expired`` first when it calls back."""
        timeout_s = COMMAND_TIMEOUT_S if self._first_timeout_s is None else self._first_timeout_s
        self._first_timeout_s = None
        self._has_progress = False
        self._handle = self._loop.call_later(timeout_s, on_expired)

    def expired(self) -> None:
        """Take note that it has called back."""
        self._handle = None

    def stop(self) -> None:
        """A complete command has come, or none is awaited any more."""
        self._body_rounds = 0
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def on_bytes(self) -> None:
        """Take note that the command moves."""
        self._has_progress = True

    def grant_body_round(self) -> bool:
        """Whether a body of which bytes came meanwhile gets another timeout; each command gets a few."""
        if not self._has_progress or self._body_rounds >= MAX_BODY_ROUNDS:
            return False
        self._body_rounds += 1
        return True
