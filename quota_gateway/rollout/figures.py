"""Counts that a gateway reports at its admin endpoint (``FIGURES``), and their growth between two polls."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from msgspec import Struct

from quota_gateway.errors import RolloutError

JSON_KEYS = {
    "requests": "asked",
    "rejected": "refused",
    "client_left": "gone",
    "shed_replies": "shed",
    "held_commands": "held",
    "in_flight": "in_hand",
    "peak_memory_kib": "memory_kb",
    "config_digest": "revision",
    "started_at_s": "since",
    "rejections_by_reason": "reasons",
    "latency_buckets": "latency",
}


class ProcessChangedError(RolloutError):
    """Two reports come from different processes, so their counts can't be subtracted."""


@dataclass(frozen=True, slots=True)
class FiguresWindow:
    """How much the counts of a gateway, or of several gateways together, grew between two polls."""

    requests: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    late: int = 0
    attempts: int = 0
    latency_buckets: dict[int, int] = field(default_factory=dict)

    @property
    def answered(self) -> int:
        """Requests with a final answer."""
        return self.served + self.rejected + self.failed


class GatewayFigures(Struct, frozen=True, rename=JSON_KEYS):
    """A gateway's report: the counts of its process since the start of that process.

    The keys and the latency buckets are those of `net.metrics`; buckets count served requests only.
    `client_left`, `dropped`, `dropped_commands`, `unanswered`, `broken_off`, `shed_replies`, `held_commands`,
    `command_timeouts`, `in_flight`, `config_digest` and `rejections_by_reason` are checked as a report is
    decoded, and not used by rollouts.
    """

    pid: int = 0
    requests: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    client_left: int = 0
    dropped: dict[str, int] = {}  # by reason: the gateway closed the connection
    dropped_commands: int = 0  # read but never handled, as the gateway closed the connection
    unanswered: int = 0
    broken_off: int = 0  # served, but the rest of a long value was never received
    shed_replies: int = 0  # served, but replaced by an error for lack of room
    held_commands: int = 0  # times that a client's commands waited for room for their replies
    command_timeouts: dict[str, int] = {}  # by awaited command: connections that sent none in time
    late: int = 0  # served after the latency objective
    attempts: int = 0
    in_flight: int = 0
    peak_memory_kib: int = 0  # largest resident set since the start
    config_digest: str = ""
    program: str = ""  # folder of the program version that runs
    started_at_s: float = 0.0
    rejections_by_reason: dict[str, int] = {}
    latency_buckets: dict[int, int] = {}  # requests by bucket

    def since(self, earlier: GatewayFigures) -> FiguresWindow:
        """Growth of the counts between an earlier report and this one.

        Raises:
            ProcessChangedError: the process was restarted between the two.
        """
        if earlier.pid != self.pid or earlier.started_at_s != self.started_at_s:
            raise ProcessChangedError(
                f"process {self.pid} replaced process {earlier.pid} since the earlier report"
            )
        return FiguresWindow(
            requests=self.requests - earlier.requests,
            served=self.served - earlier.served,
            rejected=self.rejected - earlier.rejected,
            failed=self.failed - earlier.failed,
            late=self.late - earlier.late,
            attempts=self.attempts - earlier.attempts,
            latency_buckets={
                bucket: count - earlier.latency_buckets.get(bucket, 0)
                for bucket, count in self.latency_buckets.items()
            },
        )


def sum_of_windows(windows: Sequence[FiguresWindow]) -> FiguresWindow:
    """Sum of several gateways' windows between the same two polls."""
    return FiguresWindow(
        requests=sum(window.requests for window in windows),
        served=sum(window.served for window in windows),
        rejected=sum(window.rejected for window in windows),
        failed=sum(window.failed for window in windows),
        late=sum(window.late for window in windows),
        attempts=sum(window.attempts for window in windows),
        latency_buckets=sum_of_latency_buckets(windows),
    )


def sum_of_latency_buckets(windows: Sequence[FiguresWindow]) -> dict[int, int]:
    """Served requests by latency bucket over all windows."""
    counts: dict[int, int] = {}
    for window in windows:
        for bucket, count in window.latency_buckets.items():
            counts[bucket] = counts.get(bucket, 0) + count
    return counts
