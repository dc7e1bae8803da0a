"""What this gateway knows of one server."""

from __future__ import annotations

from math import inf

from quota_gateway.api import ServerEntry, ServerState
from quota_gateway.state.records import NEVER, FailureRecord


class Server:
    """One server's row. The comment above a group of columns names the decision that writes them."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "started_ms",
        "is_ready",
        "is_listed_ready",
        "restored_ms",
        "must_be_used_by_ms",
        "slow_start_phase",
        "has_idle_connection",
        "attempts_in_flight",
        "latency_ratio",
        "latency_ratio_at",
        "reported_queue",
        "reported_queue_at",
        "failure_records",
    )

    def __init__(self, entry: ServerEntry, slow_start_phase: float) -> None:
        self.id = entry.server
        # Slow start: where on the circle of requests' draws, 0 to 1, this server's share begins.
        self.slow_start_phase = slow_start_phase
        self.has_idle_connection = False
        # Administratively down: when it was put back, and until when it must have been used after that.
        self.restored_ms = 0.0
        self.must_be_used_by_ms = inf
        self.attempts_in_flight: set[tuple[str, int]] = set()  # request id and number of the attempt
        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what a process that has ended has shown."""
        self.latency_ratio = 1.0  # its latency in mean latencies of the class
        self.latency_ratio_at = NEVER
        self.reported_queue = 0.0  # requests, by its last load report
        self.reported_queue_at = NEVER
        self.failure_records: dict[str, FailureRecord] = {}

    def update(self, entry: ServerEntry) -> None:
        """Take over an entry of the endpoint list."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_ms = max(entry.started_ms, self.restored_ms)
        self.is_listed_ready = entry.state is ServerState.READY
        self.is_ready = self.is_listed_ready
