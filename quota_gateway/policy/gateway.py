"""The gateway: takes one event at a time and returns the actions that follow from it.

Each decision has a module of its own. This one creates their objects, each after those it depends on, and
holds the table of which object handles which event.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from quota_gateway import api
from quota_gateway.policy.admin_down import AdminDown
from quota_gateway.policy.admission import Admission
from quota_gateway.policy.attempts import Attempts
from quota_gateway.policy.concurrency_cap import CustomerConcurrencyCap
from quota_gateway.policy.concurrency_limit import AdaptiveConcurrencyLimit
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.drain import RETRY_ELSEWHERE_MS, Drain
from quota_gateway.policy.endpoint_list import EndpointList
from quota_gateway.policy.outlier_detection import OutlierDetection
from quota_gateway.policy.peer_usage import PeerUsageExchange
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.policy.responses import Responses
from quota_gateway.policy.server_selection import ServerSelection
from quota_gateway.policy.settings_change import SettingsChange
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import Context, Endpoints, GiveUpReason, LoadReports, PendingRequests

ESTIMATE_DECAY_MS = 4000.0  # time constant; after some time a failing server is tried again; see `Decay`

Handler = Callable[[Any], None]


class Gateway:
    """One gateway's decisions. Feed events in order; carry out the actions in order.

    Each part is an attribute and owns its state: others read ``gateway.customers.rows``, for example.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.context = context = Context(settings, seed, ESTIMATE_DECAY_MS)
        self.endpoints = Endpoints(context.random)
        self.pending_requests = PendingRequests()
        self.quota_meter = QuotaMeter(context)
        self.slow_start = SlowStart(context)
        self.outlier_detection = OutlierDetection(context)
        self.concurrency_limit = AdaptiveConcurrencyLimit(context)
        self.rate_ceiling = RateCeiling(context)
        self.concurrency_cap = CustomerConcurrencyCap(context, self.quota_meter)
        self.customers = Customers(context, self.quota_meter, self.rate_ceiling)
        self.epochs = self.customers.epochs
        self.load_reports = LoadReports(context, self.endpoints)
        self.server_selection = ServerSelection(
            self.load_reports, self.outlier_detection, self.concurrency_limit, self.slow_start
        )
        self.peer_usage = PeerUsageExchange(context, self.pending_requests, self.customers)
        self.responses = Responses(context, self.concurrency_limit, self.peer_usage)
        self.attempts = Attempts(context, self.rate_ceiling, self.server_selection, self.responses)
        self.admission = Admission(context, self.customers, self.concurrency_cap, self.attempts)
        self.release_queued = self.admission.release_queued
        self.endpoint_list = EndpointList(
            self.endpoints, self.slow_start, self.concurrency_limit, self.epochs
        )
        self.admin_down = AdminDown(context, self.endpoint_list)
        self.drain = Drain(context)
        self.settings_change = SettingsChange(
            self.peer_usage, self.outlier_detection, self.endpoint_list, self.release_queued
        )
        self.handlers = self._handlers()

    def _handlers(self) -> dict[type, Handler]:
        """The handler of each event; `then_release` tries queued requests again if it may help them."""
        then_release = self._then_release_queued
        return {
            api.Request: self._on_request,
            api.AttemptEnded: then_release(self.attempts.on_attempt_ended),
            api.StreamStarted: then_release(self.attempts.on_stream_started),
            api.ClientDisconnected: self.responses.on_client_disconnected,
            api.TimerFired: self.context.fire,
            api.ServerList: then_release(self.endpoint_list.on_server_list),
            api.ServerAdminDown: then_release(self.admin_down.on_server_admin_down),
            api.HealthCheckResult: self.load_reports.on_health_check_result,
            api.IdleConnectionChanged: self.load_reports.on_idle_connection_changed,
            api.DrainChanged: self.drain.on_drain_changed,
            api.ShutdownBegun: self.responses.on_shutdown_begun,
            api.HotRestartBegun: self.settings_change.begin_hot_restart,
            api.PeerUsage: then_release(self.peer_usage.on_peer_usage),
            api.PeerExited: then_release(self.peer_usage.on_peer_exited),
            api.SettingsChanged: then_release(self.settings_change.apply),
        }

    def _then_release_queued(self, handler: Callable[[Any], bool]) -> Handler:
        """A handler that tries the queued requests again if this one says that capacity may have grown."""

        def handle_and_release(event: Any) -> None:
            if handler(event):
                self.release_queued()

        return handle_and_release

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at this time. Raises ValueError if the time goes back."""
        self.context.begin_event(now_ms)
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.context.actions

    def disarmed_timers(self) -> list[int]:
        """Tokens of the timers that the latest event made pointless: whoever keeps them may drop them."""
        return self.context.disarmed

    def _on_request(self, event: api.Request) -> None:
        """Pass a new request on to admission, if it is one that this gateway may serve."""
        if event.request_id in self.pending_requests.by_id:
            return  # the pending request with this id may have run: a rejection would become its answer
        request_class = self.context.classes.get(event.class_name)
        plan = self.epochs.plans.get(event.plan)
        if request_class is None or plan is None:
            self.context.log_once(
                f"request rejected: unknown class {event.class_name!r} or plan {event.plan!r}"
            )
            self.responses.reject(event.request_id, 0.0)
        elif self.drain.is_drained:
            self.responses.count_given_up(GiveUpReason.GATEWAY_DRAINED, plan)
            self.responses.reject(event.request_id, RETRY_ELSEWHERE_MS)
        else:
            self.admission.on_request(event, request_class, plan)
