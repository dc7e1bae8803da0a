"""A client's request that this gateway has taken and not finished with."""

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
    """A request and its state. The comment above a group of columns names the module that writes them."""

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
        # The request, and what holds for it until its end, whatever the settings become.
        self.request = request
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.arrived_ms = now_ms
        self.settings_epoch = settings_epoch
        self.failure_keys = failure_keys(request_class.name, plan.name)
        # Drawn once: which servers in slow start it may go to, and its rank at a reached concurrency limit.
        self.draw = draw

        # policy/responses.py
        self.deadline_ms = now_ms + request.client_timeout_ms

        # policy/admission.py: while queued, a timer ends the wait for the rate ceiling.
        self.rate_ceiling_timer_armed = False

        # state/pending_requests.py
        self.state = NEW_REQUEST
        self.attempts_started = 0
        self.attempts_in_flight: dict[int, Attempt] = {}  # by number
        self.tried_servers: set[int] = set()

        # policy/attempts.py: the first attempt that may have had an effect.
        self.first_possible_run: Attempt | None = None

    def move_to(self, state: RequestState) -> None:
        """Change the state. Raises IllegalTransitionError in tests if the table has no such transition."""
        self.state = transition("request", TRANSITIONS, self.state, state)
