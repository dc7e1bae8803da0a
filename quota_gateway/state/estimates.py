"""Estimates that decay: failure rates, latencies, and the load that servers report."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from quota_gateway.api import HealthCheckResult, IdleConnectionChanged
from quota_gateway.state.context import Context
from quota_gateway.state.decay import Decay
from quota_gateway.state.endpoints import Endpoints
from quota_gateway.state.records import NO_FAILURES, FailureRecord, failure_keys
from quota_gateway.state.server import Server

# Successes assumed beside the outcomes of all servers: a single failure is a rate of 0.5.
FLEET_PRIOR_OUTCOMES = 1.0


class FailureRates:
    """Failure rates by key, of each server and of all servers together.

    The rate of all servers stands in for a server's own while that has few outcomes.
    """

    def __init__(self, decay: Decay, prior_weight: float) -> None:
        self.decay = decay
        self.prior_weight = prior_weight  # of all servers' rate beside a server's own, in outcomes
        self.records: dict[str, FailureRecord] = {}  # of all servers together

    def record(self, server: Server, key: str, fleet_key: str, failed: bool) -> None:
        """Record an outcome at a server, under its key there and under the key for all servers."""
        moment = self.decay.moment()
        for records, name in ((server.failure_records, key), (self.records, fleet_key)):
            failures, outcomes, recorded_at = records.get(name, NO_FAILURES)
            remaining_ratio = self.decay.remaining_ratio(recorded_at)
            records[name] = (failures * remaining_ratio + failed, outcomes * remaining_ratio + 1.0, moment)

    def prior(self, fleet_key: str) -> float:
        """The failures, in outcomes, that all servers' rate adds to a server's own.

        The counts of all servers are not decayed to the present, which would shrink both alike: the rate
        holds until newer outcomes change it.
        """
        failures, outcomes, _ = self.records.get(fleet_key, NO_FAILURES)
        return self.prior_weight * failures / (outcomes + FLEET_PRIOR_OUTCOMES)

    def highest(self, server: Server, keys: Sequence[str], priors: Sequence[float]) -> float:
        """The highest failure rate, 0 to 1, expected at a server under these keys with their priors."""
        highest = 0.0
        records = server.failure_records
        prior_weight = self.prior_weight
        for key, prior in zip(keys, priors, strict=True):
            record = records.get(key)
            if record is None or not record[1]:
                rate = prior / prior_weight
            else:
                failures, outcomes, recorded_at = record
                remaining_ratio = self.decay.remaining_ratio(recorded_at)
                rate = (failures * remaining_ratio + prior) / (outcomes * remaining_ratio + prior_weight)
            if rate > highest:
                highest = rate
        return highest

    def keep_only(self, classes: Iterable[str], plans: Iterable[str], servers: Iterable[Server]) -> None:
        """Forget records of all other classes and plans, so that these do not pile up over many changes."""
        plan_names = ("", *plans)
        kept = {key for name in classes for plan in plan_names for key in failure_keys(name, plan)}
        for records in [self.records, *(server.failure_records for server in servers)]:
            for key in [key for key in records if key.startswith("class ") and key not in kept]:
                del records[key]


class Latencies:
    """Mean latencies by class, relative latencies of servers, and servers whose last response was quick."""

    def __init__(self, decay: Decay, mean_weight: float, server_weight: float, max_quick: int) -> None:
        self.decay = decay
        self.mean_weight = mean_weight  # of one response in a class's mean latency
        self.server_weight = server_weight  # of one response in a server's relative latency
        self.max_quick = max_quick  # quick servers remembered for each class
        self.mean_ms: dict[str, float] = {}  # by class
        self.quick_servers: dict[str, dict[int, Server]] = {}  # by class, then by number, latest last

    def set_classes(self, mean_ms: Mapping[str, float]) -> None:
        """Replace the classes by these, with these mean latencies."""
        self.mean_ms = dict(mean_ms)
        self.quick_servers = {name: self.quick_servers.get(name, {}) for name in mean_ms}

    def record(self, server: Server, class_name: str, latency_ms: float) -> None:
        """Record the latency of a successful response."""
        mean_ms = self.mean_ms[class_name]
        self.mean_ms[class_name] = mean_ms + self.mean_weight * (latency_ms - mean_ms)
        ratio = self.server_ratio(server)
        server.latency_ratio = ratio + self.server_weight * (latency_ms / mean_ms - ratio)
        server.latency_ratio_at = self.decay.moment()

    def server_ratio(self, server: Server) -> float:
        """A server's latency as a multiple of the mean latency. It decays towards 1."""
        if server.latency_ratio == 1.0:
            return 1.0
        return 1.0 + (server.latency_ratio - 1.0) * self.decay.remaining_ratio(server.latency_ratio_at)

    def record_quick(self, server: Server, class_name: str, is_quick: bool) -> None:
        """Record whether a server's last response to a class was quick.

        Drops the oldest entry if there are more than ``max_quick``.
        """
        servers = self.quick_servers[class_name]
        servers.pop(server.id, None)
        if is_quick:
            servers[server.id] = server
            if len(servers) > self.max_quick:
                del servers[next(iter(servers))]


class LoadReports:
    """The load that servers report, and whether a connection to them is idle."""

    def __init__(self, context: Context, endpoints: Endpoints) -> None:
        self.context = context
        self.endpoints = endpoints
        self.idle_connections_reported = False  # whether the driver reports idle connections at all

    def record(self, server: Server, load: tuple[float, ...] | None) -> None:
        """Record a load report, with values in the order of the settings' load fields, if there is one."""
        if load:
            report = dict(zip(self.context.settings.load_fields, load, strict=False))
            server.reported_queue = report.get("queue") or 0.0
            server.reported_queue_at = self.context.decay.moment()

    def on_health_check_result(self, event: HealthCheckResult) -> None:
        """Record the load report of a health check, which came without a request."""
        if server := self.endpoints.servers.get(event.server):
            self.record(server, event.load)

    def on_idle_connection_changed(self, event: IdleConnectionChanged) -> None:
        """Record whether a connection to a server is idle: an attempt there then costs no handshake."""
        self.idle_connections_reported = True
        if server := self.endpoints.servers.get(event.server):
            server.has_idle_connection = event.has_idle
