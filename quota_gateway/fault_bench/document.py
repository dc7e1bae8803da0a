"""A gateway's configuration file, from the settings that its decisions are to go by."""

from __future__ import annotations

from typing import Any

from quota_gateway import api
from quota_gateway.settings_reader import DISCOVERY, LOAD_FIELD

WIRE_LOAD = {ours: theirs for theirs, ours in LOAD_FIELD.items()}
WIRE_DISCOVERY = {ours: theirs for theirs, ours in DISCOVERY.items()}


def settings_document(settings: api.Settings) -> dict[str, Any]:
    """The settings as the configuration has them: the reverse of ``settings_from``."""
    limits = settings.limits
    contract = settings.contract
    return {
        "balancers": settings.gateways,
        "slot_no": settings.index,
        "locality": settings.zone,
        "discovery": WIRE_DISCOVERY[settings.discovery],
        "tick_ms": settings.tick_ms,
        "services": [_class(kind) for kind in settings.classes],
        "tariffs": [_plan(plan) for plan in settings.plans],
        "limits": {
            "attempts_cap": limits.max_attempts,
            "may_duplicate": limits.may_duplicate,
            "cancelling": limits.can_cancel,
            "probes": limits.can_probe,
            "peers": limits.can_message_peers,
            "retry_after": limits.can_advise_retry,
            "open_cap": limits.max_open,
            "connect_timeout_ms": limits.connect_timeout_ms,
            "max_retry_after_ms": limits.max_retry_after_ms,
            "conn_idle_ms": limits.connection_idle_ms,
        },
        "contract": {
            "answer_slack_ms": contract.answer_slack_ms,
            "drain_grace_ms": contract.drain_grace_ms,
            "start_capacity": contract.initial_capacity_ratio,
            "warm_up_ms": contract.warm_up_ms,
            "tip_multiple": contract.overload_multiple,
            "fall_ms": contract.overload_window_ms,
            "must_ask_in_ms": contract.poll_within_ms,
        },
        "family_info": {
            "meter_ms": settings.meter_period_ms,
            "largest": settings.largest_units,
            "settles": settings.settles,
            "has_counter": settings.has_counter,
            "count_limit_ms": settings.counter_timeout_ms,
        },
        "load_info": {"names": [WIRE_LOAD.get(name, name) for name in settings.load_fields]},
        "deductions": {"cross_zone": settings.cross_zone_price, "handshake": settings.handshake_price},
    }


def _class(kind: api.RequestClass) -> dict[str, Any]:
    return {
        "name": kind.name,
        "slo_ms": kind.latency_objective_ms,
        "hard_limit_ms": kind.deadline_ms,
        "effect": kind.idempotency.value,
        "value": kind.priority_weight,
        "late_share": kind.late_value_ratio,
        "key_scope": kind.idempotency_scope.value,
        "memory_span_ms": kind.idempotency_window_ms,
        "stream": kind.streamed,
        "aim_stretch": kind.objective_stretch,
    }


def _plan(plan: api.Plan) -> dict[str, Any]:
    return {
        "name": plan.name,
        "refill": plan.rate,
        "most_at_once": plan.burst,
        "parallel": plan.max_in_flight,
        "value_factor": plan.price,
        "excess_worth": plan.overuse_value,
        "overrun_cost": plan.overuse_cost,
        "cap_rate": plan.ceiling_rate,
        "cap_depth": plan.ceiling_burst,
        "hard_slack": plan.ceiling_slack,
    }
