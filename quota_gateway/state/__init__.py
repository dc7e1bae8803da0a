"""State of the policy: customers, servers, requests, estimates, counters, timers. Decides nothing."""

from quota_gateway.state.context import Context
from quota_gateway.state.customer import Customer
from quota_gateway.state.drain_state import DrainState, drain_transition
from quota_gateway.state.endpoints import Endpoints, ServerGroup
from quota_gateway.state.estimates import FailureRates, Latencies, LoadReports
from quota_gateway.state.give_up_reason import GiveUpReason
from quota_gateway.state.outcome_counters import OutcomeCounters
from quota_gateway.state.pending_request import Attempt, PendingRequest
from quota_gateway.state.pending_requests import PendingRequests
from quota_gateway.state.records import AttemptKey, CustomerKey, FailureKeys, FailureRecord, Moment
from quota_gateway.state.request_state import RequestState
from quota_gateway.state.server import Server
from quota_gateway.state.settings_epochs import SettingsEpochs

__all__ = [
    "Attempt",
    "AttemptKey",
    "Context",
    "Customer",
    "CustomerKey",
    "DrainState",
    "Endpoints",
    "FailureKeys",
    "FailureRates",
    "FailureRecord",
    "GiveUpReason",
    "Latencies",
    "LoadReports",
    "Moment",
    "OutcomeCounters",
    "PendingRequest",
    "PendingRequests",
    "RequestState",
    "Server",
    "ServerGroup",
    "SettingsEpochs",
    "drain_transition",
]
