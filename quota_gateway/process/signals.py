"""SIGHUP, from the first line of the program to its last."""

from __future__ import annotations

import signal
from collections.abc import Callable


class HangUpSignal:
    """Handler of SIGHUP that outlives the event loop.

    Guards against SIGHUP ending the process. The loop's own handler is installed late, and as the loop
    closes it restores the default, which is to die: the process would end by signal 1 in the last
    milliseconds of a graceful shutdown. This handler belongs to the interpreter and calls into the loop
    only while there is one.
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
        """Call back at each signal from now on, and at once if one came before."""
        self._callback = callback
        if self._received:
            callback()

    def disconnect(self) -> None:
        """Keep the signal away from the loop, which is about to close."""
        self._callback = None

    def ignore(self) -> None:
        """Ignore the signal for good: finalization of the interpreter restores the default of any handler."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
