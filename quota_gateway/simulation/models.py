"""Models of what surrounds the gateways: clock, servers, token buckets of units, usage meters.

Times are milliseconds. The models schedule callbacks on a clock and hold no other state than their own. In
the simulation that clock is virtual; the fault bench runs the servers on a real one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

from quota_gateway import api
from quota_gateway.simulation.world import Machines, PlanConfig

AnswerCallback = Callable[[api.Status], None]


class SchedulingClock(Protocol):
    """A clock that models run on: virtual in the simulation, real on the fault bench."""

    @property
    def now(self) -> float:
        """Milliseconds since the beginning of the run."""

    def after(self, delay_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call ``callback`` after so many milliseconds."""


class Clock:
    """Virtual time: runs callbacks in the order of their due times; equal times in the order scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()

    def after(self, delay_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call ``callback`` after so many milliseconds of virtual time."""
        heappush(self._heap, (self.now + max(0.0, delay_ms), next(self._order), callback, arguments))

    def run(self, until_ms: float) -> None:
        """Run all callbacks due up to a time, and advance to it."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, callback, arguments = heappop(self._heap)
            callback(*arguments)
        self.now = until_ms


class TokenBucket:
    """A customer's quota or rate ceiling over all gateways: full at first, refilled at a constant rate."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.refilled_ms = 0.0

    def refill(self, now_ms: float) -> float:
        """Refill up to now; the units that the bucket then holds."""
        self.level = min(self.burst, self.level + self.rate * (now_ms - self.refilled_ms) / 1000.0)
        self.refilled_ms = now_ms
        return self.level

    def take(self, units: float, now_ms: float) -> bool:
        """Take units if the bucket holds them; whether it did."""
        is_enough = self.refill(now_ms) >= units
        if is_enough:
            self.level -= units
        return is_enough


class Meter:
    """A customer's use over all gateways, in percent of its rate, as the platform reports it.

    The figure is that of the last whole period that ended at least ``delay_ms`` ago.
    """

    def __init__(self, plan: PlanConfig, period_ms: float, delay_ms: float) -> None:
        self.rate = plan.rate
        self.period_ms = period_ms
        self.delay_ms = delay_ms
        self.units_by_period: dict[int, float] = {}

    def add(self, units: float, now_ms: float) -> None:
        """Count units that were sent to a server; forget periods that are no longer reported."""
        period = int(now_ms // self.period_ms)
        self.units_by_period[period] = self.units_by_period.get(period, 0.0) + units
        for old_period in [
            key for key in self.units_by_period if key < period - 1 - int(self.delay_ms // self.period_ms) - 1
        ]:
            del self.units_by_period[old_period]

    def reported_percent(self, now_ms: float) -> float:
        """The figure that answers carry now."""
        period = int((now_ms - self.delay_ms) // self.period_ms) - 1
        return 100.0 * self.units_by_period.get(period, 0.0) / (self.rate * self.period_ms / 1000.0)


class Job:
    """One attempt at a server.

    ``work_ms``: its processing time on a core of speed 1; ``is_abandoned``: nobody waits for its answer.
    """

    __slots__ = ("work_ms", "answer", "is_abandoned")

    def __init__(self, work_ms: float, answer: AnswerCallback) -> None:
        self.work_ms = work_ms
        self.answer = answer
        self.is_abandoned = False


class Server:
    """A server: processes ``cores`` jobs at once and queues ``queue_size``; slower while it warms up.

    An abandoned job is dropped from the queue, but one that runs already is completed. A draining server
    refuses new jobs. Faults set ``slowdown``, ``failing`` and ``silent``.
    """

    def __init__(
        self, clock: SchedulingClock, machines: Machines, entry: api.ServerEntry, speed: float
    ) -> None:
        self.clock = clock
        self.machines = machines
        self.entry = entry
        self.speed = speed
        self.started_ms = -machines.warm_up_ms  # so that it is warm at the beginning
        self.slowdown = 1.0
        self.failing = False
        self.silent = False
        self.running: set[Job] = set()
        self.queue: deque[Job] = deque()
        self.served = 0

    def capacity(self) -> float:
        """The share of its speed that the server has now; it grows linearly during the warm-up."""
        warm_up_ratio = (self.clock.now - self.started_ms) / self.machines.warm_up_ms
        return min(
            1.0,
            self.machines.initial_capacity_ratio
            + (1.0 - self.machines.initial_capacity_ratio) * max(0.0, warm_up_ratio),
        )

    def take(self, job: Job) -> None:
        """An attempt has arrived completely: run, queue or refuse it."""
        if self.silent:
            return
        if self.failing:
            job.answer(api.Status.ERROR)
        elif self.entry.state is not api.ServerState.READY:
            job.answer(api.Status.OVERLOADED)
        elif len(self.running) < self.machines.cores:
            self._start(job)
        elif len(self.queue) >= self.machines.queue_size:
            job.answer(api.Status.OVERLOADED)
        else:
            self.queue.append(job)

    def _start(self, job: Job) -> None:
        self.running.add(job)
        self.clock.after(job.work_ms * self.slowdown / (self.speed * self.capacity()), self._complete, job)

    def _complete(self, job: Job) -> None:
        if job not in self.running:
            return  # the server has been restarted since
        self.running.discard(job)
        self.served += 1
        if not self.silent:
            job.answer(api.Status.OK)
        while self.queue and len(self.running) < self.machines.cores:
            next_job = self.queue.popleft()
            if not next_job.is_abandoned:
                self._start(next_job)

    def restart(self) -> None:
        """Restart cold; jobs that run or are queued end with a reset connection."""
        jobs = [*self.running, *self.queue]
        self.running = set()
        self.queue = deque()
        self.started_ms = self.clock.now
        for job in jobs:
            job.answer(api.Status.RESET)
