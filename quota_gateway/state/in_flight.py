"""The requests in hand, and what they hold."""

from __future__ import annotations

from math import inf

from quota_gateway.api import AttemptEnded
from quota_gateway.state.rows import Customer, Flight, Key, Server


class Hand:
    """Requests in hand by id; ``parked`` are those of them that wait for a server or a turn."""

    def __init__(self) -> None:
        self.flights: dict[str, Flight] = {}
        self.parked: dict[str, Flight] = {}

    def take(self, flight: Flight) -> None:
        """A request is in hand from now on."""
        self.flights[flight.request.request_id] = flight
        flight.customer.held += 1

    def drop(self, flight: Flight) -> bool:
        """It has its answer: parked no more, and forgotten (true) once no attempt is out."""
        request_id = flight.request.request_id
        self.parked.pop(request_id, None)
        if flight.out or request_id not in self.flights:
            return False
        del self.flights[request_id]
        flight.customer.held -= 1
        return True

    def send(self, flight: Flight, server: Server, now: float) -> int:
        """An attempt goes out; its number, from 0."""
        number = flight.sends
        flight.sends += 1
        flight.tried.add(server.id)
        flight.out[number] = (server, now)
        flight.customer.out += 1
        server.out.add((flight.request.request_id, number))
        server.owed_at = inf
        return number

    def end(self, event: AttemptEnded) -> tuple[Flight, Server, float] | None:
        """An attempt is over: its request, its server, and when it was sent; None if it is not known."""
        flight = self.flights.get(event.request_id)
        if flight is None or event.attempt not in flight.out:
            return None
        server, sent = flight.out.pop(event.attempt)
        server.out.discard((event.request_id, event.attempt))
        flight.customer.out -= 1
        return flight, server, sent

    def places(self, customer: Customer) -> int:
        """Places under the in-flight cap that a customer's requests here hold, or will."""
        mine = (flight for flight in self.flights.values() if flight.customer is customer)
        return sum(max(len(flight.out), 0 if flight.closed else 1) for flight in mine)

    def reserved_units(self) -> dict[Key, float]:
        """Units still to be drawn from ceilings here, by customer."""
        units: dict[Key, float] = {}
        for flight in self.flights.values():
            if not flight.closed and not flight.sends:
                key = flight.customer.key
                units[key] = units.get(key, 0.0) + flight.request.units
        return units
