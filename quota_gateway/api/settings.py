"""Settings of the policy, validated on construction. All times are in milliseconds.

The policy reads no field marked "accepted, unused": such a field is here because configurations and
recordings have it. Its position stays, as recordings keep the order of fields.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from quota_gateway.api.enums import DiscoveryMode, Idempotency, IdempotencyScope

DEFAULT_IDLE_MS = 30_000.0


def require_numbers(owner: object, minimum: float, **fields: float) -> None:
    """Raise ValueError for the first field that is not a finite number of at least ``minimum``."""
    for name, value in fields.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < inf:
            raise ValueError(
                f"{type(owner).__name__}.{name}: {value!r} is not a number of at least {minimum}"
            )


def require(condition: bool, owner: object, name: str, value: object, reason: str) -> None:
    """Raise ValueError that names the field, its value and the reason, unless the condition holds."""
    if not condition:
        raise ValueError(f"{type(owner).__name__}.{name}: {value!r} {reason}")


def require_unique_names(owner: object, field: str, items: tuple[object, ...], names: Iterable[str]) -> None:
    """Raise ValueError if a list of named settings is empty or has a name twice."""
    all_names = list(names)
    require(bool(all_names), owner, field, items, "is empty")
    require(len(set(all_names)) == len(all_names), owner, field, items, "contains a name twice")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its value and how it may be retried.

    ``priority_weight`` is the value of one unit answered within the objective; a unit answered later is worth
    ``late_value_ratio`` of that.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float  # bounds the wait at a shutdown; the policy uses client_timeout_ms
    idempotency: Idempotency
    priority_weight: float = 1.0
    late_value_ratio: float = 0.0  # accepted, unused
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ms: float = 0.0  # how long servers remember an idempotency key
    streamed: bool = False  # accepted, unused
    objective_stretch: float = 0.0  # accepted, unused

    def __post_init__(self) -> None:
        require(bool(self.name), self, "name", self.name, "is empty")
        require_numbers(
            self,
            0.0,
            latency_objective_ms=self.latency_objective_ms,
            deadline_ms=self.deadline_ms,
            priority_weight=self.priority_weight,
            late_value_ratio=self.late_value_ratio,
            idempotency_window_ms=self.idempotency_window_ms,
            objective_stretch=self.objective_stretch,
        )
        not_above_0 = "is not above 0"
        require(self.deadline_ms > 0, self, "deadline_ms", self.deadline_ms, not_above_0)
        objective_ms = self.latency_objective_ms
        require(objective_ms > 0, self, "latency_objective_ms", objective_ms, not_above_0)


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: what each of its customers may use over all gateways.

    The quota is ``rate`` units a second with a burst of ``burst`` units; a gateway may exceed it, at a cost.
    The rate ceiling (``ceiling_rate`` units a second, ``ceiling_burst`` units) is a hard limit. The
    concurrency cap (``max_in_flight`` attempts) is a target: each gateway enforces a share of it, and
    together they may exceed it by one attempt for each gateway and by the bonus that is added to the shares
    while quota is unused. A rate, a ceiling rate or a cap of 0 means that there is none.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    price: float = 1.0  # the classes' priority weights are multiplied by it
    overuse_value: float = 0.0  # accepted, unused
    overuse_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0  # accepted, unused

    def __post_init__(self) -> None:
        require(bool(self.name), self, "name", self.name, "is empty")
        require_numbers(
            self,
            0.0,
            rate=self.rate,
            burst=self.burst,
            max_in_flight=self.max_in_flight,
            price=self.price,
            overuse_value=self.overuse_value,
            overuse_cost=self.overuse_cost,
            ceiling_rate=self.ceiling_rate,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )
        has_burst = self.burst > 0 or not self.rate
        require(has_burst, self, "burst", self.burst, "is not above 0, though there is a rate")
        has_ceiling_burst = self.ceiling_burst > 0 or not self.ceiling_rate
        reason = "is not above 0, though there is a ceiling_rate"
        require(has_ceiling_burst, self, "ceiling_burst", self.ceiling_burst, reason)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits a gateway to do."""

    max_attempts: int = 1  # for one request
    may_duplicate: bool = False  # whether hedged requests are allowed
    can_cancel: bool = False
    can_probe: bool = False  # accepted, unused
    can_message_gateways: bool = False  # accepted, unused
    can_advise_retry: bool = False
    max_open: int = 1_000_000  # accepted, unused
    connect_timeout_ms: float = 250.0
    max_retry_after_ms: float = 0.0
    connection_idle_ms: float = DEFAULT_IDLE_MS

    def __post_init__(self) -> None:
        require_numbers(self, 1, max_attempts=self.max_attempts, max_open=self.max_open)
        require_numbers(
            self,
            0.0,
            connect_timeout_ms=self.connect_timeout_ms,
            max_retry_after_ms=self.max_retry_after_ms,
            connection_idle_ms=self.connection_idle_ms,
        )


@dataclass(frozen=True, slots=True)
class Contract:
    """Figures of the platform's rules for answers, discovery, and servers that drain, warm up or overload."""

    answer_slack_ms: float = 0.0  # accepted, unused
    drain_grace_ms: float = 0.0  # accepted, unused
    initial_capacity_ratio: float = 1.0  # of a server that has just started
    warm_up_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 0.0  # accepted, unused
    poll_within_ms: float = 0.0  # how soon discovery must be polled

    def __post_init__(self) -> None:
        require_numbers(
            self,
            0.0,
            answer_slack_ms=self.answer_slack_ms,
            drain_grace_ms=self.drain_grace_ms,
            initial_capacity_ratio=self.initial_capacity_ratio,
            warm_up_ms=self.warm_up_ms,
            overload_multiple=self.overload_multiple,
            overload_window_ms=self.overload_window_ms,
            poll_within_ms=self.poll_within_ms,
        )
        ratio = self.initial_capacity_ratio
        require(ratio <= 1, self, "initial_capacity_ratio", ratio, "is above 1")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a gateway's policy."""

    gateways: int  # how many share the customers' quotas
    index: int  # of this gateway among them; not read by the policy
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: Limits = Limits()
    contract: Contract = Contract()
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    load_fields: tuple[str, ...] = ()  # names of the values in servers' load reports, in their order
    meter_period_ms: float = 0.0
    largest_units: float = 1.0  # of one request
    settles: bool = False  # accepted, unused
    has_counter: bool = False  # accepted, unused
    counter_timeout_ms: float = 0.0  # accepted, unused
    tick_ms: float = 1.0  # resolution of timers
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0

    def __post_init__(self) -> None:
        require_numbers(self, 1, gateways=self.gateways)
        require_numbers(
            self,
            0.0,
            index=self.index,
            meter_period_ms=self.meter_period_ms,
            counter_timeout_ms=self.counter_timeout_ms,
            tick_ms=self.tick_ms,
            cross_zone_price=self.cross_zone_price,
            handshake_price=self.handshake_price,
        )
        is_index_valid = self.index < self.gateways
        require(is_index_valid, self, "index", self.index, "is not below the number of gateways")
        require_numbers(self, 0.0, largest_units=self.largest_units)
        require(self.largest_units > 0, self, "largest_units", self.largest_units, "is not above 0")
        require_unique_names(self, "classes", self.classes, (item.name for item in self.classes))
        require_unique_names(self, "plans", self.plans, (item.name for item in self.plans))
