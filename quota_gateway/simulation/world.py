"""Reads a world file: the TOML description of what a simulation or a fault bench runs.

The file is read whole, or rejected with the path of the field at fault. Durations are in milliseconds unless
a name ends in ``_s``, probabilities and ratios are 0 to 1 unless said otherwise, and units are those of
quotas. The TOML keys are those that existing world files and stored histories use; each class maps its fields
to them.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from quota_gateway import api

PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=20_000)]


class WorldError(Exception):
    """The file does not describe a valid world; the message names the file and the path of the fault."""


class ClassConfig(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "latency_objective_ms": "aim",
        "deadline_ms": "deadline",
        "mean_work_ms": "work",
        "value": "worth",
        "idempotency": "effect",
        "idempotency_scope": "key_scope",
        "idempotency_window_ms": "key_memory",
    },
):
    """A class of requests.

    Attributes:
        name: the class's name.
        latency_objective_ms: a later answer counts as served late.
        deadline_ms: a request must be answered by then.
        mean_work_ms: the mean processing time of a request on a core of speed 1.
        weight: how often requests of this class arrive, relative to the other classes' weights.
        value: of a request that is served in time, before the plan's price is applied.
        idempotency: an `api.Idempotency` by its value.
        idempotency_scope: an `api.IdempotencyScope` by its value.
        idempotency_window_ms: how long servers remember an idempotency key.
    """

    name: str
    latency_objective_ms: PositiveFloat
    deadline_ms: PositiveFloat
    mean_work_ms: PositiveFloat
    weight: PositiveFloat = 1.0
    value: NonNegativeFloat = 1.0
    idempotency: Literal["safe", "keyed", "unsafe"] = "safe"
    idempotency_scope: Literal["all", "zone", "cell"] = "all"
    idempotency_window_ms: NonNegativeFloat = 0.0


class PlanConfig(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "demand_ratio": "use",
        "heavy_probability": "heavy",
        "heavy_demand_ratio": "heavy_use",
        "gateways_per_customer": "spread",
    },
):
    """A plan and its customers.

    Attributes:
        name: the plan's name.
        customers: how many customers have the plan.
        rate: the quota's units a second.
        burst: the quota's burst in units.
        demand_ratio: requests a second of a customer, relative to ``rate``.
        heavy_probability: that a customer is a heavy one.
        heavy_demand_ratio: the same as ``demand_ratio``, for heavy customers.
        price: factor of the classes' values.
        gateways_per_customer: how many consecutive gateways serve a customer.
        max_in_flight: concurrency cap in attempts; 0: none.
        ceiling_rate: the rate ceiling's units a second; 0: none.
        ceiling_burst: the rate ceiling's burst in units.
        ceiling_slack: units by which the ceiling may be exceeded before that is a breach.
    """

    name: str
    customers: Count
    rate: PositiveFloat
    burst: PositiveFloat
    demand_ratio: PositiveFloat = 0.4
    heavy_probability: Ratio = 0.1
    heavy_demand_ratio: PositiveFloat = 2.0
    price: PositiveFloat = 1.0
    gateways_per_customer: Count = 2
    max_in_flight: Annotated[int, Meta(ge=0)] = 0
    ceiling_rate: NonNegativeFloat = 0.0
    ceiling_burst: NonNegativeFloat = 0.0
    ceiling_slack: NonNegativeFloat = 0.0


class Machines(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "queue_size": "room",
        "min_speed": "slowest",
        "max_speed": "fastest",
        "initial_capacity_ratio": "cold_share",
        "warm_up_ms": "warm_up",
        "overload_multiple": "tip_multiple",
        "overload_window_ms": "tip_window",
    },
):
    """The servers.

    Attributes:
        count: how many servers there are.
        cores: requests that a server processes at once.
        queue_size: requests that wait in a server while all its cores are busy.
        min_speed: of a core; each server's speed is drawn between this and ``max_speed``.
        max_speed: of a core.
        initial_capacity_ratio: share of its speed that a server has when it has just started.
        warm_up_ms: until a started server has its whole speed.
        overload_multiple: work sent to a server that warms up may be so many times its capacity.
        overload_window_ms: over which that work is summed.
    """

    count: Count
    cores: Count = 4
    queue_size: Count = 16
    min_speed: PositiveFloat = 0.8
    max_speed: PositiveFloat = 1.2
    initial_capacity_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_up_ms: PositiveFloat = 6000.0
    overload_multiple: PositiveFloat = 3.0
    overload_window_ms: PositiveFloat = 2000.0


class Disturbance(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"start_s": "at_s", "duration_s": "for_s", "ratio": "share"},
):
    """A fault, a release or a burst of load during a simulation.

    Attributes:
        kind: kill: gateways die and are started again; release: servers drain, restart and warm up;
            slow: servers take ``factor`` times as long; fail: they answer with errors; silent: they do not
            answer; burst: clients send ``factor`` times as many requests.
        start_s: after the beginning of the simulation.
        duration_s: until its end; kill and release spread the restarts and the drains over it.
        ratio: of the gateways or servers that are affected, drawn at random.
        factor: for slow and burst.
        zone: all servers of this zone are affected, instead of a ratio of all servers. Empty: no zone.
    """

    kind: Literal["kill", "release", "slow", "fail", "silent", "burst"]
    start_s: NonNegativeFloat
    duration_s: PositiveFloat = 5.0
    ratio: Ratio = 0.2
    factor: PositiveFloat = 3.0
    zone: str = ""


class World(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "classes": "kinds",
        "plans": "tariffs",
        "same_zone_delay_ms": "near",
        "cross_zone_delay_ms": "far",
        "discovery_delay_ms": "list_late",
        "meter_period_ms": "meter_period",
        "meter_delay_ms": "meter_late",
        "retry_probability": "again",
        "max_tries": "tries",
        "restart_delay_ms": "down",
        "disturbances": "troubles",
    },
):
    """All that a simulation or a fault bench runs.

    Attributes:
        gateways: how many there are.
        machines: the servers.
        classes: of requests.
        plans: with their customers.
        seconds: for which clients begin requests.
        zones: gateways and servers are assigned to them in turn.
        same_zone_delay_ms: one way between a gateway and a server of its zone.
        cross_zone_delay_ms: one way between a gateway and a server of another zone.
        discovery_delay_ms: scale of the delay until gateways know of a server's change; in the simulation
            the longest delay, in the fault bench the mean delay.
        meter_period_ms: over which the platform meters a customer's use.
        meter_delay_ms: from the end of a period until answers carry its figure.
        retry_probability: that a client retries a rejected or failed request.
        max_tries: a client's requests for one operation, the first included.
        restart_delay_ms: until a killed gateway is started again, at least.
        disturbances: for the simulation only.
    """

    gateways: Count
    machines: Machines
    classes: Annotated[tuple[ClassConfig, ...], Meta(min_length=1)]
    plans: Annotated[tuple[PlanConfig, ...], Meta(min_length=1)]
    seconds: PositiveFloat = 45.0
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a",)
    same_zone_delay_ms: NonNegativeFloat = 0.5
    cross_zone_delay_ms: NonNegativeFloat = 2.0
    discovery_delay_ms: NonNegativeFloat = 300.0
    meter_period_ms: PositiveFloat = 1000.0
    meter_delay_ms: NonNegativeFloat = 500.0
    retry_probability: Ratio = 0.6
    max_tries: Count = 3
    restart_delay_ms: PositiveFloat = 800.0
    disturbances: tuple[Disturbance, ...] = ()

    def settings(self, index: int) -> api.Settings:
        """The settings of the gateway with this number."""
        machines = self.machines
        return api.Settings(
            gateways=self.gateways,
            index=index,
            zone=self.zones[index % len(self.zones)],
            classes=tuple(
                api.RequestClass(
                    request_class.name,
                    request_class.latency_objective_ms,
                    request_class.deadline_ms,
                    api.Idempotency(request_class.idempotency),
                    priority_weight=request_class.value,
                    idempotency_scope=api.IdempotencyScope(request_class.idempotency_scope),
                    idempotency_window_ms=request_class.idempotency_window_ms,
                )
                for request_class in self.classes
            ),
            plans=tuple(
                api.Plan(
                    plan.name,
                    plan.rate,
                    plan.burst,
                    plan.max_in_flight,
                    plan.price,
                    overuse_cost=0.5,
                    ceiling_rate=plan.ceiling_rate,
                    ceiling_burst=plan.ceiling_burst,
                    ceiling_slack=plan.ceiling_slack,
                )
                for plan in self.plans
            ),
            limits=api.Limits(
                max_attempts=3, can_cancel=True, can_advise_retry=True, max_retry_after_ms=2000.0
            ),
            contract=api.Contract(
                ANSWER_SLACK_MS,
                DRAIN_GRACE_MS,
                machines.initial_capacity_ratio,
                machines.warm_up_ms,
                machines.overload_multiple,
                machines.overload_window_ms,
                10_000.0,
            ),
            meter_period_ms=self.meter_period_ms,
            tick_ms=1.0,
        )


ANSWER_SLACK_MS = 20.0  # by which an answer may come after its deadline
DRAIN_GRACE_MS = 500.0  # for which a gateway may still send to a server after being notified that it drains


StructType = TypeVar("StructType", bound=Struct)


def read_file(path: Path, struct_type: type[StructType]) -> StructType:
    """Read a TOML file into a struct.

    Raises:
        WorldError: with the file, and the line or the path of the fault.
    """
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), struct_type)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise WorldError(f"{path}: {error}") from None


def check(world: World, path: Path) -> None:
    """Check what the fields' types do not express; ``path`` is for the message.

    Raises:
        WorldError: a name is used twice, a zone is unknown, or gateways would reject the settings.
    """
    names = [f"kinds {request_class.name}" for request_class in world.classes]
    names += [f"tariffs {plan.name}" for plan in world.plans]
    if len(set(names)) != len(names):
        raise WorldError(f"{path}: {max(names, key=names.count)}: this name is used more than once")
    for number, disturbance in enumerate(world.disturbances):
        if disturbance.zone and disturbance.zone not in world.zones:
            raise WorldError(
                f"{path}: zone {disturbance.zone!r} is not listed in `zones` - at `$.troubles[{number}].zone`"
            )
    try:
        world.settings(0)
    except ValueError as error:
        raise WorldError(f"{path}: {error}") from None


def load(path: Path) -> World:
    """Read and check a world file.

    Raises:
        WorldError: with the file, and the line or the path of the fault.
    """
    world = read_file(path, World)
    check(world, path)
    return world
