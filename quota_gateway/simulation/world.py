"""The world file: what a day is made of. TOML, read whole or refused with the path of the fault (msgspec).

Times are milliseconds unless a name ends in ``_s``; shares are 0 to 1; units are those of quotas.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from quota_gateway import api

Above = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=20_000)]


class WorldError(Exception):
    """The file is no world; the message names the path in it."""


class Kind(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests: ``work`` is its mean time on a core of speed 1, ``weight`` its part."""

    name: str
    aim: Above
    deadline: Above
    work: Above
    weight: Above = 1.0
    worth: Amount = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    key_scope: Literal["all", "zone", "cell"] = "all"
    key_memory: Amount = 0.0


class Tariff(Struct, forbid_unknown_fields=True, frozen=True):
    """A plan and its customers; each asks its ``use`` of the rate, the ``heavy`` ones ``heavy_use``."""

    name: str
    customers: Count
    rate: Above
    burst: Above
    use: Above = 0.4
    heavy: Share = 0.1
    heavy_use: Above = 2.0
    price: Above = 1.0
    spread: Count = 2
    max_in_flight: Annotated[int, Meta(ge=0)] = 0
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0


class Machines(Struct, forbid_unknown_fields=True, frozen=True):
    """The servers: what ``cores`` can't take waits in ``room``; a cold one has a share of its speed."""

    count: Count
    cores: Count = 4
    room: Count = 16
    slowest: Above = 0.8
    fastest: Above = 1.2
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_up: Above = 6000.0
    tip_multiple: Above = 3.0
    tip_window: Above = 2000.0


class Trouble(Struct, forbid_unknown_fields=True, frozen=True):
    """What goes wrong from ``at_s`` on, for ``for_s``: to a ``share`` of servers or gateways, or to a zone.

    kill: gateways die and come back; release: servers drain, restart and are cold; slow: servers take
    ``factor`` times as long; fail: they answer with errors; silent: they say nothing; burst: clients ask
    ``factor`` times as much.
    """

    kind: Literal["kill", "release", "slow", "fail", "silent", "burst"]
    at_s: Amount
    for_s: Above = 5.0
    share: Share = 0.2
    factor: Above = 3.0
    zone: str = ""


class World(Struct, forbid_unknown_fields=True, frozen=True):
    """A day. ``near`` and ``far`` are one-way times within and between zones."""

    gateways: Count
    machines: Machines
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    tariffs: Annotated[tuple[Tariff, ...], Meta(min_length=1)]
    seconds: Above = 45.0
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a",)
    near: Amount = 0.5
    far: Amount = 2.0
    list_late: Amount = 300.0
    meter_period: Above = 1000.0
    meter_late: Amount = 500.0
    again: Share = 0.6
    tries: Count = 3
    down: Above = 800.0
    troubles: tuple[Trouble, ...] = ()

    def settings(self, index: int) -> api.Settings:
        """What the gateway with this number is told."""
        machines = self.machines
        return api.Settings(
            gateways=self.gateways,
            index=index,
            zone=self.zones[index % len(self.zones)],
            classes=tuple(
                api.RequestClass(
                    kind.name,
                    kind.aim,
                    kind.deadline,
                    api.Idempotency(kind.effect),
                    priority_weight=kind.worth,
                    idempotency_scope=api.IdempotencyScope(kind.key_scope),
                    idempotency_window_ms=kind.key_memory,
                )
                for kind in self.kinds
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
                for plan in self.tariffs
            ),
            limits=api.Limits(
                max_attempts=3, can_cancel=True, can_advise_retry=True, max_retry_after_ms=2000.0
            ),
            contract=api.Contract(
                SLACK,
                DRAIN_GRACE,
                machines.cold_share,
                machines.warm_up,
                machines.tip_multiple,
                machines.tip_window,
                10_000.0,
            ),
            meter_period_ms=self.meter_period,
            tick_ms=1.0,
        )


SLACK = 20.0  # ms by which an answer may come after its deadline
DRAIN_GRACE = 500.0  # ms after it was told that a gateway may still send to a draining server


Made = TypeVar("Made", bound=Struct)


def read_file(path: Path, kind: type[Made]) -> Made:
    """A TOML file as one of these. Raises WorldError with file, line or path of the fault."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), kind)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise WorldError(f"{path}: {error}") from None


def check(world: World, path: Path) -> None:
    """What types can't tell. Raises WorldError."""
    names = [f"kinds {kind.name}" for kind in world.kinds]
    names += [f"tariffs {plan.name}" for plan in world.tariffs]
    if len(set(names)) != len(names):
        raise WorldError(f"{path}: {max(names, key=names.count)}: named twice")
    for number, trouble in enumerate(world.troubles):
        if trouble.zone and trouble.zone not in world.zones:
            raise WorldError(f"{path}: no zone {trouble.zone!r} - at `$.troubles[{number}].zone`")
    try:
        world.settings(0)
    except ValueError as error:
        raise WorldError(f"{path}: {error}") from None


def load(path: Path) -> World:
    """Read a world file. Raises WorldError with file, line or path of the fault."""
    world = read_file(path, World)
    check(world, path)
    return world
