"""Outlier detection: estimates how likely a server fails a request.

No server is ejected: failures raise its cost in the server selection. They are recorded for a server as a
whole, for a class there, and for a class of one plan there, as a server may fail for one of these and serve
the others well. Each of these has a key (``FailureKeys``). That of a server as a whole is empty; in the
records of all servers together the server's zone takes its place.
"""

from __future__ import annotations

from quota_gateway.api import Status
from quota_gateway.state import Context, FailureRates, PendingRequest, Server

PRIOR_WEIGHT = 1.0  # outcomes: weight of the failures of all servers beside a server's own
SUSPECTED_RATIO = 0.5  # failure rate from which a server is logged and its silent attempts are hedged


# Failures at all servers that count beside a server's own: for a request's class, and for its class and plan.
FailurePriors = tuple[float, float]


class OutlierDetection:
    """Owns the failure rates of servers, and of all servers together."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.rates = FailureRates(context.decay, PRIOR_WEIGHT)

    def on_attempt_ended(self, pending: PendingRequest, server: Server, status: Status) -> None:
        """Record how an attempt ended; a timeout was recorded when the latency threshold passed."""
        if status is Status.OK:
            for key in pending.failure_keys:
                self.rates.record(server, key, key or server.zone, failed=False)
            return
        failure_key = self.failure_key(pending, status)
        if failure_key is not None:
            self.record_failure(server, failure_key, status.value)

    def failure_key(self, pending: PendingRequest, status: Status) -> str | None:
        """The key under which a failure with this status is recorded; None if none is.

        A failed connection concerns the whole server, an error the request's class there. An overloaded
        server may reject one class of one plan and serve others.
        """
        keys = pending.failure_keys
        if status is Status.OVERLOADED:
            return keys.class_of_plan
        if status is Status.ERROR:
            return keys.request_class
        if status in (Status.CONNECT_FAILED, Status.RESET):
            return keys.server
        return None

    def record_failure(self, server: Server, key: str, cause: str) -> None:
        """Record a failure under a key, and log the server if it is suspected now."""
        self.rates.record(server, key, key or server.zone, failed=True)
        if self.is_suspected(server, key):
            self.context.log_once(
                f"server {server.id} is a suspected outlier{' for ' if key else ''}{key}: {cause}"
            )

    def is_suspected(self, server: Server, key: str) -> bool:
        """Whether a server fails so often under a key that silent attempts there should be hedged."""
        prior = self.rates.prior(key or server.zone)
        return self.rates.highest(server, (key,), (prior,)) >= SUSPECTED_RATIO

    def priors(self, pending: PendingRequest) -> FailurePriors:
        """The priors of a request: the same for all servers that are compared for it."""
        keys = pending.failure_keys
        return self.rates.prior(keys.request_class), self.rates.prior(keys.class_of_plan)

    def failure_probability(self, pending: PendingRequest, server: Server, priors: FailurePriors) -> float:
        """How likely the request fails at a server, 0 to 1.

        A server that is silent, fails or rejects, for all requests or for a class or plan, would otherwise
        keep its share of them. Each failure raises its cost for the next choice. While many servers fail,
        those not tried yet come after those that answered. No server is excluded: if all of them fail, the
        best one still gets requests.
        """
        zone_prior = self.rates.prior(server.zone)
        return self.rates.highest(server, pending.failure_keys, (zone_prior, *priors))
