"""The types that go in and out of the decisions: words, settings, events, actions.

All times are milliseconds. Whoever drives a gateway owes it one ``Outcome`` for each ``Send`` and one
``TimerFired`` for each ``SetTimer``; the gateway owes each ``Request`` exactly one final answer.
"""

from quota_gateway.api.actions import (
    Action,
    Admit,
    Cancel,
    CloseIdle,
    CounterAdd,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    SetUsable,
    Subscribe,
    TellPeer,
)
from quota_gateway.api.enums import (
    DiscoveryMode,
    Effect,
    KeyScope,
    ListKind,
    ServerState,
    Status,
)
from quota_gateway.api.events import (
    ClientGone,
    CounterReply,
    Drain,
    Elsewhere,
    Event,
    HandOver,
    Linked,
    NewSettings,
    OtherGone,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    ServerByHand,
    ServerEntry,
    ServerList,
    Stopping,
    StreamStarted,
    TimerFired,
)
from quota_gateway.api.settings import (
    DEFAULT_IDLE_MS,
    Contract,
    Limits,
    Plan,
    RequestClass,
    Settings,
)

__all__ = [
    "DEFAULT_IDLE_MS", "Action", "Admit", "Cancel", "ClientGone", "CloseIdle", "Contract", "CounterAdd",
    "CounterReply", "DiscoveryMode", "Drain", "Effect", "Elsewhere", "Event", "Fail", "FetchList",
    "HandOver", "KeyScope", "Limits", "Linked", "ListKind", "Log", "NewSettings", "OtherGone",
    "Outcome", "PeerMessage", "Plan", "Probe", "ProbeResult", "Refuse", "Request", "RequestClass",
    "Send", "ServerByHand", "ServerEntry", "ServerList", "ServerState", "SetTimer", "SetUsable",
    "Settings", "Status", "Stopping", "StreamStarted", "Subscribe", "TellPeer", "TimerFired",
]
