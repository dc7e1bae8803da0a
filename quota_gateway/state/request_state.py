"""States of a client's request and the transitions between them.

A request is admitted, waits if it must, has attempts in flight, is answered once and is forgotten when its
last attempt has ended. Only `InFlightRequests` moves a request from state to state.
"""

from __future__ import annotations

from enum import Enum


class RequestState(Enum):
    """Where a request stands, and what that means for it."""

    # label, is_waiting, is_streaming, is_answered
    ADMITTED = ("admitted", True, False, False)  # taken, and not yet placed
    HELD = ("held", True, False, False)  # delayed until its customer's quota share has room for it
    QUEUED = ("queued", True, False, False)  # waits for a server, a cap, a ceiling or the concurrency limit
    IN_FLIGHT = ("in flight", False, False, False)  # attempts were started; between two there may be none
    STREAMING = (
        "streaming",
        False,
        True,
        False,
    )  # a response is passed on as it comes: no deadline
    ANSWERED = ("answered", False, False, True)  # or its client has left; attempts may be in flight
    ANSWERED_STREAMING = ("answered, streaming", False, True, True)  # the same after a response had begun
    FINISHED = ("finished", False, False, True)  # no attempt is in flight: it is pending no longer

    def __init__(self, label: str, is_waiting: bool, is_streaming: bool, is_answered: bool) -> None:
        self.label = label
        self.is_waiting = is_waiting  # for its first attempt
        self.is_streaming = is_streaming  # a server's response has begun to stream to the client
        self.is_answered = is_answered  # the client has its final answer, or has left

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
