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

    settings, classes, now = _alias("context.settings"), _alias("context.classes"), _alias("context.now")
    started_at, timers, random = _alias("context.since"), _alias("context.timers"), _alias("context.random")
    most_worth = _alias("context.most_worth")
    logged, sends = _alias("context.logged"), _alias("context.decay.sends")
    flights, parked = _alias("hand.flights"), _alias("hand.parked")
    servers, ready, cold = _alias("fleet.servers"), _alias("fleet.ready"), _alias("fleet.cold")
    by_hand, draining, left = _alias("fleet.out"), _alias("operators.draining"), _alias("operators.left")
    plans, gateways = _alias("epochs.plans"), _alias("epochs.gateways")
    customers, fresh = _alias("book.known"), _alias("ceilings.fresh")
    pool, young, ends_at = _alias("pressure.size"), _alias("pressure.young"), _alias("answers.ends_at")
    latency, quick = _alias("pressure.latencies.mean"), _alias("pressure.latencies.quick")
    marks = _alias("health.shares.marks")
    retries, handed, pooled = _alias("attempts.retries"), _alias("handover.handed"), _alias("reports.linking")
    tally_at = _alias("answers.tally.at")
    tally, tokens, drains = _alias("answers.tally"), _alias("context.tokens"), _alias("operators.drains")
    in_hand, reserved_units = _alias("hand.places"), _alias("hand.reserved_units")
    share, ceiling_level = _alias("meter.share"), _alias("ceilings.level")
    first_latency = _alias("pressure.first_latency")
    relist, arm, actions = _alias("lists.relist"), _alias("context.arm"), _alias("context.actions")

    def news_ms(self) -> float:
        """How long a reading of the meter is news (ms)."""
        return float(attrgetter("meter.news_ms")(self))

    def fresh_ceiling(self, plan: Plan, width: int) -> float:
        """The units that a customer not seen since the start may have of its ceiling now."""
        level = attrgetter("ceilings.fresh_level")(self)
        return float(level(plan, width, self.now))
