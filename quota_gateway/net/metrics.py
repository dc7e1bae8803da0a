"""Counters of this process since its start, which the admin command FIGURES prints.

Their size is bounded by the number of reasons (``GiveUpReason``, ``CloseReason``) and of latency buckets.
"""

from __future__ import annotations

import json
import os
import resource
import time
from collections import Counter
from contextlib import suppress
from enum import Enum
from math import log2
from pathlib import Path

from quota_gateway.net.close_reason import CloseReason
from quota_gateway.state import GiveUpReason

LATENCY_BUCKETS_PER_DOUBLING = 4  # each bucket's upper end is 19% above its lower one
MAX_LATENCY_BUCKET = 68  # all from 131 s on; bucket 0 holds all below 1.19 ms

PROGRAM = str(Path(__file__).parents[2])  # the folder that the running version was loaded from


def latency_bucket(latency_ms: float) -> int:
    """The number of the bucket of the logarithmic scale that a latency falls into."""
    if latency_ms <= 1.0:
        return 0
    return min(MAX_LATENCY_BUCKET, int(LATENCY_BUCKETS_PER_DOUBLING * log2(latency_ms)))


def peak_memory_kib() -> int:
    """The peak resident set size of this process, in KiB.

    ``ru_maxrss`` starts at the parent process's peak and hides any growth below it: it is only a fallback.
    """
    with suppress(OSError, ValueError, IndexError), open("/proc/self/status", "rb") as file:  # not Linux
        return int(file.read().split(b"VmHWM:")[1].split()[0])
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


class AwaitedCommand(Enum):
    """Which command of a client's connection was awaited; the value is the key in the report."""

    FIRST_REQUEST = "first request"
    LATER_COMMAND = "later command"

    @classmethod
    def of(cls, has_requested: bool) -> AwaitedCommand:
        """The command awaited on a connection, by whether a request was received on it."""
        return cls.LATER_COMMAND if has_requested else cls.FIRST_REQUEST


class GatewayMetrics:
    """Counters of requests and of how they ended.

    A request that was read ends in exactly one of five ways: it was served, rejected or failed, its client
    disconnected, or this gateway closed its connection. So ``requests_total`` is the sum of these five counts
    and of the requests that have not ended yet.
    """

    def __init__(self) -> None:
        self.started_s = time.time()
        self.requests_total = 0
        self.served_total = 0
        self.rejected_total = 0
        self.failed_total = 0
        self.disconnected_total = 0  # the client disconnected before its answer
        self.dropped: Counter[CloseReason] = Counter()  # this gateway closed the connection before the answer
        self.dropped_commands_total = 0  # read but not parsed yet as this gateway closed the connection
        self.broken_off_total = 0  # of those served: the rest of a long value never came
        self.shed_replies_total = 0  # of those served: an error went out, as too many bytes of replies waited
        self.held_commands_total = 0  # times that a client's commands waited for room for their replies
        self.command_timeouts: Counter[AwaitedCommand] = Counter()  # connections that sent none in time
        self.late_total = 0  # of those served: later than the latency objective of their class
        self.attempts_total = 0
        self.latency_buckets = [0] * (MAX_LATENCY_BUCKET + 1)  # requests served, by bucket

    def count_answer(self, answer: bytes, latency_ms: float, latency_objective_ms: float) -> None:
        """Count a final answer, classified by its first bytes: a value, a rejection or another error."""
        if answer[:1] == b"$":
            self.count_served(latency_ms, latency_objective_ms)
        elif answer.startswith(b"-BUSY"):
            self.rejected_total += 1
        else:
            self.failed_total += 1

    def count_disconnected(self, close_reason: CloseReason | None) -> None:
        """Count a request whose connection ended before its answer; None means that the client ended it."""
        if close_reason is None:
            self.disconnected_total += 1
        else:
            self.dropped[close_reason] += 1

    def ended_total(self) -> int:
        """Requests that have ended in any of the five ways."""
        return (
            self.served_total
            + self.rejected_total
            + self.failed_total
            + self.disconnected_total
            + self.dropped.total()
        )

    def count_served(self, latency_ms: float, latency_objective_ms: float) -> None:
        """Count a request as served; a streamed value counts as its first part is sent."""
        self.served_total += 1
        self.late_total += latency_ms > latency_objective_ms
        self.latency_buckets[latency_bucket(latency_ms)] += 1

    def to_json(
        self, reasons: Counter[GiveUpReason], in_flight: int, unanswered: int, configuration_digest: str
    ) -> str:
        """All counters as a JSON object on one line, by the keys that operators' tools read.

        ``in_flight``: requests that the driver holds; ``unanswered``: those of them that have not ended.
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
            "dropped_commands": self.dropped_commands_total,
            "unanswered": unanswered,
            "broken_off": self.broken_off_total,
            "shed": self.shed_replies_total,
            "held": self.held_commands_total,
            "command_timeouts": {awaited.value: total for awaited, total in self.command_timeouts.items()},
            "late": self.late_total,
            "attempts": self.attempts_total,
            "in_hand": in_flight,
            "reasons": dict(reasons),
            "latency": {bucket: total for bucket, total in enumerate(self.latency_buckets) if total},
            "memory_kb": peak_memory_kib(),
        }
        return json.dumps(document, separators=(",", ":"))
