"""A client's request that this gateway has taken and not finished with."""

from __future__ import annotations

from quota_gateway.api import Plan, Request, RequestClass
from quota_gateway.state.customer import Customer
from quota_gateway.state.records import failure_keys
from quota_gateway.state.server import Server


class PendingRequest:
    """A request that is held, queued or in flight, or answered with attempts still in flight."""

    __slots__ = (
        "request",
        "request_class",
        "plan",
        "customer",
        "arrived_ms",
        "deadline_ms",
        "settings_epoch",
        "failure_keys",
        "slow_start_draw",
        "attempts_started",
        "attempts_in_flight",
        "tried_servers",
        "answered",
        "streaming",
        "release_timer_armed",
        "first_possible_run",
    )

    def __init__(
        self,
        request: Request,
        request_class: RequestClass,
        plan: Plan,
        customer: Customer,
        now_ms: float,
        slow_start_draw: float,
        settings_epoch: int,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + request.client_timeout_ms
        self.settings_epoch = settings_epoch
        self.failure_keys = failure_keys(request_class.name, plan.name)
        # Drawn once: which servers in slow start the request may go to, and its rank at a full limit.
        self.slow_start_draw = slow_start_draw
        self.attempts_started = 0
        self.attempts_in_flight: dict[int, tuple[Server, float]] = {}  # by number: server and start (ms)
        self.tried_servers: set[int] = set()
        self.answered = False
        self.streaming = False
        self.release_timer_armed = False  # a timer ends its hold, or its wait for the rate ceiling
        self.first_possible_run: tuple[Server, float] | None = None  # first attempt that may have run
