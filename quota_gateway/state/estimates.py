"""Estimates from answers that fade: shares of failures, latencies."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from quota_gateway.api import HealthCheckResult, IdleConnectionChanged
from quota_gateway.state.context import Context
from quota_gateway.state.decay import Decay
from quota_gateway.state.endpoints import Endpoints
from quota_gateway.state.records import NEVER, FailureRecord, failure_keys
from quota_gateway.state.server import Server


class FailureRates:
    """Shares of failures by key: of each server, and of all, which stand in while one shows little."""

    def __init__(self, decay: Decay, prior: float) -> None:
        self.decay = decay
        self.prior_weight = prior  # outcomes that the share of all weighs against a server's own
        self.marks: dict[str, FailureRecord] = {}  # of all servers together

    def note(self, server: Server, key: str, everywhere: str, failed: bool) -> None:
        """One outcome at a server, under its key there and the one for all servers."""
        moment = self.decay.moment()
        for marks, name in ((server.failure_records, key), (self.marks, everywhere)):
            bad, seen, then = marks.get(name, (0.0, 0.0, NEVER))
            fade = self.decay.left(then)
            marks[name] = (bad * fade + failed, seen * fade + 1.0, moment)

    def prior(self, everywhere: str) -> float:
        """The failures of all servers, in outcomes, that count beside a server's own."""
        bad, seen, _ = self.marks.get(everywhere, (0.0, 0.0, NEVER))
        return self.prior_weight * bad / (seen + 1.0)

    def worst(self, server: Server, names: Sequence[str], priors: Sequence[float]) -> float:
        """The largest share of failures, 0 to 1, expected at a server under these keys with their priors."""
        worst = 0.0
        marks = server.failure_records
        weight = self.prior_weight
        for name, prior in zip(names, priors, strict=True):
            mark = marks.get(name)
            if mark is None or not mark[1]:
                share = prior / weight
            else:
                fade = self.decay.left(mark[2])
                share = (mark[0] * fade + prior) / (mark[1] * fade + weight)
            if share > worst:
                worst = share
        return worst

    def keep(self, classes: Iterable[str], plans: Iterable[str], servers: Iterable[Server]) -> None:
        """Forget every key of a class or plan that is not among these: bounded however many come and go."""
        known = {key for kind in classes for plan in ("", *plans) for key in failure_keys(kind, plan)}
        for marks in [self.marks, *(server.failure_records for server in servers)]:
            for key in [key for key in marks if key.startswith("class ") and key not in known]:
                del marks[key]


class Latencies:
    """Mean latencies of classes (ms), relative ones of servers, and servers that answered quickly last."""

    def __init__(self, decay: Decay, mean_step: float, ratio_step: float, most_quick: int) -> None:
        self.decay = decay
        self.mean_step = mean_step
        self.ratio_step = ratio_step
        self.most_quick = most_quick
        self.mean: dict[str, float] = {}
        self.quick: dict[str, dict[int, Server]] = {}

    def keep(self, mean: Mapping[str, float]) -> None:
        """The classes are these from now on, with these means."""
        self.mean = dict(mean)
        self.quick = {name: self.quick.get(name, {}) for name in mean}

    def learn(self, server: Server, name: str, latency_ms: float) -> None:
        """One good answer to a class."""
        mean = self.mean[name]
        self.mean[name] = mean + self.mean_step * (latency_ms - mean)
        ratio = self.ratio(server)
        server.latency_ratio = ratio + self.ratio_step * (latency_ms / mean - ratio)
        server.latency_ratio_at = self.decay.moment()

    def ratio(self, server: Server) -> float:
        """A server's latency in mean latencies, as far as it has not faded."""
        if server.latency_ratio == 1.0:
            return 1.0
        return 1.0 + (server.latency_ratio - 1.0) * self.decay.left(server.latency_ratio_at)

    def note_quick(self, server: Server, name: str, quick: bool) -> None:
        """Whether a server's last answer to a class was quick; the longest known gives way."""
        known = self.quick[name]
        known.pop(server.id, None)
        if quick:
            known[server.id] = server
            if len(known) > self.most_quick:
                del known[next(iter(known))]


class LoadReports:
    """What servers tell of their load, and whether a connection to them stands idle."""

    def __init__(self, context: Context, endpoints: Endpoints) -> None:
        self.context = context
        self.endpoints = endpoints
        self.linking = False  # whether anybody tells of connections

    def take(self, server: Server, load: tuple[float, ...] | None) -> None:
        """A report, in the order of the settings' fields, or none."""
        if load:
            report = dict(zip(self.context.settings.load_fields, load, strict=False))
            server.reported_queue = report.get("queue") or 0.0
            server.reported_queue_at = self.context.decay.moment()

    def probed(self, event: HealthCheckResult) -> None:
        """A report without a request."""
        if server := self.endpoints.servers.get(event.server):
            self.take(server, event.load)

    def linked(self, event: IdleConnectionChanged) -> None:
        """News of the connections to a server."""
        self.linking = True
        if server := self.endpoints.servers.get(event.server):
            server.has_idle_connection = event.has_idle
