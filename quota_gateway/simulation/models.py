"""What is around the gateways, in virtual time: clock, servers, stores of units, the meter.

Times are milliseconds. Every model is a small class, driven by one heap of calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

from quota_gateway import api
from quota_gateway.simulation.world import Machines, Tariff

Answer = Callable[[api.Status], None]


class Ticking(Protocol):
    """A clock that models run on: virtual in the simulation, real on the fault bench."""

    @property
    def now(self) -> float:
        """Milliseconds since the beginning."""

    def after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call this after so many milliseconds."""


class Clock:
    """Virtual time: calls in the order of their times, those of one time as they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()

    def after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call this after so long."""
        heappush(self._heap, (self.now + max(0.0, delay), next(self._order), call, arguments))

    def run(self, until: float) -> None:
        """Make all calls up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, arguments = heappop(self._heap)
            call(*arguments)
        self.now = until


class Store:
    """A quota's or a ceiling's store over all gateways: full at first, refilled evenly."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = 0.0

    def refill(self, now: float) -> float:
        """The units in it now."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1000.0)
        self.at = now
        return self.level

    def take(self, units: float, now: float) -> bool:
        """Take units if it holds them; whether it did."""
        inside = self.refill(now) >= units
        if inside:
            self.level -= units
        return inside


class Meter:
    """A customer's use by all gateways, in percent of its rate: of the last whole period that was told."""

    def __init__(self, tariff: Tariff, period: float, late: float) -> None:
        self.rate = tariff.rate
        self.period = period
        self.late = late
        self.periods: dict[int, float] = {}

    def add(self, units: float, now: float) -> None:
        """Units that were sent on."""
        number = int(now // self.period)
        self.periods[number] = self.periods.get(number, 0.0) + units
        for old in [key for key in self.periods if key < number - 1 - int(self.late // self.period) - 1]:
            del self.periods[old]

    def told(self, now: float) -> float:
        """The figure that answers carry now."""
        number = int((now - self.late) // self.period) - 1
        return 100.0 * self.periods.get(number, 0.0) / (self.rate * self.period / 1000.0)


class Job:
    """One attempt at a server."""

    __slots__ = ("work", "answer", "gone")

    def __init__(self, work: float, answer: Answer) -> None:
        self.work = work
        self.answer = answer
        self.gone = False


class Server:
    """A process: ``cores`` jobs at once, ``room`` that wait, slower while it is cold or in trouble.

    A job that was given up leaves the room, but goes on where it runs. A draining server refuses what is new.
    """

    def __init__(self, clock: Ticking, machines: Machines, entry: api.ServerEntry, speed: float) -> None:
        self.clock = clock
        self.machines = machines
        self.entry = entry
        self.speed = speed
        self.started = -machines.warm_up  # long ago
        self.slow = 1.0
        self.failing = False
        self.silent = False
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.served = 0

    def capacity(self) -> float:
        """The share of its speed that it has, by the time since its start."""
        age = (self.clock.now - self.started) / self.machines.warm_up
        return min(1.0, self.machines.cold_share + (1.0 - self.machines.cold_share) * max(0.0, age))

    def take(self, job: Job) -> None:
        """An attempt has come in whole."""
        if self.silent:
            return
        if self.failing:
            job.answer(api.Status.ERROR)
        elif self.entry.state is not api.ServerState.READY:
            job.answer(api.Status.OVERLOADED)
        elif len(self.running) < self.machines.cores:
            self._start(job)
        elif len(self.waiting) >= self.machines.room:
            job.answer(api.Status.OVERLOADED)
        else:
            self.waiting.append(job)

    def _start(self, job: Job) -> None:
        self.running.add(job)
        self.clock.after(job.work * self.slow / (self.speed * self.capacity()), self._done, job)

    def _done(self, job: Job) -> None:
        if job not in self.running:
            return  # the process has ended in between
        self.running.discard(job)
        self.served += 1
        if not self.silent:
            job.answer(api.Status.OK)
        while self.waiting and len(self.running) < self.machines.cores:
            following = self.waiting.popleft()
            if not following.gone:
                self._start(following)

    def restart(self) -> None:
        """End with what it has, and come back cold."""
        jobs = [*self.running, *self.waiting]
        self.running = set()
        self.waiting = deque()
        self.started = self.clock.now
        for job in jobs:
            job.answer(api.Status.RESET)
