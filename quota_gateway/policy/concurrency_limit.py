"""Adaptive concurrency limit: how many attempts this gateway keeps in flight, over all servers together.

The limit grows as responses come quickly and shrinks as they come late, measured by the latency objective of
each request's class.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from quota_gateway.api import RequestClass
from quota_gateway.state import AttemptKey, Context, Latencies, PendingRequest, Server

INITIAL_LATENCY_RATIO = 0.2  # of a class's latency objective: mean latency assumed until responses come
MEAN_LATENCY_WEIGHT = 0.03  # of one response in a class's mean latency
SERVER_LATENCY_WEIGHT = 0.15  # of one response in a server's relative latency
INITIAL_ATTEMPTS_PER_SERVER = 2.0  # over all gateways
MIN_INITIAL_LIMIT = 2.0  # attempts: with less, a single slow one would stop all others
MAX_INITIAL_ATTEMPTS_PER_SERVER = 6.0  # over all gateways: bounds MIN_INITIAL_LIMIT
MIN_LIMIT = 0.3  # attempts: with less, too few responses come for the limit to recover
LIMIT_INCREASE = 0.035  # attempts for each quick response while the limit is used up
LIMIT_DECREASE = 0.3  # attempts for each slow response; if one in ten is slow, the limit stays level
QUICK_RATIO = 0.3  # of the latency objective: faster responses raise the limit
# Of the latency objective. A response slower than this threshold lowers the limit. An attempt without one by
# then no longer counts, is a failure of its server and may be hedged: policy/attempts.py arms the timer.
LATENCY_THRESHOLD_RATIO = 0.5
MAX_QUICK_SERVERS = 10  # remembered for each class


class AdaptiveConcurrencyLimit:
    """Limit on attempts within their latency threshold, and the latencies by which it is adjusted.

    Without it, servers that have become slow, whatever the cause, would get work faster than they finish it,
    and all responses would come past their objective. There is one limit over all servers, as a limit
    for each server would see a response only every few seconds. Attempts past their threshold do not count,
    so that servers that hang do not stop the work of the others.
    """

    def __init__(self, context: Context) -> None:
        self.limit = inf  # attempts; until the cached endpoint list there is no limit
        self.attempts_within_threshold: set[AttemptKey] = set()
        self.latencies = Latencies(
            context.decay, MEAN_LATENCY_WEIGHT, SERVER_LATENCY_WEIGHT, MAX_QUICK_SERVERS
        )
        self.latencies.set_classes(self.mean_latencies_ms(context.classes.values()))

    def mean_latencies_ms(self, classes: Iterable[RequestClass]) -> dict[str, float]:
        """Mean latencies of these classes by name: as observed, or else the initial ones."""
        observed_ms = self.latencies.mean_ms
        return {item.name: observed_ms.get(item.name, self.initial_latency_ms(item)) for item in classes}

    def initial_latency_ms(self, request_class: RequestClass) -> float:
        """The mean latency assumed for a class until responses come."""
        return request_class.latency_objective_ms * INITIAL_LATENCY_RATIO

    def start(self, servers: int, gateways: int) -> None:
        """Set a cautious limit by the cached endpoint list, with which a gateway starts.

        It is ``INITIAL_ATTEMPTS_PER_SERVER`` for each server, divided evenly by the number of gateways. Where
        that is less than ``MIN_INITIAL_LIMIT``, it is raised to that, but to no more than an even part of
        ``MAX_INITIAL_ATTEMPTS_PER_SERVER`` for each server.
        """
        servers_per_gateway = servers / gateways
        self.limit = max(
            INITIAL_ATTEMPTS_PER_SERVER * servers_per_gateway,
            min(MIN_INITIAL_LIMIT, MAX_INITIAL_ATTEMPTS_PER_SERVER * servers_per_gateway),
        )

    def rescale(self, gateways_before: int, gateways_after: int) -> None:
        """Scale the limit when another number of gateways shares the servers."""
        self.limit = max(MIN_LIMIT, self.limit * gateways_before / gateways_after)

    def is_reached(self, draw: float = 0.0) -> bool:
        """Whether no further attempt may be sent.

        The draw, 0 to 1, decides on the fraction of a limit: with a limit of 1.4 every request may be the
        first in flight, and four in ten may be the second; with a limit of 0.4 four in ten may be the first.
        """
        return len(self.attempts_within_threshold) >= self.limit - draw

    def add(self, request_id: str, attempt: int) -> None:
        """Count an attempt that is sent."""
        self.attempts_within_threshold.add(AttemptKey(request_id, attempt))

    def remove(self, request_id: str, attempt: int) -> None:
        """Stop counting an attempt that has ended, begun to stream or passed its threshold."""
        self.attempts_within_threshold.discard(AttemptKey(request_id, attempt))

    def on_response(self, server: Server, request_class: RequestClass, latency_ms: float) -> None:
        """Adjust the limit and the mean latencies by a successful response, or by the beginning of one."""
        is_quick = latency_ms < QUICK_RATIO * request_class.latency_objective_ms
        self.latencies.record_quick(server, request_class.name, is_quick)
        self.limit = self.limit_after(request_class, latency_ms)
        self.latencies.record(server, request_class.name, latency_ms)

    def limit_after(self, request_class: RequestClass, latency_ms: float) -> float:
        """The limit after a response: lower after a slow one, higher after a quick one if it was used up."""
        if latency_ms > LATENCY_THRESHOLD_RATIO * request_class.latency_objective_ms:
            return max(MIN_LIMIT, self.limit - LIMIT_DECREASE * min(1.0, self.limit))
        is_quick = latency_ms < QUICK_RATIO * request_class.latency_objective_ms
        # Used up: the limit had no room for one more attempt beside the one that has ended.
        if is_quick and len(self.attempts_within_threshold) + 2 >= self.limit:
            return self.limit + LIMIT_INCREASE
        return self.limit

    def queue_wait_ms(self, request_class: RequestClass, queued: int) -> float:
        """Time until the queue has been served, at as many requests as the limit in each mean latency."""
        mean_latency_ms = self.latencies.mean_ms[request_class.name]
        return (1.0 + queued / max(1.0, self.limit)) * mean_latency_ms

    def queue_priority(self, pending: PendingRequest) -> float:
        """Priority in the queue: the request's value relative to the time that a server works on it."""
        value = pending.request_class.priority_weight * pending.plan.price * pending.request.units
        return value / self.latencies.mean_ms[pending.request_class.name]
