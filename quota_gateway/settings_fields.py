"""Declares the fields of the settings: configuration key, settings attribute, unit, range and default."""

from __future__ import annotations

from quota_gateway import api
from quota_gateway.config_fields import (
    BooleanField,
    ChoiceField,
    Field,
    IntegerField,
    NamesField,
    NumberField,
    TextField,
)

MAX_GATEWAYS = 1_000_000
MAX_ROWS = 256  # of classes, and of plans

# Names of the values in servers' load reports, mapped to those of the settings. The configuration uses the
# first table; load reports that servers send over sockets may use the names of either table.
LOAD_FIELD_NAMES = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "utilisation",
    "lat_ms": "service_ms",
    "rate": "throughput",
    "fail_rate": "error_rate",
}
LOAD_REPORT_NAMES = LOAD_FIELD_NAMES | {
    "inflight": "in_flight",
    "queue": "queue",
    "util": "utilisation",
    "latency_ms": "service_ms",
    "qps": "throughput",
    "eps": "error_rate",
}

CLASS_FIELDS: tuple[Field, ...] = (
    TextField("name", "name", help="name by which requests refer to the class"),
    NumberField(
        "slo_ms",
        "latency_objective_ms",
        unit="ms",
        is_positive=True,
        help="a later answer is late and worth less",
    ),
    NumberField(
        "hard_limit_ms",
        "deadline_ms",
        unit="ms",
        is_positive=True,
        help="a request not answered by then has failed",
    ),
    ChoiceField(
        "effect",
        "idempotency",
        choices={item.value: item for item in api.Idempotency},
        help="whether a request may run twice",
    ),
    NumberField("value", "priority_weight", help="value of a unit that is answered in time"),
    NumberField(
        "late_share", "late_value_ratio", unit="ratio", help="share of the value that a late answer has"
    ),
    ChoiceField(
        "key_scope",
        "idempotency_scope",
        choices={item.value: item for item in api.IdempotencyScope},
        help="which servers recognise an idempotency key",
    ),
    NumberField(
        "memory_span_ms",
        "idempotency_window_ms",
        unit="ms",
        help="how long servers recognise an idempotency key",
    ),
    BooleanField("stream", "streamed", help="not used by any decision"),
    NumberField("aim_stretch", "objective_stretch", default=0.0, help="not used by any decision"),
)
PLAN_FIELDS: tuple[Field, ...] = (
    TextField("name", "name", help="name by which requests refer to the plan"),
    NumberField("refill", "rate", unit="units/s", help="quota of a customer; 0 for no quota"),
    NumberField("most_at_once", "burst", unit="units", help="burst of the quota"),
    IntegerField("parallel", "max_in_flight", help="concurrent attempts of a customer; 0 for no cap"),
    NumberField("value_factor", "price", help="factor on the value of a request"),
    NumberField("excess_worth", "overuse_value", help="not used by any decision"),
    NumberField("overrun_cost", "overuse_cost", help="cost of a unit beyond the quota"),
    NumberField("cap_rate", "ceiling_rate", unit="units/s", help="rate ceiling; 0 for no ceiling"),
    NumberField("cap_depth", "ceiling_burst", unit="units", help="burst of the rate ceiling"),
    NumberField("hard_slack", "ceiling_slack", unit="units", help="not used by any decision"),
)
LIMITS_FIELDS: tuple[Field, ...] = (
    IntegerField("attempts_cap", "max_attempts", minimum=1, help="most attempts of one request"),
    BooleanField("may_duplicate", "may_duplicate", help="whether requests may be hedged"),
    BooleanField("cancelling", "can_cancel", help="whether attempts may be cancelled"),
    BooleanField("probes", "can_probe", help="not used by any decision"),
    BooleanField("peers", "can_message_gateways", help="whether gateways may gossip"),
    BooleanField("retry_after", "can_advise_retry", help="whether rejections may advise when to retry"),
    IntegerField("open_cap", "max_open", minimum=1, help="not used by any decision"),
    NumberField(
        "connect_timeout_ms", "connect_timeout_ms", unit="ms", help="timeout for connecting to a server"
    ),
    NumberField(
        "max_retry_after_ms",
        "max_retry_after_ms",
        unit="ms",
        help="longest advice when to retry; 0 for no advice",
    ),
    NumberField(
        "conn_idle_ms",
        "connection_idle_ms",
        unit="ms",
        default=0.0,
        zero_means=api.DEFAULT_IDLE_MS,
        help="time after which servers close an idle connection",
    ),
)
CONTRACT_FIELDS: tuple[Field, ...] = (
    NumberField("answer_slack_ms", "answer_slack_ms", unit="ms", help="not used by any decision"),
    NumberField("drain_grace_ms", "drain_grace_ms", unit="ms", help="not used by any decision"),
    NumberField(
        "start_capacity",
        "initial_capacity_ratio",
        unit="ratio",
        maximum=1.0,
        help="share of its capacity that a server has when it has just started",
    ),
    NumberField(
        "warm_up_ms", "warm_up_ms", unit="ms", help="time until a started server has its full capacity"
    ),
    NumberField(
        "tip_multiple",
        "overload_multiple",
        help="load at which a server is overloaded, as a multiple of its capacity",
    ),
    NumberField("fall_ms", "overload_window_ms", unit="ms", help="not used by any decision"),
    NumberField(
        "must_ask_in_ms", "poll_within_ms", unit="ms", help="longest time between polls of discovery"
    ),
)
GENERAL_FIELDS: tuple[Field, ...] = (
    IntegerField(
        "balancers", "gateways", minimum=1, maximum=MAX_GATEWAYS, help="number of gateways in the fleet"
    ),
    IntegerField("slot_no", "index", help="index of this gateway in the fleet, from 0"),
    TextField("locality", "zone", may_be_empty=True, help="zone of this gateway"),
    ChoiceField(
        "discovery",
        "discovery",
        choices={"automatic": api.DiscoveryMode.PUSH, "subscribe": api.DiscoveryMode.POLL},
        help="whether endpoint lists are pushed or polled",
    ),
)
LOAD_INFO_FIELDS: tuple[Field, ...] = (
    NamesField("names", "load_fields", renamed=LOAD_FIELD_NAMES, help="names of the values in load reports"),
)
FAMILY_INFO_FIELDS: tuple[Field, ...] = (
    NumberField("meter_ms", "meter_period_ms", unit="ms", help="period at which customers' usage is read"),
    NumberField("largest", "largest_units", unit="units", is_positive=True, help="most units of one request"),
    BooleanField("settles", "settles", help="not used by any decision"),
    BooleanField("has_counter", "has_counter", help="not used by any decision"),
    NumberField("count_limit_ms", "counter_timeout_ms", unit="ms", help="not used by any decision"),
)
CLOCK_FIELDS: tuple[Field, ...] = (
    NumberField("tick_ms", "tick_ms", unit="ms", help="shortest delay of a timer"),
)
DEDUCTIONS_FIELDS: tuple[Field, ...] = (
    NumberField("cross_zone", "cross_zone_price", help="cost of an attempt in another zone"),
    NumberField("handshake", "handshake_price", default=0.0, help="cost of a new connection"),
)

# Names that the platform puts in the settings and that a gateway does not use, by table.
IGNORED_LIMITS = ("cpu_us_per_request", "cpu_us_per_s", "multiplex")
IGNORED_FAMILY_INFO = ("call_price", "inbox_per_s")
IGNORED_LOAD_INFO = ("how",)
IGNORED_DEDUCTIONS = (
    "connection",
    "discovery",
    "fleet",
    "late_fail",
    "moves",
    "origin",
    "peer",
    "probe",
    "waste",
)
IGNORED_GENERAL = (
    "client_habits",
    "family",
    "goal",
    "kinds",
    "tier",
    "tiers",
    "weight_kind",
    "zones",
)
