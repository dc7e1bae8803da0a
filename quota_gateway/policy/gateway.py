"""The gateway: one event in, the actions it gives rise to out. Each decision has a module of its own, and
docs/design.md says which event goes through which of them, in order.
"""

from collections.abc import Callable
from typing import Any

from quota_gateway import api
from quota_gateway.policy.admission import Admission
from quota_gateway.policy.attempts import Attempts
from quota_gateway.policy.concurrency_cap import ConcurrencyCap
from quota_gateway.policy.concurrency_limit import Pressure
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.endpoint_list import Lists
from quota_gateway.policy.graceful_shutdown import ELSEWHERE_MS, Operators
from quota_gateway.policy.hot_restart import PeerUsageExchange
from quota_gateway.policy.outlier_detection import Health
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.policy.responses import Answers
from quota_gateway.policy.server_selection import Choice
from quota_gateway.policy.settings_change import SettingsChange
from quota_gateway.policy.slow_start import Cold
from quota_gateway.state import Context, Fleet, InFlightRequests, Reports, Views

FADE_MS = 4000.0  # time constant with which figures fade, so that a server is tried again; but see Decay


class Gateway(Views):
    """One gateway's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = context = Context(settings, seed, FADE_MS)
        self.fleet = Fleet(context.random)
        self.hand = InFlightRequests()
        self.meter = QuotaMeter(context)
        self.warming = Cold(context)
        self.health = Health(context)
        self.pressure = Pressure(context)
        self.ceiling = RateCeiling(context)
        self.cap = ConcurrencyCap(context, self.meter)
        self.book = Customers(context, self.meter, self.ceiling)
        self.epochs = self.book.epochs
        self.reports = Reports(context, self.fleet)
        self.choice = Choice(self.reports, self.health, self.pressure, self.warming)
        self.peer_usage = PeerUsageExchange(context, self.hand, self.book)
        self.answers = Answers(context, self.pressure, self.peer_usage)
        self.attempts = Attempts(context, self.ceiling, self.choice, self.answers)
        self.admission = Admission(context, self.book, self.cap, self.attempts)
        self.retry_parked = self.admission.retry_parked
        self.lists = Lists(self.fleet, self.warming, self.pressure, self.epochs)
        self.operators = Operators(context, self.lists)
        self.settings_change = SettingsChange(self.peer_usage, self.health, self.lists, self.retry_parked)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request,
            api.ClientDisconnected: self.answers.gone,
            api.AttemptEnded: self._freeing(self.attempts.ended),
            api.ServerList: self._freeing(self.lists.take),
            api.StreamStarted: self._freeing(self.attempts.streams),
            api.TimerFired: context.fire,
            api.ServerAdminDown: self._freeing(self.operators.by_hand),
            api.DrainChanged: self.operators.drain,
            api.ShutdownBegun: self.answers.stop,
            api.HotRestartBegun: self.settings_change.begin_hot_restart,
            api.PeerUsage: self._freeing(self.peer_usage.on_peer_usage),
            api.PeerExited: self._freeing(self.peer_usage.on_peer_exited),
            api.SettingsChanged: self._freeing(self.settings_change.apply),
            api.IdleConnectionChanged: self.reports.linked,
            api.HealthCheckResult: self.reports.probed,
        }

    def _freeing(self, take: Callable[[Any], bool]) -> Callable[[Any], None]:
        """Whatever alters what may go (true) lets the parked be tried again."""

        def on_event(event: Any) -> None:
            if take(event):
                self.retry_parked()

        return on_event

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at this time (ms). Raises ValueError if the time goes back."""
        self.context.begin(now_ms)
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.context.actions

    def _on_request(self, event: api.Request) -> None:
        kind = self.context.classes.get(event.class_name)
        plan = self.epochs.plans.get(event.plan)
        if event.request_id in self.hand.pending_requests:
            return  # it is in hand already, and may have run: a refusal here would be its answer
        if kind is None or plan is None:
            self.context.log_once(f"refused: unknown class {event.class_name!r} or plan {event.plan!r}")
            self.answers.refuse(event.request_id, 0.0)
        elif self.operators.left:
            self.answers.count("drained", plan)
            self.answers.refuse(event.request_id, ELSEWHERE_MS)
        else:
            self.admission.request(event, kind, plan)
