"""The requests in hand, and what they hold."""

from __future__ import annotations

from math import inf

from quota_gateway.api import AttemptEnded
from quota_gateway.state.customer import Customer
from quota_gateway.state.pending_request import PendingRequest
from quota_gateway.state.records import CustomerKey
from quota_gateway.state.server import Server


class InFlightRequests:
    """Requests in hand by id; ``parked`` are those of them that wait for a server or a turn."""

    def __init__(self) -> None:
        self.pending_requests: dict[str, PendingRequest] = {}
        self.parked: dict[str, PendingRequest] = {}

    def take(self, pending: PendingRequest) -> None:
        """A request is in hand from now on."""
        self.pending_requests[pending.request.request_id] = pending
        pending.customer.pending_count += 1

    def drop(self, pending: PendingRequest) -> bool:
        """It has its answer: parked no more, and forgotten (true) once no attempt is out."""
        request_id = pending.request.request_id
        self.parked.pop(request_id, None)
        if pending.attempts_in_flight or request_id not in self.pending_requests:
            return False
        del self.pending_requests[request_id]
        pending.customer.pending_count -= 1
        return True

    def send(self, pending: PendingRequest, server: Server, now: float) -> int:
        """An attempt goes out; its number, from 0."""
        number = pending.attempts_started
        pending.attempts_started += 1
        pending.tried_servers.add(server.id)
        pending.attempts_in_flight[number] = (server, now)
        pending.customer.attempts_in_flight += 1
        server.attempts_in_flight.add((pending.request.request_id, number))
        server.must_be_used_by_ms = inf
        return number

    def end(self, event: AttemptEnded) -> tuple[PendingRequest, Server, float] | None:
        """An attempt is over: its request, its server, and when it was sent; None if it is not known."""
        pending = self.pending_requests.get(event.request_id)
        if pending is None or event.attempt not in pending.attempts_in_flight:
            return None
        server, sent = pending.attempts_in_flight.pop(event.attempt)
        server.attempts_in_flight.discard((event.request_id, event.attempt))
        pending.customer.attempts_in_flight -= 1
        return pending, server, sent

    def places(self, customer: Customer) -> int:
        """Places under the in-flight cap that a customer's requests here hold, or will."""
        mine = (pending for pending in self.pending_requests.values() if pending.customer is customer)
        return sum(max(len(pending.attempts_in_flight), 0 if pending.answered else 1) for pending in mine)

    def reserved_units(self) -> dict[CustomerKey, float]:
        """Units still to be drawn from ceilings here, by customer."""
        units: dict[CustomerKey, float] = {}
        for pending in self.pending_requests.values():
            if not pending.answered and not pending.attempts_started:
                key = pending.customer.key
                units[key] = units.get(key, 0.0) + pending.request.units
        return units
