"""The plan: members, what changes, stages. TOML, read whole or refused with its fault.

Times are seconds; shares are 0 to 1. Paths are taken from the plan's folder.
"""

from __future__ import annotations

import hashlib
import re
import tomllib
from collections import Counter
from math import ceil
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from quota_gateway.compatibility import DEFAULT_COMMAND
from quota_gateway.rollout.canary_analysis import Above, Share, Worse

Count = Annotated[int, Meta(ge=1, le=10_000)]
DOOR = re.compile(r"[^\s:]+:\d{1,5}")
MOST_MEMBERS = 10_000
FIELDS = ("name", "zone", "door", "token", "config", "tmp", "folder", "command")  # of start and stop
MOST_FILE = 1024 * 1024  # bytes of a member's settings: what a gateway reads


class PlanError(Exception):
    """The file is no plan; the message names the path in it."""


class Member(Struct, forbid_unknown_fields=True, frozen=True):
    """A gateway: its operators' door, its configuration file, its zone.

    For another program, too: ``next_door``, that of the process beside it (the two take turns), and
    ``folder``, the TMPDIR that both processes share.
    """

    name: str
    door: str
    config: str
    zone: str = ""
    next_door: str = ""
    folder: str = ""


class Version(Struct, forbid_unknown_fields=True, frozen=True):
    """A version of the program: its folder, and the command that runs it there; ``--check FILE`` and
    ``--about`` are put behind it.
    """

    folder: str
    command: str = DEFAULT_COMMAND


class Change(Struct, forbid_unknown_fields=True, frozen=True):
    """Another version of the program. ``start`` and ``stop``: how the platform starts a member's process with
    a door of its own, or ends the one that has it; see ``FIELDS`` and docs/on-call.md for what they owe.
    Empty: a process on this machine.
    """

    before: Version
    after: Version
    start: tuple[str, ...] = ()
    stop: tuple[str, ...] = ()


class Plan(Struct, forbid_unknown_fields=True, frozen=True):
    """A rollout, of settings or of a program. ``settings`` names each member's new file, with ``{name}`` in
    it. ``stages``: how many, as whole numbers or as shares of all, each counted from the beginning; or a zone
    after the other. ``settle_s``: how long a stage's watch counts nothing at first, as what has started anew
    is slower for a while.
    """

    name: str
    journal: str
    members: Annotated[tuple[Member, ...], Meta(min_length=2, max_length=MOST_MEMBERS)]
    settings: str = ""
    program: Change | None = None
    stages: tuple[Annotated[int, Meta(ge=1)] | Share, ...] = (1, 0.1, 0.5, 1.0)
    by: Literal["share", "zone"] = "share"
    at_once: Count = 2
    spread: Annotated[int, Meta(ge=2)] = 2  # gateways in a row that are the smallest customer's set
    member_s: Above = 30.0
    watch_s: Above = 20.0
    longest_watch_s: Above = 300.0
    least_requests: Count = 300
    trial_s: Annotated[int, Meta(ge=10, le=3600)] = 900
    look_s: Above = 1.0
    settle_s: Annotated[float, Meta(ge=0)] = 0.0
    worse: Worse = Worse()
    folder: str = ""  # where the file stood

    def path(self, text: str, name: str = "") -> Path:
        """A path of the plan's."""
        return Path(self.folder) / text.format(name=name)

    def words(
        self,
        call: tuple[str, ...],
        member: Member,
        version: Version,
        door: str,
        token: int,
    ) -> list[str]:
        """A command for the platform, with its fields filled in."""
        fields = {
            "name": member.name,
            "zone": member.zone,
            "door": door,
            "token": token,
            "config": self.path(member.config, member.name),
            "tmp": self.path(member.folder, member.name),
            "folder": self.path(version.folder),
            "command": version.command,
        }
        return [word.format(**fields) for word in call]

    def staged(self) -> list[list[str]]:
        """Names by stage; those of a stage stand far from each other in the customers' rings."""
        names = [member.name for member in self.members]
        if self.by == "zone":
            zones = list(dict.fromkeys(member.zone for member in self.members))
            return [[m.name for m in self.members if m.zone == zone] for zone in zones]
        order = spaced(names)
        stages = []
        done = 0
        for stage in self.stages:
            upto = min(len(names), stage if isinstance(stage, int) else ceil(stage * len(names)))
            if upto > done:
                stages.append(order[done:upto])
                done = upto
        return stages

    def batch(self, waiting: list[str], out: set[str]) -> list[str]:
        """Whom of a stage to change now, while others are being changed.

        Never more than ``at_once``, never all of a zone that has others, never a whole set of customers: the
        members stand in the order of their numbers, and a set is some in a row.
        """
        names = [member.name for member in self.members]
        zones = {member.name: member.zone for member in self.members}
        place = {name: number for number, name in enumerate(names)}
        taken = set(out)
        chosen: list[str] = []
        for name in waiting:
            if len(taken) >= self.at_once:
                break
            trial = taken | {name}
            mates = {other for other in names if zones[other] == zones[name]}
            whole_zone = len(mates) > 1 and mates <= trial
            if not whole_zone and not self._whole_set(place[name], {place[one] for one in trial}):
                taken = trial
                chosen.append(name)
        return chosen

    def _whole_set(self, at: int, out: set[int]) -> bool:
        """Whether some set that this place belongs to would be out altogether."""
        count = len(self.members)
        width = min(self.spread, count)
        return any(
            all((first + n) % count in out for n in range(width)) for first in range(at - width + 1, at + 1)
        )


