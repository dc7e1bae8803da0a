"""CPU that the decisions take: of a recording, against another version in turn; by the size of a fleet."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from statistics import median
from typing import TypeVar

from quota_gateway import Gateway, api
from quota_gateway.compatibility import package_in
from quota_gateway.recording.codec import Recording
from quota_gateway.recording.random_driver import draw_settings

SIZES = (10, 100, 1_000, 20_000)  # servers listed
CUSTOMERS = (100, 10_000, 100_000)
TRIES = 3_000  # decisions measured at each size
T = TypeVar("T")


def seconds(file: Path) -> float:
    """CPU seconds of all events of a recording, without reading it. Raises RecordingError."""
    with open(file, "rb") as source:
        steps = list(Recording(iter(source)).steps())
    start = time.process_time()
    for step in steps:
        step.gateway.handle(step.now_ms, step.event)
    return time.process_time() - start


def against(file: Path, tree: Path, rounds: int) -> tuple[float, float]:
    """Median CPU seconds here and in another version's tree, played in turn by processes of their own."""
    took: dict[Path, list[float]] = {Path.cwd(): [], tree: []}
    for _ in range(rounds):
        for where, found in took.items():
            call = [sys.executable, "-m", f"{package_in(where)}.recording", "time", str(file.resolve())]
            done = subprocess.run(call, cwd=where, capture_output=True, text=True, check=True)
            found.append(float(done.stdout.split()[0]))
    here, there = (median(found) for found in took.values())
    return here, there


class Crowd:
    """A gateway before many servers, asked by many customers; each attempt ends before the next begins."""

    def __init__(self, servers: int, customers: int, cold: float) -> None:
        draw = random.Random(1)
        limits = api.Limits(max_attempts=3, can_cancel=True)
        settings = replace(draw_settings(draw), limits=limits, gateways=4)
        self.gateway = Gateway(settings, 1)
        self.now = 1e6
        self.asked = 0
        self.customers = customers
        self.draw = draw
        entries = tuple(
            api.ServerEntry(n, "abc"[n % 3], cell=n % 50, started_ms=self.now * (draw.random() < cold))
            for n in range(servers)
        )
        self.gateway.handle(self.now, api.ServerList(api.ListKind.COMPLETE, entries))

    def ask(self, customer: int, kind: str = "k0") -> tuple[str, list[api.Action]]:
        """One request of the plan without a quota."""
        self.asked = self.asked + 1
        self.now = self.now + 0.1
        name = f"r{self.asked}"
        return name, self.gateway.handle(self.now, api.Request(name, kind, "free", f"c{customer}", 3000.0))

    def end(self, name: str, actions: list[api.Action], number: int, status: api.Status) -> list[api.Action]:
        """The outcome of the attempt that these actions began; a request with none is let go."""
        sent = [action for action in actions if isinstance(action, api.Send)]
        if not sent:
            return self.gateway.handle(self.now, api.ClientDisconnected(name))
        return self.gateway.handle(
            self.now, api.AttemptEnded(name, number, sent[0].server, status, 20.0, status is api.Status.OK)
        )

    def measure(self) -> tuple[float, float]:
        """Median microseconds of a first decision, and of one after an attempt that may have run."""
        for customer in range(self.customers):
            name, actions = self.ask(customer)
            self.end(name, actions, 0, api.Status.OK)
        first: list[float] = []
        again: list[float] = []
        for n in range(TRIES):
            kind = ("k0", "k1", "k2", "k3")[n % 4]  # safe, and keyed in every scope
            (name, actions), took = _timed(partial(self.ask, self.draw.randrange(self.customers), kind))
            first.append(took)
            actions, took = _timed(partial(self.end, name, actions, 0, api.Status.RESET))
            if any(isinstance(action, api.Send) for action in actions):  # the budget allows one in five
                again.append(took)
            self.end(name, actions, 1, api.Status.OK)
        return median(first), median(again)


def _timed(call: Callable[[], T]) -> tuple[T, float]:
    start = time.perf_counter_ns()
    result = call()
    return result, (time.perf_counter_ns() - start) / 1000.0
