"""Upgrades: this process and the next one are one gateway."""

from quota_gateway.api import PeerExited, PeerUsage
from quota_gateway.policy.customers import Customers
from quota_gateway.state import Context, Customer, InFlightRequests


class Handover:
    """Owns whether the next process has taken over."""

    def __init__(self, context: Context, in_flight: InFlightRequests, customers: Customers) -> None:
        self.context = context
        self.in_flight = in_flight
        self.customers = customers
        self.handed = False

    def tell(self, customer: Customer, charged: float, used: float | None = None) -> None:
        """Once handed over: the units charged here, the reading of the meter, what is in hand now."""
        if self.handed:
            plan, name = customer.key
            self.context.actions.append(
                PeerUsage(plan, name, self.in_flight.occupied_places(customer), charged, used)
            )

    def hear(self, event: PeerUsage) -> bool:
        """What the process before this one holds and charges of a customer; false if nobody knows it."""
        customer = self.customers.known.get((event.plan, event.customer))
        if customer is None:
            return False
        self.customers.catch_up(customer)
        customer.peer_in_flight = event.in_flight
        self.customers.meter.charge(customer, event.charged)
        if event.metered_use_percent is not None:
            self.customers.meter.read(customer, event.metered_use_percent, self.context.now)
        return True

    def end(self, _: PeerExited) -> bool:
        """The process before this one has ended, or the next one has: this one goes on alone."""
        self.handed = False
        for customer in self.customers.known.values():
            customer.peer_in_flight = 0
        return True
