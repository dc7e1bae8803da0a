"""The scenario file: a world as in the simulation, a load, and a timeline of steps such as faults.

A file with a mistake is rejected, and the error names the mistake and its place. Times are milliseconds
unless a name ends in ``_s``.
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

MAX_GATEWAYS = 50
CONDITION = re.compile(r"(asked|answered|open|ready)(?: (g\d+))? >= (\d+)")
ProcessAction = Literal[
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
LinkAction = Literal["delay", "silent", "reset", "lose", "cut", "refuse"]
ServerAction = Literal["slow", "failing", "mute", "release", "drain"]
Action = Literal[ProcessAction, LinkAction, "partition", ServerAction, "no-discovery", "skew", "rollout"]
PROCESS_ACTIONS = get_args(ProcessAction)
LINK_ACTIONS = get_args(LinkAction)
SERVER_ACTIONS = get_args(ServerAction)
CONTROLLER = "controller"  # target of kill and stop: the processes that carry out rollouts


class Step(Struct, forbid_unknown_fields=True, frozen=True):
    """An action, carried out ``at_s`` after the load starts and once the condition ``when`` holds.

    An example of a condition is "open g1 >= 5". ``docs/fault_bench.md`` describes the actions.

    Attributes:
        on: the targets: gateways (``g0``), servers (``s-1``) or links (``g*>s-1``), with wildcards; rollouts;
            or ``controller``.
        for_s: the action is undone after this time; 0: never.
        way: the direction of a link fault.
        amount: ms of a delay, bytes until a cut, bytes of memory, number of descriptors, factor by which a
            server is slower, or ms by which discovery's clock is ahead.
        jitter: ms of random variation of a delay.
        groups: of a partition: parties that can't reach those of the other groups.
        line: of a call: the command for the admin endpoint.
    """

    do: Action
    on: tuple[str, ...] = ()
    at_s: NonNegativeFloat = 0.0
    when: str = ""
    for_s: NonNegativeFloat = 0.0
    way: Literal["both", "up", "down"] = "both"
    amount: NonNegativeFloat = 0.0
    jitter: NonNegativeFloat = 0.0
    groups: tuple[tuple[str, ...], ...] = ()
    line: str = ""


class RolloutSpec(Struct, forbid_unknown_fields=True, frozen=True):
    """A rollout over all gateways.

    ``settings``: the changed values, by dotted paths in the configuration (``settings.tariffs.0.refill``); if
    empty, the rollout is to the next version of the program. ``plan``: further fields of the rollout's plan.
    """

    name: str
    settings: dict[str, Any] = {}
    plan: dict[str, Any] = {}


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """What a run of the bench consists of.

    ``rate``: new operations per second by all clients, without retries; they do not wait for replies.
    """

    world: World
    rate: PositiveFloat = 100.0
    steps: tuple[Step, ...] = ()
    rollouts: tuple[RolloutSpec, ...] = ()

    def gateways(self) -> list[str]:
        """Names of the gateways, in the order of their numbers."""
        return [f"g{number}" for number in range(self.world.gateways)]

    def servers(self) -> list[str]:
        """Names of the servers."""
        return [f"s-{number}" for number in range(1, self.world.machines.count + 1)]

    def links(self) -> list[str]:
        """Names of all links, as ``CALLER>CALLED``: from the party that connects to the one that accepts.

        Callers of admin endpoints: ``doors`` reaches that of a gateway's newest process, ``doors-0`` and
        ``doors-1`` the one at the gateway's first or second admin address.
        """
        return [
            link
            for gateway in self.gateways()
            for link in (
                f"clients>{gateway}",
                f"doors>{gateway}",
                f"doors-0>{gateway}",
                f"doors-1>{gateway}",
                f"{gateway}>discovery",
                *(f"{gateway}>{server}" for server in self.servers()),
            )
        ]

    def targets(self, step: Step) -> list[str]:
        """Names of the gateways, servers, links or rollouts that a step applies to."""
        if step.do == "rollout":
            return [rollout.name for rollout in self.rollouts if rollout.name in step.on]
        if step.on == (CONTROLLER,) and step.do in ("kill", "stop"):
            return [CONTROLLER]
        candidates = (
            self.gateways()
            if step.do in PROCESS_ACTIONS
            else self.servers()
            if step.do in SERVER_ACTIONS
            else self.links()
            if step.do in LINK_ACTIONS
            else []
        )
        return [name for name in candidates if any(fnmatchcase(name, pattern) for pattern in step.on)]


def load_scenario(path: Path, gateways: int | None = None) -> Scenario:
    """Read a scenario file; ``gateways`` replaces the file's number of gateways. Raises WorldError."""
    scenario = read_file(path, Scenario)
    if gateways is not None:
        world = msgspec.structs.replace(scenario.world, gateways=gateways)
        scenario = msgspec.structs.replace(scenario, world=world)
    check(scenario.world, path)
    if scenario.world.gateways > MAX_GATEWAYS:
        raise WorldError(f"{path}: at most {MAX_GATEWAYS} gateways - at `$.world.gateways`")
    if scenario.world.disturbances:
        raise WorldError(
            f"{path}: troubles are for the simulation only, use steps instead - at `$.world.troubles`"
        )
    for number, step in enumerate(scenario.steps):
        if error := _step_error(scenario, step):
            raise WorldError(f"{path}: {error} - at `$.steps[{number}]`")
    return scenario


def _step_error(scenario: Scenario, step: Step) -> str:
    """The mistake in a step; empty if there is none."""
    if step.when and not CONDITION.fullmatch(step.when):
        return f"invalid condition {step.when!r}: expected one such as 'open g1 >= 5' or 'asked >= 400'"
    if step.do == "partition":
        known = {*scenario.gateways(), *scenario.servers(), "clients", "doors", "discovery"}
        unknown = sorted({name for group in step.groups for name in group} - known)
        return (
            f"unknown party: {unknown[0]}"
            if unknown
            else ""
            if len(step.groups) > 1
            else "partition needs two groups"
        )
    if step.do not in ("no-discovery", "skew") and not scenario.targets(step):
        return f"{step.do} has no such target: {', '.join(step.on) or 'none is given'}"
    needs_amount = step.do in ("cut", "slow", "descriptors", "memory", "delay", "skew")
    if needs_amount and not step.amount:
        return f"{step.do} needs an amount"
    return "call needs a line" if step.do == "call" and not step.line else ""
