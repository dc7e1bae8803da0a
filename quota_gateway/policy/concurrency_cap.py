"""Concurrency cap: the limit on a customer's attempts in flight, over all gateways.

Each gateway enforces its quota share of the cap, without asking the others. Together they may exceed the cap:
each admits at least one attempt, and a late reading that shows unused quota adds a bonus to all shares.
"""

from __future__ import annotations

from quota_gateway.api import Plan
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.state import Context, Customer, PendingRequest

# Readings come as a customer's attempts end. At few gateways that is often enough to have one within its
# ordinary lifetime.
READING_LIFETIME_FACTOR = 2.0
# Above 1: gateways without a reading admit everything, so those with one must reject more to make up for it.
OVERUSE_EXPONENT = 3.0


class CustomerConcurrencyCap:
    """Compares a customer's attempts in flight with this gateway's share of its cap. Keeps no state."""

    def __init__(self, context: Context, quota_meter: QuotaMeter) -> None:
        self.context = context
        self.quota_meter = quota_meter

    def is_reached(self, pending: PendingRequest, now_ms: float) -> bool:
        """Whether this gateway's share of the cap, which is at least one attempt, is used up."""
        customer = pending.customer
        cap = (customer.transition_plan or pending.plan).max_in_flight
        if not cap:
            return False
        occupied_places = customer.attempts_in_flight + customer.peer_occupied_places
        return occupied_places >= max(1, int(cap * self.quota_meter.quota_share(customer, now_ms)))

    def rejects_for_overuse(self, customer: Customer, plan: Plan, now_ms: float) -> bool:
        """Whether to reject a request because of a late reading of the cap's use; may draw a random number.

        Shares can't enforce a cap below one attempt for each gateway: every gateway admits one, so nearly all
        requests of a customer that uses all gateways are beyond its cap. Therefore requests are rejected at
        random, the more likely the higher the reading. Once a customer's peak is over, a few of its requests
        are rejected needlessly.
        """
        cap_is_below_one_each = 0 < plan.max_in_flight < customer.serving_gateways
        if plan.rate or not plan.overuse_cost or not cap_is_below_one_each:
            return False
        lifetime_ms = READING_LIFETIME_FACTOR * self.quota_meter.reading_lifetime_ms
        if now_ms - customer.metered_use_at_ms > lifetime_ms:
            return False
        overuse = float(customer.metered_use_ratio**OVERUSE_EXPONENT)
        return self.context.random.random() * overuse > 1.0
