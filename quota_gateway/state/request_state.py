"""States of a client's request and the transitions between them.

A request is admitted, waits if it must, has attempts in flight, is answered once and is forgotten when its
last attempt has ended. Only `PendingRequests` changes a request's state.
"""

from __future__ import annotations

from enum import Enum


class RequestState(Enum):
    """State of a request, with flags that are derived from it."""

    ADMITTED = "admitted"  # accepted; not yet held, queued or sent
    HELD = "held"  # delayed until its customer's quota share has room for it
    QUEUED = "queued"  # waits for a server, the concurrency cap or limit, or the rate ceiling
    IN_FLIGHT = "in flight"  # attempts were started; between two of them none may be in flight
    STREAMING = "streaming"  # a server's response is passed on as it comes: no deadline, no retry
    ANSWERED = "answered"  # the final answer was given, or the client left; attempts may be in flight
    ANSWERED_STREAMING = "answered, streaming"  # as ANSWERED, after a response had begun to stream
    FINISHED = "finished"  # answered, with no attempt in flight: no longer among the pending requests

    def __init__(self, label: str) -> None:
        # Plain attributes: they are read several times for each event, and properties are much slower.
        self.is_waiting = label in ("admitted", "held", "queued")  # for its first attempt
        self.is_streaming = label in ("streaming", "answered, streaming")  # to the client
        self.is_answered = label in ("answered", "answered, streaming", "finished")  # or its client has left

    def __str__(self) -> str:
        return str(self.value)

    # Members are singletons: the hash of the object, not of the name, is several times faster.
    __hash__ = object.__hash__


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.ADMITTED: frozenset(
        {RequestState.HELD, RequestState.QUEUED, RequestState.IN_FLIGHT, RequestState.ANSWERED}
    ),
    RequestState.HELD: frozenset({RequestState.QUEUED, RequestState.IN_FLIGHT, RequestState.ANSWERED}),
    RequestState.QUEUED: frozenset({RequestState.IN_FLIGHT, RequestState.ANSWERED}),
    RequestState.IN_FLIGHT: frozenset({RequestState.STREAMING, RequestState.ANSWERED}),
    RequestState.STREAMING: frozenset({RequestState.ANSWERED_STREAMING}),
    # A response may begin to stream after the request was given up at its deadline.
    RequestState.ANSWERED: frozenset({RequestState.ANSWERED_STREAMING, RequestState.FINISHED}),
    RequestState.ANSWERED_STREAMING: frozenset({RequestState.FINISHED}),
    RequestState.FINISHED: frozenset(),
}
