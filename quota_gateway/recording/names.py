"""Names of events, actions and settings in recordings of version 1, which every version reads and writes.

The code's names and the texts of its log lines may change, so this module maps them to the recordings' names
and texts, which may not. Enum values are written as they are.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any, get_args, get_type_hints

import msgspec

from quota_gateway import api

RECORDED_TYPE_NAMES: dict[type, str] = {
    api.AttemptEnded: "Outcome",
    api.ClientDisconnected: "ClientGone",
    api.CounterResult: "CounterReply",
    api.DrainChanged: "Drain",
    api.GatewayMessage: "PeerMessage",
    api.HealthCheck: "Probe",
    api.HealthCheckResult: "ProbeResult",
    api.HotRestartBegun: "HandOver",
    api.IdleConnectionChanged: "Linked",
    api.IncrementCounter: "CounterAdd",
    api.PeerExited: "OtherGone",
    api.PeerUsage: "Elsewhere",
    api.Reject: "Refuse",
    api.SendToGateway: "TellPeer",
    api.ServerAdminDown: "ServerByHand",
    api.SetServerUsable: "SetUsable",
    api.SetServing: "Admit",
    api.SettingsChanged: "NewSettings",
    api.ShutdownBegun: "Stopping",
}
RECORDED_FIELD_NAMES: dict[type, dict[str, str]] = {
    api.AttemptEnded: {"metered_use_percent": "used_percent", "request_answered": "closed"},
    api.Contract: {
        "initial_capacity_ratio": "cold_share",
        "overload_multiple": "tip_multiple",
        "overload_window_ms": "tip_window_ms",
        "poll_within_ms": "ask_within_ms",
    },
    api.Limits: {"can_message_gateways": "can_message_peers"},
    api.PeerUsage: {
        "charged_units": "charged",
        "occupied_places": "in_hand",
        "metered_use_percent": "used_percent",
    },
    api.Plan: {"overuse_cost": "over_cost", "overuse_value": "over_worth"},
    api.Request: {"client_timeout_ms": "patience_ms", "requested_gateways": "width"},
    api.RequestClass: {
        "idempotency": "effect",
        "idempotency_scope": "key_scope",
        "idempotency_window_ms": "key_memory_ms",
        "late_value_ratio": "late_share",
        "latency_objective_ms": "aim_ms",
        "objective_stretch": "aim_stretch",
        "priority_weight": "worth",
    },
    api.ServerAdminDown: {"admin_down": "out"},
    api.SendToGateway: {"gateway": "peer"},
    api.SetServing: {"keep_idle_ms": "linger_ms"},
    api.IdleConnectionChanged: {"has_idle": "idle"},
}
# Pattern of a log line of the decision code, and the line's text in a recording.
RECORDED_LOG_TEXTS = (
    (
        r"(given up: .*); concurrency limit (\S+), attempts within threshold (\d+), queued (\d+)",
        r"\1; pool \2, out \3, parked \4",
    ),
    (r"drain ended by an operator", "takes clients again"),
    (r"(server \S+) is a suspected outlier((?: for .*)?: \w+)", r"\1 doubted\2"),
    (r"drain begun by an operator", "drained by hand"),
    (r"handed over to the next process with (\d+) requests pending", r"handed over with \1 requests in hand"),
    (r"request rejected: (unknown class .*)", r"refused: \1"),
)


@dataclass(frozen=True, slots=True)
class RecordedField:
    """A field of a recorded dataclass: the code's name of it, and the type of its values."""

    attribute: str
    kind: Any


def recorded_name(kind: type) -> str:
    """Name of an event's or action's type in a recording."""
    return RECORDED_TYPE_NAMES.get(kind, kind.__name__)


def recorded_log_text(text: str) -> str:
    """The text in a recording of a log line of the decision code."""
    for pattern, replacement in RECORDED_LOG_TEXTS:
        match = re.fullmatch(pattern, text, re.DOTALL)
        if match:
            return match.expand(replacement)
    return text


def to_recorded(value: Any) -> Any:
    """A dataclass and the values in it as plain values, under the recording's field names."""
    if isinstance(value, api.Log):
        return {"text": recorded_log_text(value.text)}
    if is_dataclass(value) and not isinstance(value, type):
        return {
            name: to_recorded(getattr(value, field.attribute))
            for name, field in _recorded_fields(type(value)).items()
        }
    if isinstance(value, (tuple, list)):
        return [to_recorded(item) for item in value]
    return value.value if isinstance(value, Enum) else value


def from_recorded(value: Any, kind: Any) -> Any:
    """Convert a recorded value to this type; fields that the type lacks are skipped.

    Raises msgspec.ValidationError, TypeError or ValueError if the value does not match the type.
    """
    if isinstance(kind, type) and is_dataclass(kind) and isinstance(value, dict):
        recorded_fields = _recorded_fields(kind)
        attributes = {}
        for name, item in value.items():
            if field := recorded_fields.get(name):
                attributes[field.attribute] = from_recorded(item, field.kind)
        return msgspec.convert(attributes, kind)
    if isinstance(value, list) and get_args(kind)[1:] == (...,):  # tuple[item, ...]
        return tuple(from_recorded(item, get_args(kind)[0]) for item in value)
    return value


@cache
def _recorded_fields(kind: Any) -> dict[str, RecordedField]:
    """A dataclass's fields in their order, by their names in a recording."""
    types = get_type_hints(kind)
    recorded_names = RECORDED_FIELD_NAMES.get(kind, {})
    return {
        recorded_names.get(field.name, field.name): RecordedField(field.name, types[field.name])
        for field in fields(kind)
    }
