"""Many timers on one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from math import ceil
from typing import Any, NamedTuple


class _Alarm(NamedTuple):
    """The loop's timer, and when it is due."""

    due_ms: float
    handle: asyncio.TimerHandle


class TimerQueue:
    """Calls back in the order of due times; those of the same time in the order of their making."""

    def __init__(self, clock_ms: Callable[[], float]) -> None:
        self._clock_ms = clock_ms
        self._loop = asyncio.get_running_loop()
        self._timers: list[tuple[float, int, Callable[[Any], None], Any]] = []  # a heap, by due time
        self._order = count()
        self._alarm: _Alarm | None = None

    def __len__(self) -> int:
        """Timers that have not fired."""
        return len(self._timers)

    def at(self, due_ms: float, callback: Callable[[Any], None], argument: Any) -> None:
        """Call back with the argument at a time of the clock."""
        heapq.heappush(self._timers, (due_ms, next(self._order), callback, argument))
        self._set_alarm()

    def fire(self) -> None:
        """Call back for all that are due."""
        self._alarm = None
        now_ms = self._clock_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, callback, argument = heapq.heappop(self._timers)
            callback(argument)
        if self._timers:
            self._set_alarm()

    def _set_alarm(self) -> None:
        """Set the loop's timer for the first that is due, in whole milliseconds rounded up.

        Guards against spinning: the loop rounds a shorter delay down to nothing, and would come back again
        and again until the timer is due.
        """
        due_ms = self._timers[0][0]
        if self._alarm and self._alarm.due_ms <= due_ms:
            return
        if self._alarm:
            self._alarm.handle.cancel()
        delay_ms = max(1, ceil(due_ms - self._clock_ms()))
        self._alarm = _Alarm(due_ms, self._loop.call_later(delay_ms / 1000.0, self.fire))
