"""A client's request that this gateway has accepted and not finished yet."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.api import Plan, Request, RequestClass
from quota_gateway.state.customer import Customer
from quota_gateway.state.records import failure_keys
from quota_gateway.state.request_state import TRANSITIONS, RequestState
from quota_gateway.state.server import Server
from quota_gateway.state_machine import transition

NEW_REQUEST = RequestState.ADMITTED


@dataclass(slots=True)
class Attempt:
    """One attempt of a request: the server it was sent to, and when."""

    server: Server
    started_ms: float


class PendingRequest:
    """A request and its state. The comment above a group of attributes names the module that writes them."""

    __slots__ = (
        "request",
        "request_class",
        "plan",
        "customer",
        "arrived_ms",
        "deadline_ms",
        "settings_epoch",
        "failure_keys",
        "draw",
        "state",
        "rate_ceiling_timer_armed",
        "timer_tokens",
        "attempts_started",
        "attempts_in_flight",
        "tried_servers",
        "first_possible_run",
    )

    def __init__(
        self,
        request: Request,
        request_class: RequestClass,
        plan: Plan,
        customer: Customer,
        now_ms: float,
        draw: float,
        settings_epoch: int,
    ) -> None:
        # The request, and what stays the same until its end even if the settings change.
        self.request = request
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.arrived_ms = now_ms
        self.settings_epoch = settings_epoch
        self.failure_keys = failure_keys(request_class.name, plan.name)
        # Random number, 0 to 1, drawn once. It decides which servers in slow start the request may go to, and
        # whether the fraction in a concurrency limit (as in 1.4) lets one more attempt through.
        self.draw = draw

        # Written by policy/responses.py
        self.deadline_ms = now_ms + request.client_timeout_ms

        # Written by policy/admission.py: while queued, whether a timer ends the wait for the rate ceiling.
        self.rate_ceiling_timer_armed = False

        # Written by state/context.py: of the timers that end with this request.
        self.timer_tokens: list[int] = []

        # Written by state/pending_requests.py
        self.state = NEW_REQUEST
        self.attempts_started = 0
        self.attempts_in_flight: dict[int, Attempt] = {}  # by number
        self.tried_servers: set[int] = set()

        # Written by policy/attempts.py: the first attempt that a server may have executed.
        self.first_possible_run: Attempt | None = None

    def move_to(self, state: RequestState) -> None:
        """Change the state, checked against the table of transitions as in `state_machine.transition`."""
        self.state = transition("request", TRANSITIONS, self.state, state)
