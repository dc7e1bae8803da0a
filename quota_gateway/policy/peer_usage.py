"""Peer usage: during a hot restart the previous and the next process count as one gateway."""

from __future__ import annotations

from quota_gateway.api import PeerExited, PeerUsage
from quota_gateway.policy.customers import Customers
from quota_gateway.state import Context, Customer, PendingRequests


class PeerUsageExchange:
    """Owns whether the next process has taken over; reports customers' use to it.

    The previous process finishes its pending requests. They still use the customers' quotas and caps, which
    the next process enforces from then on; without reports each process would grant the whole share once.
    """

    def __init__(self, context: Context, pending_requests: PendingRequests, customers: Customers) -> None:
        self.context = context
        self.pending_requests = pending_requests
        self.customers = customers
        self.peer_has_taken_over = False

    def on_hot_restart_begun(self) -> None:
        """The next process takes over: from now on customers' use is reported to it."""
        self.peer_has_taken_over = True

    def report(
        self, customer: Customer, charged_units: float, metered_use_percent: float | None = None
    ) -> None:
        """After the hand-over, report units charged, a meter reading and the places occupied here."""
        if self.peer_has_taken_over:
            plan_name, customer_name = customer.key
            occupied_places = self.pending_requests.occupied_places(customer)
            self.context.actions.append(
                PeerUsage(plan_name, customer_name, occupied_places, charged_units, metered_use_percent)
            )

    def on_peer_usage(self, event: PeerUsage) -> bool:
        """Charge a customer with its use at the previous process; False if the customer is not known here."""
        customer = self.customers.rows.get((event.plan, event.customer))
        if customer is None:
            return False
        self.customers.catch_up(customer)
        customer.peer_occupied_places = event.occupied_places
        quota_meter = self.customers.quota_meter
        quota_meter.charge(customer, event.charged_units)
        if event.metered_use_percent is not None:
            quota_meter.record_reading(customer, event.metered_use_percent, self.context.now_ms)
        return True

    def on_peer_exited(self, _: PeerExited) -> bool:
        """The other process, the previous or the next one, has ended: this one alone is the gateway."""
        self.peer_has_taken_over = False
        for customer in self.customers.rows.values():
            customer.peer_occupied_places = 0
        return True
