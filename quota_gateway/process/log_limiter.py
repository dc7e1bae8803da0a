"""Limits how many lines are written to the log in a second."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

MAX_LINES_PER_S = 20


class RateLimitedLog(logging.Filter):
    """Logging filter that drops lines beyond a rate and appends their count to a later line.

    The first line of the next second in which anything is logged carries the count. Guards against peers
    that fill the log: each malformed reply of a server is logged as one line.
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock_s = clock_s
        self._second = -1
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is written to the log."""
        second = int(self._clock_s())
        if second != self._second:
            self._begin_second(second, record)
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._dropped += 1
            return False
        return True

    def _begin_second(self, second: int, record: logging.LogRecord) -> None:
        if self._dropped:
            record.msg = f"{record.getMessage()} ({self._dropped} lines dropped by the rate limit)"
            record.args = ()
        self._second = second
        self._lines = 0
        self._dropped = 0
