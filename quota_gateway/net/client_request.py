"""A client's request between its connection and the decisions."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from quota_gateway.net.servers import Attempt, Sink, Source


def _reject_stream(_length: int, _source: Source) -> Sink | None:
    """Stream handler of a request whose client takes no streamed value."""
    return None


class ClientRequest:
    """A request in the gateway, until it has been answered and no attempt is in flight.

    ``encode`` gives the command for a server, from the milliseconds that the client still waits.
    ``on_answer`` is called with the final answer, once; ``on_stream`` with the length of a streamed value: it
    returns the receiver, if the client still waits.
    """

    __slots__ = (
        "request_id",
        "encode",
        "on_answer",
        "on_stream",
        "received_ms",
        "deadline_ms",
        "latency_objective_ms",
        "is_answered",
        "attempts_sent",
        "attempts_in_flight",
        "streamed_attempt",
    )

    def __init__(
        self,
        request_id: str,
        encode: Callable[[float], bytes],
        on_answer: Callable[[bytes], None],
        on_stream: Callable[[int, Source], Sink | None] = _reject_stream,
    ) -> None:
        self.request_id = request_id
        self.encode = encode
        self.on_answer = on_answer
        self.on_stream = on_stream
        self.received_ms = 0.0
        self.deadline_ms = 0.0
        self.latency_objective_ms = inf
        self.is_answered = False  # or its client has left
        self.attempts_sent = 0
        self.attempts_in_flight: dict[int, Attempt] = {}  # by number
        self.streamed_attempt: Attempt | None = None  # whose value is the answer, from its first bytes on
