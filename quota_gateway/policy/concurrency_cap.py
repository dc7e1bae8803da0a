"""Concurrency cap: the limit that a customer's attempts in flight are to keep, over all gateways.

Each gateway keeps its quota share of the cap, without asking the others. Together they may exceed it: each
admits at least one attempt, and a late reading of unused quota adds a bonus to all shares.
"""

from __future__ import annotations

from quota_gateway.api import Plan
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.state import Context, Customer, PendingRequest

# Of a customer's attempts, few gateways hear often enough to have a reading within its ordinary lifetime.
READING_LIFETIME_FACTOR = 2.0
# Above 1, as gateways without a reading admit everything, and those with one must make up for them.
OVERUSE_EXPONENT = 3.0


class CustomerConcurrencyCap:
    """Compares a customer's attempts in flight with this gateway's share of its cap. Owns nothing."""

    def __init__(self, context: Context, quota_meter: QuotaMeter) -> None:
        self.context = context
        self.quota_meter = quota_meter

    def is_reached(self, pending: PendingRequest, now_ms: float) -> bool:
        """Whether this gateway's share of the cap, at least one attempt, is in flight."""
        customer = pending.customer
        cap = (customer.transition_plan or pending.plan).max_in_flight
        if not cap:
            return False
        occupied_places = customer.attempts_in_flight + customer.peer_occupied_places
        return occupied_places >= max(1, int(cap * self.quota_meter.quota_share(customer, now_ms)))

    def rejects_for_overuse(self, customer: Customer, plan: Plan, now_ms: float) -> bool:
        """Whether to reject a request by the late reading of the cap's use; draws a random number.

        Shares can't keep a cap below one attempt for each gateway: every gateway admits one, so a customer
        that uses all of them is beyond its cap with nearly all it sends. So a request is rejected at random,
        more likely the higher the reading. A customer whose peak is over has a few rejected needlessly.
        """
        is_below_one = 0 < plan.max_in_flight < customer.serving_gateways
        if plan.rate or not plan.overuse_cost or not is_below_one:
            return False
        lifetime_ms = READING_LIFETIME_FACTOR * self.quota_meter.reading_lifetime_ms
        if now_ms - customer.metered_use_at_ms > lifetime_ms:
            return False
        overuse = float(customer.metered_use_ratio**OVERUSE_EXPONENT)
        return self.context.random.random() * overuse > 1.0
