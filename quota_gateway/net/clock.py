"""The clock by which the policy is called."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds that never goes backwards.

    Guards against a system clock that is changed while the gateway runs: the system clock is read once, and
    the monotonic clock gives the time since then.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def __call__(self) -> float:
        """The current time."""
        return (time.monotonic() + self._offset_s) * 1000.0
