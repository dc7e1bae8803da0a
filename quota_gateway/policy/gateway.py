"""The gateway: one event in, the actions it gives rise to out. Each decision has a module of its own, and
docs/design.md says which event goes through which of them, in order.
"""

from collections.abc import Callable
from typing import Any

from quota_gateway import api
from quota_gateway.policy.admission import Admission
from quota_gateway.policy.attempts import Attempts
from quota_gateway.policy.concurrency_limit import ConcurrencyLimit
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.endpoint_list import EndpointList
from quota_gateway.policy.graceful_shutdown import ELSEWHERE_MS, Operators
from quota_gateway.policy.hot_restart import Handover
from quota_gateway.policy.outlier_detection import OutlierDetection
from quota_gateway.policy.quota_meter import Meter
from quota_gateway.policy.rate_ceiling import Ceilings
from quota_gateway.policy.responses import Responses
from quota_gateway.policy.server_selection import ServerSelection
from quota_gateway.policy.settings_change import Changes
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import Context, Endpoints, InFlightRequests, LoadReports, Views

FADE_MS = 4000.0  # time constant with which figures fade, so that a server is tried again; but see Decay


class Gateway(Views):
    """One gateway's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = context = Context(settings, seed, FADE_MS)
        self.endpoints = Endpoints(context.random)
        self.in_flight = InFlightRequests()
        self.meter = Meter(context)
        self.slow_start = SlowStart(context)
        self.outlier_detection = OutlierDetection(context)
        self.concurrency_limit = ConcurrencyLimit(context)
        self.ceilings = Ceilings(context, self.meter)
        self.book = Customers(context, self.meter, self.ceilings)
        self.epochs = self.book.epochs
        self.load_reports = LoadReports(context, self.endpoints)
        self.server_selection = ServerSelection(
            self.load_reports, self.outlier_detection, self.concurrency_limit, self.slow_start
        )
        self.handover = Handover(context, self.in_flight, self.book)
        self.responses = Responses(context, self.concurrency_limit, self.handover)
        self.attempts = Attempts(context, self.ceilings, self.server_selection, self.responses)
        self.admission = Admission(context, self.book, self.attempts)
        self.retry_parked = self.admission.retry_parked
        self.endpoint_list = EndpointList(
            self.endpoints, self.slow_start, self.concurrency_limit, self.epochs
        )
        self.operators = Operators(context, self.endpoint_list)
        self.changes = Changes(self.handover, self.outlier_detection, self.endpoint_list, self.retry_parked)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request,
            api.ClientDisconnected: self.responses.gone,
            api.AttemptEnded: self._freeing(self.attempts.ended),
            api.ServerList: self._freeing(self.endpoint_list.take),
            api.StreamStarted: self._freeing(self.attempts.streams),
            api.TimerFired: context.fire,
            api.ServerAdminDown: self._freeing(self.operators.by_hand),
            api.DrainChanged: self.operators.drain,
            api.ShutdownBegun: self.responses.stop,
            api.HotRestartBegun: self.changes.hand_over,
            api.PeerUsage: self._freeing(self.handover.hear),
            api.PeerExited: self._freeing(self.handover.end),
            api.SettingsChanged: self._freeing(self.changes.take),
            api.IdleConnectionChanged: self.load_reports.linked,
            api.HealthCheckResult: self.load_reports.probed,
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
        if event.request_id in self.in_flight.pending_requests:
            return  # it is in hand already, and may have run: a refusal here would be its answer
        if kind is None or plan is None:
            self.context.log_once(f"refused: unknown class {event.class_name!r} or plan {event.plan!r}")
            self.responses.refuse(event.request_id, 0.0)
        elif self.operators.left:
            self.responses.count("drained", plan)
            self.responses.refuse(event.request_id, ELSEWHERE_MS)
        else:
            self.admission.request(event, kind, plan)
