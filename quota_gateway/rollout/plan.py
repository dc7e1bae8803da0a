"""The rollout plan: targets, what changes, stages. A TOML file that is read whole or rejected with its fault.

Times are seconds, shares are 0 to 1. Paths are relative to the plan's folder. The TOML keys are those that
operators' plans and the stored fingerprints use; each class maps its fields to them.
"""

from __future__ import annotations

import hashlib
from math import ceil
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from quota_gateway.compatibility import DEFAULT_COMMAND
from quota_gateway.errors import RolloutError
from quota_gateway.rollout.canary_limits import CanaryLimits, PositiveFloat, Ratio

Count = Annotated[int, Meta(ge=1, le=10_000)]
MAX_TARGETS = 10_000


class PlanError(RolloutError):
    """The file is no plan, or the plan can't be carried out; nothing more is touched."""


class Target(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "admin_address": "door",
        "config_file": "config",
        "next_admin_address": "next_door",
        "runtime_folder": "folder",
    },
):
    """A gateway that a rollout changes.

    Attributes:
        name: the gateway's name.
        admin_address: ``host:port`` of its admin endpoint.
        config_file: its configuration file.
        zone: its zone; the gateways of a zone are never changed all at once.
        next_admin_address: of the other process, for another program: predecessor and successor take turns.
        runtime_folder: the TMPDIR that both processes share, for another program.
    """

    name: str
    admin_address: str
    config_file: str
    zone: str = ""
    next_admin_address: str = ""
    runtime_folder: str = ""


class ProgramVersion(Struct, forbid_unknown_fields=True, frozen=True):
    """A version of the program.

    Attributes:
        folder: where it stands.
        command: the shell command that runs it there; ``--check FILE`` and ``--about`` are put behind it.
    """

    folder: str
    command: str = DEFAULT_COMMAND


class ProgramChange(Struct, forbid_unknown_fields=True, frozen=True):
    """Another version of the program.

    Attributes:
        before: the version that runs.
        after: the version that is rolled out.
        start: the platform's command that starts a target's process at an admin address of its own; its words
            may hold the fields of `platform_commands.PlatformFields` in braces, see docs/on-call.md. Empty: a
            process on this machine.
        stop: the platform's command that ends the process at an admin address.
    """

    before: ProgramVersion
    after: ProgramVersion
    start: tuple[str, ...] = ()
    stop: tuple[str, ...] = ()


class Plan(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "targets": "members",
        "stage_sizes": "stages",
        "stage_by": "by",
        "max_concurrent": "at_once",
        "customer_set_size": "spread",  # not related to the stored baseline's key "spread"
        "target_timeout_s": "member_s",
        "max_watch_s": "longest_watch_s",
        "min_requests": "least_requests",
        "poll_interval_s": "look_s",
        "limits": "worse",
    },
):
    """A rollout, either of settings or of a program.

    Attributes:
        name: the rollout's name.
        journal: the journal's file.
        targets: in the order of the gateways' numbers.
        settings: each target's new configuration file, with ``{name}`` in it.
        program: the new version.
        stage_sizes: targets changed by the end of each stage, as numbers or as shares of all.
        stage_by: stages by `stage_sizes`, or a zone after the other.
        max_concurrent: targets that are changed at the same time.
        customer_set_size: consecutive gateways that serve the smallest customer; never all at the same time.
        target_timeout_s: for a target to be changed.
        watch_s: a stage is watched at least.
        max_watch_s: a stage is watched at most; without a verdict by then the rollout halts.
        min_requests: answered by either group before a stage passes.
        trial_s: new settings last, unless they are confirmed or renewed.
        poll_interval_s: between two reports of a target.
        settle_s: at the beginning of a watch, not counted: what has just started is slower for a while.
        limits: when a stage counts as worse.
        folder: where the file stood.
    """

    name: str
    journal: str
    targets: Annotated[tuple[Target, ...], Meta(min_length=2, max_length=MAX_TARGETS)]
    settings: str = ""
    program: ProgramChange | None = None
    stage_sizes: tuple[Annotated[int, Meta(ge=1)] | Ratio, ...] = (1, 0.1, 0.5, 1.0)
    stage_by: Literal["share", "zone"] = "share"
    max_concurrent: Count = 2
    customer_set_size: Annotated[int, Meta(ge=2)] = 2
    target_timeout_s: PositiveFloat = 30.0
    watch_s: PositiveFloat = 20.0
    max_watch_s: PositiveFloat = 300.0
    min_requests: Count = 300
    trial_s: Annotated[int, Meta(ge=10, le=3600)] = 900
    poll_interval_s: PositiveFloat = 1.0
    settle_s: Annotated[float, Meta(ge=0)] = 0.0
    limits: CanaryLimits = CanaryLimits()
    folder: str = ""

    def path(self, text: str, target: str = "") -> Path:
        """A path of the plan, with a target's name filled in."""
        return Path(self.folder) / text.format(name=target)

    def target_names(self) -> list[str]:
        """All targets, in the order of the gateways' numbers."""
        return [target.name for target in self.targets]

    def stages(self) -> list[list[str]]:
        """Targets' names by stage; those of a stage are far apart in the customers' rings."""
        if self.stage_by == "zone":
            zones = dict.fromkeys(target.zone for target in self.targets)
            return [[target.name for target in self.targets if target.zone == zone] for zone in zones]
        order = bit_reversed_order(self.target_names())
        stages = []
        done = 0
        for size in self.stage_sizes:
            end = min(len(order), size if isinstance(size, int) else ceil(size * len(order)))
            if end > done:
                stages.append(order[done:end])
                done = end
        return stages


def bit_reversed_order(names: list[str]) -> list[str]:
    """The same names, ordered so that consecutive ones were far apart: the first, the middle, a quarter.

    This is the bit-reversal permutation of their positions.
    """
    bits = max(1, (len(names) - 1).bit_length())
    positions = (int(format(number, f"0{bits}b")[::-1], 2) for number in range(1 << bits))
    return [names[position] for position in positions if position < len(names)]


def fingerprint(plan: Plan) -> str:
    """SHA-256 of the plan but its place: a journal belongs to one plan, and may be moved with it."""
    unplaced = msgspec.structs.replace(plan, journal="", folder="")
    return hashlib.sha256(msgspec.json.encode(unplaced)).hexdigest()
