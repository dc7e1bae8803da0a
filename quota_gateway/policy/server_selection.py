"""Server selection: chooses the ready server with the lowest expected cost among a few that are compared."""

from __future__ import annotations

from collections.abc import Collection

from quota_gateway.api import Idempotency
from quota_gateway.policy.concurrency_limit import AdaptiveConcurrencyLimit
from quota_gateway.policy.outlier_detection import FailurePriors, OutlierDetection
from quota_gateway.policy.retry_policy import retry_group
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import LoadReports, PendingRequest, Server

REPORTED_QUEUE_WEIGHT = 1.0  # of a request in a reported queue, relative to an own attempt in flight
CROSS_ZONE_WEIGHT = 10.0  # relative cost per unit of the price of a zone crossing
RANDOM_COST_RATIO = 0.1  # keeps gateways with the same reports from choosing alike
FAILURE_COST = 6.0  # mean latencies: a failure costs most of a request's value
SAMPLE_SIZE = 10  # servers compared that are drawn at random


class ServerSelection:
    """Chooses servers for first attempts and retries; keeps no state of its own.

    Of many servers only a few are compared: a random sample, those that last answered the request's class
    quickly, and warming servers whose share of all requests this one falls into.
    """

    def __init__(
        self,
        load_reports: LoadReports,
        outlier_detection: OutlierDetection,
        concurrency_limit: AdaptiveConcurrencyLimit,
        slow_start: SlowStart,
    ) -> None:
        self.context = load_reports.context
        self.load_reports = load_reports
        self.endpoints = load_reports.endpoints
        self.outlier_detection = outlier_detection
        self.latencies = concurrency_limit.latencies
        self.slow_start = slow_start
        self.decay = self.context.decay
        self.random = self.context.random

    def cost(self, pending: PendingRequest, server: Server, priors: FailurePriors) -> float:
        """The expected cost of a request at a server, in mean latencies; draws its random part."""
        settings = self.context.settings
        load = 1.0 + len(server.attempts_in_flight)
        if server.reported_queue:
            remaining_ratio = self.decay.remaining_ratio(server.reported_queue_at)
            load += REPORTED_QUEUE_WEIGHT * server.reported_queue * remaining_ratio
        failure_probability = self.outlier_detection.failure_probability(pending, server, priors)
        latency_ratio = self.latencies.server_ratio(server)
        cost = latency_ratio * load * (1.0 + FAILURE_COST * failure_probability)
        if self.load_reports.idle_connections_reported and not server.has_idle_connection:
            # A handshake costs the same however busy the server is: added, while load and failures multiply.
            cost += FAILURE_COST * settings.handshake_price
        # Only requests whose draw falls to a warming server consider it; the lower cost makes them choose it.
        cost *= self.slow_start.capacity_ratio(server)
        if server.zone != settings.zone:
            cost *= 1.0 + CROSS_ZONE_WEIGHT * settings.cross_zone_price
        return cost * (1.0 + RANDOM_COST_RATIO * self.random.random())

    def for_first_attempt(self, pending: PendingRequest) -> Server | None:
        """The server for a first attempt: one that must be used by now, or the best of those compared."""
        overdue = self.endpoints.overdue(self.context.now_ms)
        if overdue:
            return overdue
        ready = self.endpoints.ready
        if len(ready) <= 2 * SAMPLE_SIZE:
            return self._best(pending, ready)
        # Where the phases begin with which `SlowStart.is_eligible` lets a warming server get the request.
        phase = (1.0 - pending.draw) % 1.0
        width = self.slow_start.widest_share_ratio(len(ready))
        warming_up = self.endpoints.warming_up_in(phase, width)
        sample = self.random.sample(ready, SAMPLE_SIZE)
        return self._best(pending, [*sample, *self._quick_servers(pending), *warming_up])

    def for_retry(self, pending: PendingRequest) -> Server | None:
        """The server for a retry, among those that the retry rules allow; None if there is none.

        Servers not tried yet come first; with an idempotency key a server may be tried twice.
        """
        group = retry_group(pending, self.context.now_ms)
        if group is None:
            return None
        servers = self.endpoints.ready_in_group(group, pending.tried_servers)
        if not servers and pending.request_class.idempotency is Idempotency.WITH_KEY:
            servers = self.endpoints.ready_in_group(group, ())
        if len(servers) <= 2 * SAMPLE_SIZE:
            return self._best(pending, list(servers))
        quick = [server for server in self._quick_servers(pending) if server in servers]
        return self._best(pending, self.random.sample(servers, SAMPLE_SIZE) + quick)

    def _quick_servers(self, pending: PendingRequest) -> Collection[Server]:
        """Servers that last answered the request's class quickly."""
        return self.latencies.quick_servers[pending.request_class.name].values()

    def _best(self, pending: PendingRequest, servers: list[Server]) -> Server | None:
        """The server of lowest cost among those that are ready and eligible."""
        ready_count = len(self.endpoints.ready)
        priors = self.outlier_detection.priors(pending)
        eligible = [
            server
            for server in servers
            if server.is_ready and self.slow_start.is_eligible(pending, server, ready_count)
        ]
        return min(eligible, key=lambda server: self.cost(pending, server, priors), default=None)
