"""The requests that this gateway has accepted and not finished yet, and the capacity that they occupy."""

from __future__ import annotations

from math import inf

from quota_gateway.api.enums import AttemptMessage
from quota_gateway.state.customer import Customer
from quota_gateway.state.pending_request import Attempt, PendingRequest
from quota_gateway.state.records import AttemptKey, CustomerKey
from quota_gateway.state.request_state import RequestState
from quota_gateway.state.server import Server

# Looked up once: reading an enum's member takes as long as the rest of a change of state.
IN_FLIGHT = RequestState.IN_FLIGHT
STREAMING = RequestState.STREAMING
ANSWERED = RequestState.ANSWERED
ANSWERED_STREAMING = RequestState.ANSWERED_STREAMING
FINISHED = RequestState.FINISHED


class PendingRequests:
    """Pending requests by id, and the queue of those that wait for a server or for capacity.

    Every change of a request's state is made here, together with the counts that depend on it.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, PendingRequest] = {}
        self.queued: dict[str, PendingRequest] = {}  # exactly those in state QUEUED, longest queued first

    def add(self, pending: PendingRequest) -> None:
        """Add a request that was admitted."""
        self.by_id[pending.request.request_id] = pending
        pending.customer.pending_count += 1

    def hold(self, pending: PendingRequest) -> None:
        """Hold an admitted request until its customer's quota share has room for it."""
        pending.move_to(RequestState.HELD)

    def enqueue(self, pending: PendingRequest) -> None:
        """Queue a request that can't be sent yet."""
        pending.move_to(RequestState.QUEUED)
        self.queued[pending.request.request_id] = pending

    def start_attempt(self, pending: PendingRequest, server: Server, now_ms: float) -> int:
        """Record an attempt that is sent now; returns its number, from 0."""
        request_id = pending.request.request_id
        if pending.state is not IN_FLIGHT:
            self.queued.pop(request_id, None)
            pending.move_to(IN_FLIGHT)
        number = pending.attempts_started
        pending.attempts_started += 1
        pending.tried_servers.add(server.id)
        pending.attempts_in_flight[number] = Attempt(server, now_ms)
        pending.customer.attempts_in_flight += 1
        server.attempts_in_flight.add(AttemptKey(request_id, number))
        server.must_be_used_by_ms = inf
        return number

    def pending_with(self, attempt: AttemptMessage) -> PendingRequest | None:
        """The request with this attempt in flight; None if there is none."""
        pending = self.by_id.get(attempt.request_id)
        if pending is None or attempt.attempt not in pending.attempts_in_flight:
            return None
        return pending

    def end_attempt(self, pending: PendingRequest, number: int) -> Attempt:
        """Record that an attempt in flight has ended; returns it."""
        attempt = pending.attempts_in_flight.pop(number)
        attempt.server.attempts_in_flight.discard(AttemptKey(pending.request.request_id, number))
        pending.customer.attempts_in_flight -= 1
        return attempt

    def begin_stream(self, pending: PendingRequest) -> None:
        """Record that a server's response has begun to stream to the client."""
        pending.move_to(ANSWERED_STREAMING if pending.state is ANSWERED else STREAMING)

    def answer(self, pending: PendingRequest) -> None:
        """Record that a request has its final answer, or that its client has left."""
        self.queued.pop(pending.request.request_id, None)
        pending.move_to(ANSWERED_STREAMING if pending.state is STREAMING else ANSWERED)

    def finish(self, pending: PendingRequest) -> bool:
        """Forget an answered request once no attempt is in flight. Returns whether it was forgotten now."""
        if pending.attempts_in_flight or pending.state is FINISHED:
            return False
        pending.move_to(FINISHED)
        del self.by_id[pending.request.request_id]
        pending.customer.pending_count -= 1
        return True

    def occupied_places(self, customer: Customer) -> int:
        """Places under the concurrency cap that a customer's requests here occupy, or will."""
        places = 0
        for pending in self.by_id.values():
            if pending.customer is customer:
                places += max(len(pending.attempts_in_flight), 0 if pending.state.is_answered else 1)
        return places

    def reserved_units(self) -> dict[CustomerKey, float]:
        """Units that waiting requests will still take from rate ceilings, by customer."""
        units: dict[CustomerKey, float] = {}
        for pending in self.by_id.values():
            if pending.state.is_waiting:
                key = pending.customer.key
                units[key] = units.get(key, 0.0) + pending.request.units
        return units