def spaced(names: list[str]) -> list[str]:
    """The same names, so that those who follow each other stand apart: 0, half, a quarter, and so on."""

    def reverse(number: int, bits: int) -> int:
        return int(format(number, f"0{bits}b")[::-1], 2)

    bits = max(1, (len(names) - 1).bit_length())
    places = (reverse(number, bits) for number in range(1 << bits))
    return [names[place] for place in places if place < len(names)]


def load(path: Path) -> Plan:
    """Read a plan. Raises PlanError with file, line or path of the fault."""
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), Plan)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from None
    plan = msgspec.structs.replace(plan, folder=str(path.resolve().parent))
    if fault := _fault(plan):
        raise PlanError(f"{path}: {fault}")
    return plan


def _fault(plan: Plan) -> str:
    """What types can't tell; empty if nothing is wrong."""
    doors = [door for member in plan.members for door in (member.door, member.next_door) if door]
    for field, values in (
        ("name", [member.name for member in plan.members]),
        ("door", doors),
        ("config", [member.config for member in plan.members]),
    ):
        twice = next((value for value, n in Counter(values).items() if n > 1), None)
        if twice is not None:
            return f"two members have {field} {twice!r} - at `$.members`"
    strange = next((door for door in doors if not DOOR.fullmatch(door)), None)
    if strange:
        return f"{strange!r} is no door, want host:port - at `$.members`"
    if bool(plan.settings) == bool(plan.program):
        return "either settings or program, one of them - at `$`"
    if plan.by == "share" and plan.stages[-1:] != (1.0,) and plan.stages[-1:] != (len(plan.members),):
        return "the last stage is not all members - at `$.stages`"
    if plan.longest_watch_s < plan.watch_s or plan.trial_s < plan.watch_s + plan.member_s:
        return "a trial has to outlast a member's change and its watch - at `$.trial_s`"
    if not _fills(plan.settings, ("name",)):
        return f"{plan.settings!r}: only {{name}} may stand in it - at `$.settings`"
    return _fault_of_program(plan, plan.program) if plan.program else ""


def _fills(text: str, fields: tuple[str, ...]) -> bool:
    try:
        text.format(**dict.fromkeys(fields, "x"))
    except (KeyError, IndexError, ValueError, AttributeError):
        return False
    return True


def _fault_of_program(plan: Plan, change: Change) -> str:
    for member in plan.members:
        if not member.next_door or not member.folder:
            return f"{member.name} needs next_door and folder - at `$.members`"
    if bool(change.start) != bool(change.stop):
        return "start and stop go together - at `$.program`"
    strange = next((word for word in change.start + change.stop if not _fills(word, FIELDS)), None)
    if strange is not None:
        names = ", ".join(FIELDS)
        return f"{strange!r}: only {names} may stand in braces - at `$.program`"
    return "" if change.before != change.after else "before and after are the same - at `$.program`"


def digest(data: bytes) -> str:
    """As a gateway's ``CONFIG`` tells it."""
    return hashlib.sha256(data).hexdigest()[:12]


def fingerprint(plan: Plan) -> str:
    """Of everything in the plan but where it stands: a journal is of one plan, and may be moved with it."""
    unplaced = msgspec.structs.replace(plan, journal="", folder="")
    return hashlib.sha256(msgspec.json.encode(unplaced)).hexdigest()
