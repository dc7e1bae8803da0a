"""Queue of timers that needs only one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from math import ceil
from typing import Any, NamedTuple

MIN_CANCELLED = 64  # timers that stay cancelled in the queue, so that it is not rebuilt too often


class _LoopTimer(NamedTuple):
    """The event loop's timer for the queue, and when it is due."""

    due_ms: float
    handle: asyncio.TimerHandle


class Timer:
    """A callback and its argument, which are released once the timer has fired or was cancelled."""

    __slots__ = ("callback", "argument")

    def __init__(self, callback: Callable[[Any], None], argument: Any) -> None:
        self.callback: Callable[[Any], None] | None = callback
        self.argument = argument

    def release(self) -> None:
        """Keep nothing alive any more."""
        self.callback = None
        self.argument = None


class TimerQueue:
    """Runs callbacks in the order of their due times; for equal due times in the order they were added.

    Cancelled timers leave the queue once they are more than half of it: otherwise the timers of requests that
    were answered at once would stay for as long as their clients would have waited.
    """

    def __init__(self, clock_ms: Callable[[], float]) -> None:
        self._clock_ms = clock_ms
        self._loop = asyncio.get_running_loop()
        self._timers: list[tuple[float, int, Timer]] = []  # a heap, ordered by due time
        self._cancelled = 0  # timers that are still in the heap
        self._order = count()
        self._loop_timer: _LoopTimer | None = None

    def __len__(self) -> int:
        """Number of timers that have neither fired nor been cancelled."""
        return len(self._timers) - self._cancelled

    def call_at(self, due_ms: float, callback: Callable[[Any], None], argument: Any) -> Timer:
        """Call the callback with the argument once the clock reaches ``due_ms``."""
        timer = Timer(callback, argument)
        heapq.heappush(self._timers, (due_ms, next(self._order), timer))
        self._set_loop_timer()
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; does nothing if it has fired or was cancelled before."""
        if timer.callback is None:
            return
        timer.release()
        self._cancelled += 1
        if self._cancelled > max(MIN_CANCELLED, len(self._timers) // 2):
            self._timers = [entry for entry in self._timers if entry[2].callback]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def fire(self) -> None:
        """Run the callbacks of all timers that are due."""
        self._loop_timer = None
        now_ms = self._clock_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, timer = heapq.heappop(self._timers)
            self._run(timer)
        if self._timers:
            self._set_loop_timer()

    def _run(self, timer: Timer) -> None:
        callback = timer.callback
        argument = timer.argument
        timer.release()
        if callback:
            callback(argument)
        else:
            self._cancelled -= 1

    def _set_loop_timer(self) -> None:
        """Set the event loop's timer for the earliest due time, with the delay rounded up to whole ms.

        Guards against a busy loop: the event loop rounds a delay below 1 ms down to zero, and would call
        ``fire`` again and again until the timer is due.
        """
        due_ms = self._timers[0][0]
        if self._loop_timer and self._loop_timer.due_ms <= due_ms:
            return
        if self._loop_timer:
            self._loop_timer.handle.cancel()
        delay_ms = max(1, ceil(due_ms - self._clock_ms()))
        self._loop_timer = _LoopTimer(due_ms, self._loop.call_later(delay_ms / 1000.0, self.fire))
