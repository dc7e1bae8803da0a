"""Bound on the lines that the log takes in a second."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

MAX_LINES_PER_S = 20


class RateLimitedLog(logging.Filter):
    """Logging filter that drops lines beyond a rate and counts them in the next line that passes.

    Guards against peers that fill the log: each broken answer of a server is a line.
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock_s = clock_s
        self._second = -1
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
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
            record.msg = f"{record.getMessage()} ({self._dropped} lines left out)"
            record.args = ()
        self._second = second
        self._lines = 0
        self._dropped = 0
