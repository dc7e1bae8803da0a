"""State of a client's request between its connection and the policy."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from quota_gateway.net.servers import Attempt, Sink, Source


def _reject_stream(_length: int, _source: Source) -> Sink | None:
    """Stream handler of a request whose client does not accept a streamed value."""
    return None


def _never() -> bool:
    return False


class ClientRequest:
    """A request in the gateway. It is kept until it has been answered and no attempt is in flight.

    ``encode`` returns the command for a server, given the milliseconds that the client still waits.
    ``on_answer`` is called once, with the final answer. ``on_stream`` is called with the length of a streamed
    value and its source; it returns the receiver, or None if the client no longer waits.
    ``has_client_left`` is asked right before an attempt's first byte: the client's end may stand behind bytes
    that were not read yet. It reports a client that has left to the driver before it returns true.
    """

    __slots__ = (
        "request_id",
        "encode",
        "on_answer",
        "on_stream",
        "has_client_left",
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
        has_client_left: Callable[[], bool] = _never,
    ) -> None:
        self.request_id = request_id
        self.encode = encode
        self.on_answer = on_answer
        self.on_stream = on_stream
        self.has_client_left = has_client_left
        self.received_ms = 0.0
        self.deadline_ms = 0.0
        self.latency_objective_ms = inf
        self.is_answered = False  # also set when the client has disconnected
        self.attempts_sent = 0
        self.attempts_in_flight: dict[int, Attempt] = {}  # by attempt number
        self.streamed_attempt: Attempt | None = None  # set once its value is being streamed to the client
