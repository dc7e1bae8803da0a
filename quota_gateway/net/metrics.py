"""What this process has done since it started, in counts that are read in one call at the door.

Bounded: as many reasons as the decisions know, as many latencies as the scale has steps.
"""

from __future__ import annotations

import json
import os
import resource
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from math import log2
from pathlib import Path

STEPS = 4  # of the scale of latencies in each doubling: a step is 19% wide
MOST_STEP = 68  # the last step begins at 131 s; the first holds all below 1 ms

PROGRAM = str(Path(__file__).parents[2])  # the folder of the version that runs


def step(ms: float) -> int:
    """The step of the scale that a latency falls into."""
    return min(MOST_STEP, int(STEPS * log2(ms))) if ms > 1.0 else 0


def peak_kb() -> int:
    """The most memory that this process has had, in KiB.

    Guards against ``ru_maxrss``, which begins with what its starter had: below that no growth shows.
    """
    with suppress(OSError, ValueError, IndexError), open("/proc/self/status", "rb") as file:
        return int(file.read().split(b"VmHWM:")[1].split()[0])
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


class Figures:
    """Counts of requests and of what became of them."""

    def __init__(self) -> None:
        self.since = time.time()
        self.asked = self.served = self.refused = self.failed = self.gone = 0
        self.late = 0  # served after the aim of their class
        self.attempts = 0
        self.latency = [0] * (MOST_STEP + 1)  # of what was served, by step

    def answered(self, answer: bytes, ms: float, latency_objective_ms: float) -> None:
        """A final answer goes out."""
        if answer[:1] == b"$":
            self.good(ms, latency_objective_ms)
        elif answer.startswith(b"-BUSY"):
            self.refused += 1
        else:
            self.failed += 1

    def good(self, ms: float, latency_objective_ms: float) -> None:
        """A request is served, or its long value begins."""
        self.served += 1
        self.late += ms > latency_objective_ms
        self.latency[step(ms)] += 1

    def look(self, reasons: Counter[str], in_hand: int, revision: Callable[[], str]) -> str:
        """All of it as a JSON object on one line; memory in KiB, at the most so far."""
        return json.dumps(
            {
                "pid": os.getpid(),
                "since": round(self.since, 3),
                "revision": revision(),
                "program": PROGRAM,
                "asked": self.asked,
                "served": self.served,
                "refused": self.refused,
                "failed": self.failed,
                "gone": self.gone,
                "late": self.late,
                "attempts": self.attempts,
                "in_hand": in_hand,
                "reasons": dict(reasons),
                "latency": {number: n for number, n in enumerate(self.latency) if n},
                "memory_kb": peak_kb(),
            },
            separators=(",", ":"),
        )
