"""What others read of a gateway, where its owner keeps it: the door, the handover's document, tests."""

from __future__ import annotations

from operator import attrgetter
from typing import Any

from quota_gateway.api import Plan


def _alias(path: str) -> Any:
    """A property that reads and writes what a part keeps, as ``part.name`` or ``part.part.name`` says."""
    owner, _, name = path.rpartition(".")
    get = attrgetter(owner)
    return property(attrgetter(path), lambda self, value: setattr(get(self), name, value))


class Views:
    """The gateway's public names."""

    settings = _alias("context.settings")
    classes = _alias("context.classes")
    now = _alias("context.now")
    started_at = _alias("context.since")
    timers = _alias("context.timers")
    random = _alias("context.random")
    highest_priority_weight = _alias("context.highest_priority_weight")
    logged = _alias("context.logged")
    sends = _alias("context.decay.sends")
    pending_requests = _alias("in_flight.pending_requests")
    queued = _alias("in_flight.queued")
    servers = _alias("endpoints.servers")
    ready = _alias("endpoints.ready")
    cold = _alias("endpoints.warming_up")
    by_hand = _alias("endpoints.admin_down")
    draining = _alias("graceful_shutdown.is_draining")
    left = _alias("graceful_shutdown.is_drained")
    plans = _alias("epochs.plans")
    gateways = _alias("epochs.gateways")
    customers = _alias("book.rows")
    fresh = _alias("ceiling.unseen_levels")
    pool = _alias("concurrency_limit.limit")
    young = _alias("concurrency_limit.attempts_within_threshold")
    ends_at = _alias("responses.shutdown_at_ms")
    latency = _alias("concurrency_limit.latencies.mean_ms")
    quick = _alias("concurrency_limit.latencies.quick_servers")
    marks = _alias("outlier_detection.rates.records")
    retries = _alias("attempts.retry_budget.tokens")
    handed = _alias("peer_usage.peer_has_taken_over")
    pooled = _alias("load_reports.has_connection_news")
    tally_at = _alias("responses.outcome_counters.last_logged_ms")
    tally = _alias("responses.outcome_counters")
    tokens = _alias("context.tokens")
    drains = _alias("graceful_shutdown.drain_number")
    in_hand = _alias("in_flight.occupied_places")
    reserved_units = _alias("in_flight.reserved_units")
    share = _alias("meter.quota_share")
    ceiling_level = _alias("ceiling.level_units")
    first_latency = _alias("concurrency_limit.initial_latency_ms")
    relist = _alias("endpoint_list.refresh")
    arm = _alias("context.arm")
    actions = _alias("context.actions")

    def news_ms(self) -> float:
        """How long a reading of the meter is news (ms)."""
        return float(attrgetter("meter.reading_lifetime_ms")(self))

    def fresh_ceiling(self, plan: Plan, width: int) -> float:
        """The units that a customer not seen since the start may have of its ceiling now."""
        level = attrgetter("ceiling.unseen_level_units")(self)
        return float(level(plan, width, self.now))
