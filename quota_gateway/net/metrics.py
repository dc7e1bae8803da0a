"""Counters of this process since its start, as the admin endpoint's FIGURES gives them.

Bounded: as many reasons as the decisions know, as many latency buckets as the scale has.
"""

from __future__ import annotations

import json
import os
import resource
import time
from collections import Counter
from contextlib import suppress
from math import log2
from pathlib import Path

from quota_gateway.net.close_reason import CloseReason
from quota_gateway.state import GiveUpReason

LATENCY_BUCKETS_PER_DOUBLING = 4  # a bucket is 19% wide
MAX_LATENCY_BUCKET = 68  # begins at 131 s; bucket 0 holds all below 1.19 ms

PROGRAM = str(Path(__file__).parents[2])  # the folder of the version that runs


def latency_bucket(latency_ms: float) -> int:
    """The bucket of the logarithmic scale that a latency falls into."""
    if latency_ms <= 1.0:
        return 0
    return min(MAX_LATENCY_BUCKET, int(LATENCY_BUCKETS_PER_DOUBLING * log2(latency_ms)))


def peak_memory_kib() -> int:
    """The largest resident set that this process has had, in KiB.

    Guards against ``ru_maxrss``, which begins with the peak of the parent process: below that no growth
    shows.
    """
    with suppress(OSError, ValueError, IndexError), open("/proc/self/status", "rb") as file:  # not on Linux
        return int(file.read().split(b"VmHWM:")[1].split()[0])
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


class GatewayMetrics:
    """Counters of requests and of what became of them.

    A request that was read ends in exactly one of five ways: served, rejected, failed, its client left, or
    this gateway closed its connection. So `requests_total` is their sum and the requests without an end yet.
    """

    def __init__(self) -> None:
        self.started_s = time.time()
        self.requests_total = 0
        self.served_total = 0
        self.rejected_total = 0
        self.failed_total = 0
        self.disconnected_total = 0  # the client left before its answer
        self.dropped: Counter[CloseReason] = Counter()  # this gateway closed the connection before
        self.broken_off_total = 0  # of those served: the rest of a long value never came
        self.late_total = 0  # served after the latency objective of their class
        self.attempts_total = 0
        self.latency_buckets = [0] * (MAX_LATENCY_BUCKET + 1)  # requests served, by bucket

    def count_answer(self, answer: bytes, latency_ms: float, latency_objective_ms: float) -> None:
        """Count a final answer by its first bytes on the wire: a value, a rejection or another error."""
        if answer[:1] == b"$":
            self.count_served(latency_ms, latency_objective_ms)
        elif answer.startswith(b"-BUSY"):
            self.rejected_total += 1
        else:
            self.failed_total += 1

    def count_disconnected(self, close_reason: CloseReason | None) -> None:
        """Count a request whose connection ended first; the reason is None where its client left."""
        if close_reason is None:
            self.disconnected_total += 1
        else:
            self.dropped[close_reason] += 1

    def ended_total(self) -> int:
        """Requests that have ended, in one way each."""
        return (
            self.served_total
            + self.rejected_total
            + self.failed_total
            + self.disconnected_total
            + self.dropped.total()
        )

    def count_served(self, latency_ms: float, latency_objective_ms: float) -> None:
        """Count a request as served; one with a long value as the value begins."""
        self.served_total += 1
        self.late_total += latency_ms > latency_objective_ms
        self.latency_buckets[latency_bucket(latency_ms)] += 1

    def to_json(
        self, reasons: Counter[GiveUpReason], in_flight: int, unanswered: int, configuration_digest: str
    ) -> str:
        """All counters as a JSON object on one line, by the keys that operators' tools read.

        ``in_flight``: requests that are not done with; ``unanswered``: those of them without an end.
        """
        document = {
            "pid": os.getpid(),
            "since": round(self.started_s, 3),
            "revision": configuration_digest,  # a digest: revision numbers differ between processes
            "program": PROGRAM,
            "asked": self.requests_total,
            "served": self.served_total,
            "refused": self.rejected_total,
            "failed": self.failed_total,
            "gone": self.disconnected_total,
            "dropped": {reason.value: total for reason, total in self.dropped.items()},
            "unanswered": unanswered,
            "broken_off": self.broken_off_total,
            "late": self.late_total,
            "attempts": self.attempts_total,
            "in_hand": in_flight,
            "reasons": dict(reasons),
            "latency": {bucket: total for bucket, total in enumerate(self.latency_buckets) if total},
            "memory_kb": peak_memory_kib(),
        }
        return json.dumps(document, separators=(",", ":"))
