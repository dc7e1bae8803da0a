"""The scenario file: a world of the lab's, a load, a timeline of acts; read whole or refused with its fault.

Times are milliseconds unless a name ends in ``_s``.
"""

from __future__ import annotations

import re
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any, Literal, get_args

import msgspec
from msgspec import Struct

from quota_gateway.simulation.world import (
    NonNegativeFloat,
    PositiveFloat,
    World,
    WorldError,
    check,
    read_file,
)

MOST_GATEWAYS = 50
CONDITION = re.compile(r"(asked|answered|open|ready)(?: (g\d+))? >= (\d+)")
ProcessAct = Literal[
    "kill",
    "stop",
    "term",
    "hup",
    "start",
    "upgrade",
    "busy",
    "descriptors",
    "memory",
    "call",
    "no-folder",
    "full",
]
LinkAct = Literal["delay", "silent", "reset", "lose", "cut", "refuse"]
ServerAct = Literal["slow", "failing", "mute", "release", "drain"]
Act = Literal[ProcessAct, LinkAct, "partition", ServerAct, "no-discovery", "skew", "rollout"]
OF_PROCESS = get_args(ProcessAct)
OF_LINK = get_args(LinkAct)
OF_SERVER = get_args(ServerAct)
CONTROLLER = "controller"  # what kill and stop call the processes that carry out rollouts


class Step(Struct, forbid_unknown_fields=True, frozen=True):
    """One act, ``at_s`` after the first request and once ``when`` holds ("open g1 >= 5").

    ``docs/fault_bench.md`` has the acts. ``on`` names gateways (``g0``), servers (``s-1``) or links
    (``g*>s-1``), with wildcards. Undone after ``for_s``, 0: never. ``amount``: ms of a delay, bytes of a cut
    or of memory, descriptors, a factor, or ms by which discovery's clock is ahead.
    """

    do: Act
    on: tuple[str, ...] = ()
    at_s: NonNegativeFloat = 0.0
    when: str = ""
    for_s: NonNegativeFloat = 0.0
    way: Literal["both", "up", "down"] = "both"
    amount: NonNegativeFloat = 0.0
    jitter: NonNegativeFloat = 0.0
    groups: tuple[tuple[str, ...], ...] = ()
    line: str = ""


class Rolling(Struct, forbid_unknown_fields=True, frozen=True):
    """A rollout over all gateways.

    ``settings``: other values by their dotted paths in the configuration (``settings.tariffs.0.refill``);
    none: the next version of the program. ``plan``: further fields of its plan.
    """

    name: str
    settings: dict[str, Any] = {}
    plan: dict[str, Any] = {}


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """A play. ``rate``: first tries a second by all clients, whose pace waits for nothing."""

    world: World
    rate: PositiveFloat = 100.0
    steps: tuple[Step, ...] = ()
    rollouts: tuple[Rolling, ...] = ()

    def gateways(self) -> list[str]:
        """Names, in the order of their numbers."""
        return [f"g{number}" for number in range(self.world.gateways)]

    def servers(self) -> list[str]:
        """Names of the servers."""
        return [f"s-{number}" for number in range(1, self.world.machines.count + 1)]

    def links(self) -> list[str]:
        """Names of all connections' ways, from who connects to whom."""
        return [
            link
            for one in self.gateways()
            for link in (
                f"clients>{one}",
                f"doors>{one}",
                f"doors-0>{one}",
                f"doors-1>{one}",
                f"{one}>discovery",
                *(f"{one}>{server}" for server in self.servers()),
            )
        ]

    def targets(self, step: Step) -> list[str]:
        """The names that a step is about."""
        if step.do == "rollout":
            return [one.name for one in self.rollouts if one.name in step.on]
        if step.on == (CONTROLLER,) and step.do in ("kill", "stop"):
            return [CONTROLLER]
        all_of = (
            self.gateways()
            if step.do in OF_PROCESS
            else self.servers()
            if step.do in OF_SERVER
            else self.links()
            if step.do in OF_LINK
            else []
        )
        return [name for name in all_of if any(fnmatchcase(name, pattern) for pattern in step.on)]


def load(path: Path, gateways: int | None = None) -> Scenario:
    """Read a scenario, with another number of gateways if one is given. Raises WorldError."""
    scenario = read_file(path, Scenario)
    if gateways is not None:
        world = msgspec.structs.replace(scenario.world, gateways=gateways)
        scenario = msgspec.structs.replace(scenario, world=world)
    check(scenario.world, path)
    if scenario.world.gateways > MOST_GATEWAYS:
        raise WorldError(f"{path}: at most {MOST_GATEWAYS} gateways - at `$.world.gateways`")
    if scenario.world.disturbances:
        raise WorldError(f"{path}: troubles are the lab's, here it is steps - at `$.world.troubles`")
    for number, step in enumerate(scenario.steps):
        if fault := _fault(scenario, step):
            raise WorldError(f"{path}: {fault} - at `$.steps[{number}]`")
    return scenario


def _fault(scenario: Scenario, step: Step) -> str:
    """What is wrong with a step; empty if nothing is."""
    if step.when and not CONDITION.fullmatch(step.when):
        return f"no such condition: {step.when!r}"
    if step.do == "partition":
        known = {*scenario.gateways(), *scenario.servers(), "clients", "doors", "discovery"}
        strange = sorted({name for group in step.groups for name in group} - known)
        return f"nobody is called {strange[0]}" if strange else "" if len(step.groups) > 1 else "two groups"
    if step.do not in ("no-discovery", "skew") and not scenario.targets(step):
        return f"nothing here is called {', '.join(step.on) or 'nothing'}"
    needs_amount = step.do in ("cut", "slow", "descriptors", "memory", "delay", "skew")
    if needs_amount and not step.amount:
        return f"{step.do} needs an amount"
    return "call needs a line" if step.do == "call" and not step.line else ""
