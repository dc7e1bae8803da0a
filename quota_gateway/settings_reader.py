"""From the settings object of the wire and of a gateway's configuration to ``Settings``.

Nothing is built before all of it has been read: who hands in a faulty object is told every fault at once.
"""

from __future__ import annotations

from typing import Any

from quota_gateway import api
from quota_gateway.config_reader import ConfigError, Found, Node

Fields = dict[str, Any]

DISCOVERY = {"automatic": api.DiscoveryMode.PUSH, "subscribe": api.DiscoveryMode.POLL}
LOAD_FIELD = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "utilisation",
    "lat_ms": "service_ms",
    "rate": "throughput",
    "fail_rate": "error_rate",
}
REPORT_FIELD = LOAD_FIELD | {  # the names in reports on sockets
    "inflight": "in_flight",
    "queue": "queue",
    "util": "utilisation",
    "latency_ms": "service_ms",
    "qps": "throughput",
    "eps": "error_rate",
}
EFFECTS = {item.value: item for item in api.Idempotency}
SCOPES = {item.value: item for item in api.IdempotencyScope}
MOST_GATEWAYS = 1_000_000
MOST_ROWS = 256  # classes or plans


def _class(row: Node) -> Fields:
    return {
        "name": row.text("name"),
        "latency_objective_ms": row.number("slo_ms", above=True),
        "deadline_ms": row.number("hard_limit_ms", above=True),
        "idempotency": row.choice("effect", EFFECTS),
        "priority_weight": row.number("value"),
        "late_value_ratio": row.number("late_share"),
        "idempotency_scope": row.choice("key_scope", SCOPES),
        "idempotency_window_ms": row.number("memory_span_ms"),
        "streamed": row.flag("stream"),
        "objective_stretch": row.number("aim_stretch", default=0.0),
    }


def _plan(row: Node) -> Fields:
    plan: Fields = {
        "name": row.text("name"),
        "rate": row.number("refill"),
        "burst": row.number("most_at_once"),
        "max_in_flight": row.whole("parallel"),
        "price": row.number("value_factor"),
        "overuse_value": row.number("excess_worth"),
        "overuse_cost": row.number("overrun_cost"),
        "ceiling_rate": row.number("cap_rate"),
        "ceiling_burst": row.number("cap_depth"),
        "ceiling_slack": row.number("hard_slack"),
    }
    row.must(not plan["rate"] or plan["burst"] > 0, "most_at_once", "a number above 0, as there is a refill")
    if plan["ceiling_rate"]:
        row.must(plan["ceiling_burst"] > 0, "cap_depth", "a number above 0, as there is a cap_rate")
        row.must(plan["ceiling_rate"] >= plan["rate"], "cap_rate", "a ceiling not below the quota (refill)")
        row.must(
            not plan["rate"] or plan["ceiling_burst"] >= plan["burst"],
            "cap_depth",
            "a ceiling not below the quota (most_at_once)",
        )
    return plan


def _limits(row: Node) -> Fields:
    row.knows("cpu_us_per_request", "cpu_us_per_s", "multiplex")
    return {
        "max_attempts": row.whole("attempts_cap", low=1),
        "may_duplicate": row.flag("may_duplicate"),
        "can_cancel": row.flag("cancelling"),
        "can_probe": row.flag("probes"),
        "can_message_peers": row.flag("peers"),
        "can_advise_retry": row.flag("retry_after"),
        "max_open": row.whole("open_cap", low=1),
        "connect_timeout_ms": row.number("connect_timeout_ms"),
        "max_retry_after_ms": row.number("max_retry_after_ms"),
        "connection_idle_ms": row.number("conn_idle_ms", default=0.0) or api.DEFAULT_IDLE_MS,
    }


def _contract(row: Node) -> Fields:
    return {
        "answer_slack_ms": row.number("answer_slack_ms"),
        "drain_grace_ms": row.number("drain_grace_ms"),
        "initial_capacity_ratio": row.number("start_capacity", high=1.0),
        "warm_up_ms": row.number("warm_up_ms"),
        "overload_multiple": row.number("tip_multiple"),
        "overload_window_ms": row.number("fall_ms"),
        "poll_within_ms": row.number("must_ask_in_ms"),
    }


def _general(env: Node) -> Fields:
    info = env.table("family_info")
    load = env.table("load_info")
    prices = env.table("deductions")
    info.knows("call_price", "inbox_per_s")
    load.knows("how")
    prices.knows("connection", "discovery", "fleet", "late_fail", "moves", "origin", "peer", "probe", "waste")
    env.knows("client_habits", "family", "goal", "kinds", "tier", "tiers", "weight_kind", "zones")
    general: Fields = {
        "gateways": env.whole("balancers", low=1, high=MOST_GATEWAYS),
        "index": env.whole("slot_no"),
        "zone": env.text("locality", empty=True),
        "discovery": env.choice("discovery", DISCOVERY),
        "load_fields": tuple(LOAD_FIELD.get(name, name) for name in load.texts("names")),
        "meter_period_ms": info.number("meter_ms"),
        "largest_units": info.number("largest", above=True),
        "settles": info.flag("settles"),
        "has_counter": info.flag("has_counter"),
        "counter_timeout_ms": info.number("count_limit_ms"),
        "tick_ms": env.number("tick_ms"),
        "cross_zone_price": prices.number("cross_zone"),
        "handshake_price": prices.number("handshake", default=0.0),
    }
    env.must(general["index"] < general["gateways"], "slot_no", "a number below balancers")
    return general


def read_settings(env: Node) -> Fields:
    """All fields, as far as they can be read; the faults are in what the node found."""
    return {
        "classes": [_class(row) for row in env.rows("services", MOST_ROWS)],
        "plans": [_plan(row) for row in env.rows("tariffs", MOST_ROWS)],
        "limits": _limits(env.table("limits")),
        "contract": _contract(env.table("contract")),
        **_general(env),
    }


def build_settings(fields: Fields) -> api.Settings:
    """The settings, from fields without a fault."""
    return api.Settings(
        **{
            **fields,
            "classes": tuple(api.RequestClass(**row) for row in fields["classes"]),
            "plans": tuple(api.Plan(**row) for row in fields["plans"]),
            "limits": api.Limits(**fields["limits"]),
            "contract": api.Contract(**fields["contract"]),
        }
    )


def settings_from(env: Fields) -> api.Settings:
    """The settings object that an instance of the simulator is given at its start."""
    found = Found()
    fields = read_settings(Node(found, "", "", env))
    if found.faults:
        raise ConfigError(found.faults)
    return build_settings(fields)
