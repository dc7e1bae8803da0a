"""Rate ceiling: the hard limit on a customer's units a second, over all gateways.

A token bucket for each customer, in units; each gateway fills and consumes an even share of it.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from quota_gateway.api import Plan
from quota_gateway.state import Context, Customer, PendingRequest, SettingsEpochs

MS_PER_S = 1000.0


class BucketLevel(NamedTuple):
    """Level of a plan's whole token bucket at a moment."""

    level_units: float
    updated_ms: float


class RateCeiling:
    """Owns customers' token buckets, and the level at which a customer not seen yet begins."""

    def __init__(self, context: Context) -> None:
        self.context = context
        # By plan, as of the last change of settings. Without an entry the level was 0 at the gateway's start,
        # as what customers consumed before is not known.
        self.unseen_levels: dict[str, BucketLevel] = {}

    def unseen_level_units(self, plan: Plan, gateways: int, now_ms: float) -> float:
        """Units in this gateway's share of the bucket of a customer that it has not seen yet."""
        last = self.unseen_levels.get(plan.name)
        level_units = last.level_units if last else 0.0
        updated_ms = last.updated_ms if last else self.context.started_ms
        refilled_units = plan.ceiling_rate * (now_ms - updated_ms) / MS_PER_S
        return min(plan.ceiling_burst, level_units + refilled_units) / gateways

    def begin_epoch(self, epochs: SettingsEpochs, now_ms: float) -> None:
        """Begin an epoch: unseen customers keep their bucket's level; in new plans it starts at 0."""
        plans_before = epochs.past_epochs[-1].plans
        known_levels = {
            name: BucketLevel(self.unseen_level_units(plan, 1, now_ms), now_ms)
            for name, plan in plans_before.items()
            if epochs.plan(name)
        }
        new_levels = {name: BucketLevel(0.0, now_ms) for name in epochs.plans if name not in plans_before}
        self.unseen_levels = known_levels | new_levels

    def level_units(self, customer: Customer, plan: Plan, at_ms: float) -> float:
        """Units in this gateway's share of the customer's bucket."""
        refill_units_per_s = plan.ceiling_rate / customer.serving_gateways
        refilled_units = refill_units_per_s * (at_ms - customer.ceiling_updated_ms) / MS_PER_S
        capacity_units = plan.ceiling_burst / customer.serving_gateways
        return min(capacity_units, customer.ceiling_level_units + refilled_units)

    def wait_ms(self, pending: PendingRequest, now_ms: float) -> float:
        """Time until this gateway's share of the bucket holds the request's units; inf if it never will."""
        customer = pending.customer
        units = pending.request.units
        plan = customer.transition_plan or pending.plan
        if not plan.ceiling_rate:
            return 0.0
        if units > plan.ceiling_burst / customer.serving_gateways:
            return inf
        missing_units = units - self.level_units(customer, plan, now_ms)
        return max(0.0, missing_units) * MS_PER_S * customer.serving_gateways / plan.ceiling_rate

    def consume(self, pending: PendingRequest, now_ms: float) -> None:
        """Take a request's units out of the bucket, as its first attempt is sent."""
        plan = pending.customer.transition_plan or pending.plan
        if plan.ceiling_rate:
            self.refill(pending.customer, plan, now_ms)
            pending.customer.ceiling_level_units -= pending.request.units

    def refill(self, customer: Customer, plan: Plan, until_ms: float) -> None:
        """Refill a customer's share up to a moment, by the plan in force until then."""
        customer.ceiling_level_units = self.level_units(customer, plan, until_ms)
        customer.ceiling_updated_ms = until_ms
