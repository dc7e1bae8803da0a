"""What this gateway knows of one server."""

from __future__ import annotations

from math import inf

from quota_gateway.api import ServerEntry, ServerState
from quota_gateway.state.records import NEVER, AttemptKey, FailureRecord


class Server:
    """State of one server, also called its row.

    The comment above a group of attributes names the module that writes them. ``state_document.py`` restores
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

        # Random number, 0 to 1, drawn once. A warming server may get the requests whose own random number
        # (`PendingRequest.draw`) lies in a range of the circle 0 to 1; this sets where the range begins.
        self.slow_start_phase = slow_start_phase

        # Written by state/endpoints.py: when operators put the server back into service, 0 if they never did,
        # and by when it must be used after that. Its first attempt after that ends the wait: then
        # state/pending_requests.py sets the latter to inf.
        self.restored_ms = 0.0
        self.must_be_used_by_ms = inf

        # Written by state/pending_requests.py
        self.attempts_in_flight: set[AttemptKey] = set()

        # Written by LoadReports in state/estimates.py
        self.has_idle_connection = False

        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what was observed of the server, as the process observed has ended."""
        # Written by Latencies in state/estimates.py: latency as a multiple of the class's mean latency.
        self.latency_ratio = 1.0
        self.latency_ratio_at = NEVER

        # Written by LoadReports in state/estimates.py: requests queued at the server.
        self.reported_queue = 0.0
        self.reported_queue_at = NEVER

        # Written by FailureRates in state/estimates.py
        self.failure_records: dict[str, FailureRecord] = {}

    def update(self, entry: ServerEntry) -> None:
        """Apply an entry of the endpoint list. The start is never before operators put the server back."""
        # From the endpoint list. state/endpoints.py also sets the start and readiness on behalf of operators.
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_ms = max(entry.started_ms, self.restored_ms)
        self.is_listed_ready = entry.state is ServerState.READY
        self.is_ready = self.is_listed_ready  # and not administratively down: see state/endpoints.py
