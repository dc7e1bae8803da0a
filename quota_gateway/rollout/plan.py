"""The rollout plan: the gateways to change (targets), the change, and the stages.

A plan is a TOML file; it is read completely, or rejected with its first fault. Times are seconds, shares are
0 to 1. Paths are relative to the plan's folder. The TOML keys are those that operators' plans and the stored
fingerprints use; each class maps its fields to them. Texts for operators use the words of the keys: a target
is a member there, and its admin endpoint a door.
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
    """The file is not a valid plan, or the plan can't be carried out; nothing more is changed."""


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
        next_admin_address: for a rollout of a program, ``host:port`` of a second admin endpoint. The
            successor listens at whichever of the two addresses its predecessor does not use.
        runtime_folder: for a rollout of a program, the TMPDIR that predecessor and successor share.
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
        folder: the folder that it is installed in.
        command: the shell command that runs it in that folder; ``--check FILE`` or ``--about`` is appended
            to it.
    """

    folder: str
    command: str = DEFAULT_COMMAND


class ProgramChange(Struct, forbid_unknown_fields=True, frozen=True):
    """A change from one version of the program to another.

    Attributes:
        before: the version that runs now.
        after: the version that is rolled out.
        start: the platform's command that starts a target's process with a given admin address. Its words
            may contain the fields of `platform_commands.PlatformFields` in braces, see docs/on-call.md.
            Empty: the process is started on this machine.
        stop: the platform's command that ends the process with a given admin address; its words may
            contain the same fields. Given if and only if ``start`` is.
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
    """A rollout, either of settings or of a version of the program.

    Attributes:
        name: the rollout's name.
        journal: path of the journal file.
        targets: the gateways to change, in the order of their numbers.
        settings: path of each target's new configuration file; ``{name}`` stands for the target's name. Empty
            for a rollout of a program.
        program: the versions before and after; none for a rollout of settings.
        stage_sizes: targets that are changed by the end of each stage: a number, or a share of all targets.
        stage_by: ``share``: stages by `stage_sizes`; ``zone``: each zone is a stage.
        max_concurrent: how many targets may be in the middle of a change at the same time.
        customer_set_size: number of consecutive gateways that serve the smallest customer; these are never
            all changed at the same time.
        target_timeout_s: time in which a target must be changed or confirmed, and after which an unreachable
            one halts the rollout.
        watch_s: minimum time that a stage is watched after its targets are changed.
        max_watch_s: maximum time that a stage is watched; without a verdict by then the rollout halts.
        min_requests: requests that the canary targets, and that the control targets, must have answered
            before a stage can pass; see `canary_analysis`.
        trial_s: time after which a target reverts new settings whose trial is neither confirmed nor renewed.
        poll_interval_s: time between two reads of a target's figures.
        settle_s: time at the beginning of a watch whose figures don't count, as a process that has just
            started is slower for a while.
        limits: when a stage counts as worse.
        folder: the folder of the plan's file; not read from the file.
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
        """A path of the plan, relative to its folder, with the target's name in place of ``{name}``."""
        return Path(self.folder) / text.format(name=target)

    def target_names(self) -> list[str]:
        """All targets, in the order of the gateways' numbers."""
        return [target.name for target in self.targets]

    def stages(self) -> list[list[str]]:
        """Targets' names by stage.

        Stages by share consist of targets far apart in the order of the gateways, as consecutive gateways
        serve the same customers.
        """
        if self.stage_by == "zone":
            zones = dict.fromkeys(target.zone for target in self.targets)
            return [[target.name for target in self.targets if target.zone == zone] for zone in zones]
        order = bit_reversed_order(self.target_names())
        stages = []
        assigned = 0
        for size in self.stage_sizes:
            end = min(len(order), size if isinstance(size, int) else ceil(size * len(order)))
            if end > assigned:
                stages.append(order[assigned:end])
                assigned = end
        return stages


def bit_reversed_order(names: list[str]) -> list[str]:
    """The names reordered so that neighbours were far apart: the first, the middle one, that at a quarter.

    This is the bit-reversal permutation of their positions.
    """
    bits = max(1, (len(names) - 1).bit_length())
    positions = (int(format(number, f"0{bits}b")[::-1], 2) for number in range(1 << bits))
    return [names[position] for position in positions if position < len(names)]


def fingerprint(plan: Plan) -> str:
    """SHA-256 of the plan: a journal belongs to one plan.

    Without the plan's folder and the journal's path, so that both files can be moved together.
    """
    without_location = msgspec.structs.replace(plan, journal="", folder="")
    return hashlib.sha256(msgspec.json.encode(without_location)).hexdigest()
