"""Handling of SIGHUP over the whole life of the process, before and after its event loop runs too."""

from __future__ import annotations

import signal
from collections.abc import Callable


class SighupHandler:
    """Handler of SIGHUP that is active before the event loop starts and after it has closed.

    Guards against SIGHUP ending the process. The event loop's own handler is installed late, and closing the
    loop restores the default, which terminates the process: it would end by signal 1 in the last
    milliseconds of a graceful shutdown. This handler is the interpreter's, and calls into the loop only
    while ``connect`` is in effect.
    """

    def __init__(self) -> None:
        self._received = False
        self._callback: Callable[[], object] | None = None
        signal.signal(signal.SIGHUP, self._handle)

    def _handle(self, *_: object) -> None:
        self._received = True
        if self._callback:
            self._callback()

    def connect(self, callback: Callable[[], object]) -> None:
        """Call ``callback`` for each signal from now on, and at once if one was received before."""
        self._callback = callback
        if self._received:
            callback()

    def disconnect(self) -> None:
        """Stop calling back, as the event loop is about to close."""
        self._callback = None

    def ignore(self) -> None:
        """Ignore the signal for good; finalization of the interpreter resets any handler to the default."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
