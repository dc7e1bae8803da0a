"""Measures the CPU time of decisions.

Times the events of a recording, alone or in alternation with another version of the code, and single
decisions by the number of servers and customers.
"""

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

SIZES = (10, 100, 1_000, 20_000)  # numbers of servers in the list
CUSTOMERS = (100, 10_000, 100_000)  # numbers of customers
DECISIONS = 3_000  # decisions measured at each size
T = TypeVar("T")


def cpu_seconds(file: Path) -> float:
    """CPU seconds that all events of a recording take, without those to read it. Raises RecordingError."""
    with open(file, "rb") as source:
        steps = list(Recording(iter(source)).steps())
    start = time.process_time()
    for step in steps:
        step.gateway.handle(step.now_ms, step.event)
    return time.process_time() - start


def compare_trees(file: Path, tree: Path, rounds: int) -> tuple[float, float]:
    """Median CPU seconds in this tree and another version's; each run is a process, the trees alternate."""
    cpu_seconds_by_tree: dict[Path, list[float]] = {Path.cwd(): [], tree: []}
    for _ in range(rounds):
        for tree_path, measured in cpu_seconds_by_tree.items():
            command = [
                sys.executable,
                "-m",
                f"{package_in(tree_path)}.recording",
                "time",
                str(file.resolve()),
            ]
            result = subprocess.run(command, cwd=tree_path, capture_output=True, text=True, check=True)
            measured.append(float(result.stdout.split()[0]))
    here, there = (median(measured) for measured in cpu_seconds_by_tree.values())
    return here, there


class DecisionBenchmark:
    """A gateway with many servers and customers; each attempt ends before the next begins.

    ``cold`` is the share of servers that have just started.
    """

    def __init__(self, servers: int, customers: int, cold: float) -> None:
        rng = random.Random(1)
        limits = api.Limits(max_attempts=3, can_cancel=True)
        settings = replace(draw_settings(rng), limits=limits, gateways=4)
        self.gateway = Gateway(settings, 1)
        self.now_ms = 1e6
        self.request_count = 0
        self.customers = customers
        self.rng = rng
        entries = tuple(
            api.ServerEntry(n, "abc"[n % 3], cell=n % 50, started_ms=self.now_ms * (rng.random() < cold))
            for n in range(servers)
        )
        self.gateway.handle(self.now_ms, api.ServerList(api.ListKind.COMPLETE, entries))

    def request(self, customer: int, class_name: str = "k0") -> tuple[str, list[api.Action]]:
        """Send a request under the plan without a quota; return its id and the gateway's actions."""
        self.request_count = self.request_count + 1
        self.now_ms = self.now_ms + 0.1
        request_id = f"r{self.request_count}"
        return request_id, self.gateway.handle(
            self.now_ms, api.Request(request_id, class_name, "free", f"c{customer}", 3000.0)
        )

    def end_attempt(
        self, request_id: str, actions: list[api.Action], number: int, status: api.Status
    ) -> list[api.Action]:
        """End the attempt that these actions began; without one, disconnect the request's client."""
        sent = [action for action in actions if isinstance(action, api.Send)]
        if not sent:
            return self.gateway.handle(self.now_ms, api.ClientDisconnected(request_id))
        return self.gateway.handle(
            self.now_ms,
            api.AttemptEnded(request_id, number, sent[0].server, status, 20.0, status is api.Status.OK),
        )

    def measure(self) -> tuple[float, float]:
        """Median microseconds of the first decision on a request, and of that after a reset attempt.

        A reset attempt may have been executed by the server.
        """
        for customer in range(self.customers):
            request_id, actions = self.request(customer)
            self.end_attempt(request_id, actions, 0, api.Status.OK)
        first_us: list[float] = []
        retry_us: list[float] = []
        for n in range(DECISIONS):
            class_name = ("k0", "k1", "k2", "k3")[n % 4]  # idempotency: safe, and with a key in each scope
            (request_id, actions), elapsed = _timed(
                partial(self.request, self.rng.randrange(self.customers), class_name)
            )
            first_us.append(elapsed)
            actions, elapsed = _timed(partial(self.end_attempt, request_id, actions, 0, api.Status.RESET))
            if any(isinstance(action, api.Send) for action in actions):  # the retry budget allows one in five
                retry_us.append(elapsed)
            self.end_attempt(request_id, actions, 1, api.Status.OK)
        return median(first_us), median(retry_us)


def _timed(call: Callable[[], T]) -> tuple[T, float]:
    start = time.perf_counter_ns()
    result = call()
    return result, (time.perf_counter_ns() - start) / 1000.0
