"""What the decisions keep their figures in: rows, tables, fading, timers, counts. Decides nothing."""

from quota_gateway.state.context import Context
from quota_gateway.state.endpoints import Fleet, Group
from quota_gateway.state.estimates import Latencies, Reports, Shares
from quota_gateway.state.in_flight import Hand
from quota_gateway.state.outcome_counters import Tally
from quota_gateway.state.rows import Customer, Flight, Key, Mark, Moment, Server
from quota_gateway.state.settings_epochs import Epochs
from quota_gateway.state.views import Views

__all__ = [
    "Context",
    "Customer",
    "Epochs",
    "Fleet",
    "Flight",
    "Group",
    "Hand",
    "Key",
    "Latencies",
    "Mark",
    "Moment",
    "Reports",
    "Server",
    "Shares",
    "Tally",
    "Views",
]
