"""What this gateway knows of one server."""

from __future__ import annotations

from math import inf

from quota_gateway.api import ServerEntry, ServerState
from quota_gateway.state.records import NEVER, AttemptKey, FailureRecord


class Server:
    """One server's row.

    The comment above a group of columns names the module that writes them; ``state_document.py`` restores
    most of them after a hot restart.
    """

    __slots__ = (
        "id",
        "zone",
        "cell",
        "started_ms",
        "is_listed_ready",
        "is_ready",
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

        # Drawn once: where on the circle of requests' draws, 0 to 1, its share begins while it warms up.
        self.slow_start_phase = slow_start_phase

        # state/endpoints.py: when operators put it back, and by when it must be used after that; the first
        # attempt, in state/pending_requests.py, meets that.
        self.restored_ms = 0.0
        self.must_be_used_by_ms = inf

        # state/pending_requests.py
        self.attempts_in_flight: set[AttemptKey] = set()

        # state/estimates.py, LoadReports
        self.has_idle_connection = False

        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what the server has shown, as its process has ended."""
        # state/estimates.py, Latencies: its latency, in mean latencies of the class.
        self.latency_ratio = 1.0
        self.latency_ratio_at = NEVER

        # state/estimates.py, LoadReports: requests that wait there.
        self.reported_queue = 0.0
        self.reported_queue_at = NEVER

        # state/estimates.py, FailureRates
        self.failure_records: dict[str, FailureRecord] = {}

    def update(self, entry: ServerEntry) -> None:
        """Take over an entry of the endpoint list; one that operators put back was started then at least."""
        # From the endpoint list; state/endpoints.py also sets the start and readiness, for operators.
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_ms = max(entry.started_ms, self.restored_ms)
        self.is_listed_ready = entry.state is ServerState.READY
        self.is_ready = self.is_listed_ready  # and not administratively down
