"""What the decisions keep their figures in: rows, tables, fading, timers, counts. Decides nothing."""

from quota_gateway.state.context import Context
from quota_gateway.state.customer import Customer
from quota_gateway.state.endpoints import Fleet, Group
from quota_gateway.state.estimates import Latencies, Reports, Shares
from quota_gateway.state.give_up_reason import GiveUpReason
from quota_gateway.state.in_flight import InFlightRequests
from quota_gateway.state.outcome_counters import OutcomeCounters
from quota_gateway.state.pending_request import PendingRequest
from quota_gateway.state.records import CustomerKey, FailureRecord, Moment
from quota_gateway.state.server import Server
from quota_gateway.state.settings_epochs import SettingsEpochs
from quota_gateway.state.views import Views

__all__ = [
    "Context",
    "Customer",
    "SettingsEpochs",
    "Fleet",
    "PendingRequest",
    "Group",
    "InFlightRequests",
    "CustomerKey",
    "Latencies",
    "FailureRecord",
    "Moment",
    "Reports",
    "Server",
    "Shares",
    "OutcomeCounters",
    "GiveUpReason",
    "Views",
]
