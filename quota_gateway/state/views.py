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
    pending_requests = _alias("hand.pending_requests")
    parked = _alias("hand.parked")
    servers = _alias("fleet.servers")
    ready = _alias("fleet.ready")
    cold = _alias("fleet.cold")
    by_hand = _alias("fleet.out")
    draining = _alias("operators.draining")
    left = _alias("operators.left")
    plans = _alias("epochs.plans")
    gateways = _alias("epochs.gateways")
    customers = _alias("book.rows")
    fresh = _alias("ceiling.unseen_levels")
    pool = _alias("pressure.size")
    young = _alias("pressure.young")
    ends_at = _alias("answers.ends_at")
    latency = _alias("pressure.latencies.mean")
    quick = _alias("pressure.latencies.quick")
    marks = _alias("health.shares.marks")
    retries = _alias("attempts.retries")
    handed = _alias("peer_usage.peer_has_taken_over")
    pooled = _alias("reports.linking")
    tally_at = _alias("answers.tally.last_logged_ms")
    tally = _alias("answers.tally")
    tokens = _alias("context.tokens")
    drains = _alias("operators.drains")
    in_hand = _alias("hand.places")
    reserved_units = _alias("hand.reserved_units")
    share = _alias("meter.quota_share")
    ceiling_level = _alias("ceiling.level_units")
    first_latency = _alias("pressure.first_latency")
    relist = _alias("lists.relist")
    arm = _alias("context.arm")
    actions = _alias("context.actions")

    def news_ms(self) -> float:
        """How long a reading of the meter is news (ms)."""
        return float(attrgetter("meter.reading_lifetime_ms")(self))

    def fresh_ceiling(self, plan: Plan, width: int) -> float:
        """The units that a customer not seen since the start may have of its ceiling now."""
        level = attrgetter("ceiling.unseen_level_units")(self)
        return float(level(plan, width, self.now))
