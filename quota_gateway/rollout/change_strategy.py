"""What a rollout changes, as the controller sees it: a way there, a way to keep it, and a way back.

Each step looks first and does what is missing, so that it may be done again by whoever follows.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import suppress
from pathlib import Path

from quota_gateway.config import read as read_config
from quota_gateway.errors import ConfigurationError
from quota_gateway.rollout.admin_clients import AwayError, Doors, put
from quota_gateway.rollout.journal import Begun, State
from quota_gateway.rollout.plan import MOST_FILE, Member, Plan, PlanError, digest


class RefusedError(Exception):
    """A member says no to the change itself, or fails under it."""


class Way(ABC):
    """A kind of change. ``state`` is the journal's."""

    def __init__(self, plan: Plan, doors: Doors, state: State) -> None:
        self.plan = plan
        self.doors = doors
        self.state = state
        self.members = {member.name: member for member in plan.members}

    def begun(self) -> Begun:
        """What was checked at the beginning."""
        assert self.state.begun
        return self.state.begun

    def config(self, member: Member) -> Path:
        """A member's configuration file."""
        return self.plan.path(member.config, member.name)

    def file(self, text: str, name: str) -> bytes:
        """A member's file. Raises PlanError."""
        try:
            data = self.plan.path(text, name).read_bytes()
        except OSError as error:
            raise PlanError(f"{name}: {error}") from None
        if len(data) > MOST_FILE:
            raise PlanError(f"{name}: {text}: more than {MOST_FILE} bytes")
        return data

    async def steady(self, name: str) -> str:
        """Digest of the file that a member goes by. Raises PlanError if on trial, or by another."""
        here = digest(self.file(self.members[name].config, name))
        try:
            force = await self.doors.force(name)
        except AwayError as error:
            raise PlanError(f"a door does not answer: {error}") from None
        if force.digest != here or force.on_trial:
            raise PlanError(f"{name} is on trial, or goes by {force.digest} and not by {here}")
        return here

    @abstractmethod
    async def check(self) -> tuple[dict[str, str], dict[str, str]]:
        """What each member has before and is to have after. Touches nothing; raises PlanError."""

    @abstractmethod
    def outdated(self) -> bool:
        """Whether what the plan points to is no longer what was begun with."""

    @abstractmethod
    async def apply(self, name: str) -> int:
        """Change it; its process. Raises RefusedError, or AwayError where it may be tried again."""

    @abstractmethod
    async def renew(self, names: list[str]) -> None:
        """What was changed must last while it is watched."""

    @abstractmethod
    async def failed(self, name: str) -> str:
        """Why a changed member that does not answer is known to have failed; empty if it is not."""

    @abstractmethod
    async def keep(self, name: str) -> bool:
        """Keep the change; false if it has gone back by itself. Raises RefusedError or AwayError."""

    @abstractmethod
    async def undo(self, name: str) -> None:
        """As before. Raises AwayError where it has to be tried again."""


class OfSettings(Way):
    """Another configuration file, on trial until its stage is found good."""

    async def check(self) -> tuple[dict[str, str], dict[str, str]]:
        before = {}
        after = {}
        for name, member in self.members.items():
            old = self.file(member.config, name)
            new = self.file(self.plan.settings, name)
            why = unfit(old, new)
            if why:
                raise PlanError(f"{name}: {why}")
            before[name] = digest(old)
            after[name] = digest(new)
        for name in self.members:
            await self.steady(name)
        return before, after

    def outdated(self) -> bool:
        return any(
            digest(self.file(self.plan.settings, name)) != after for name, after in self.begun().after.items()
        )

    async def apply(self, name: str) -> int:
        begun = self.begun()
        config = self.config(self.members[name])
        data = self.file(self.plan.settings, name)
        if digest(data) != begun.after[name]:
            raise RefusedError(f"{name}: its new file has changed under way")
        old = config.read_bytes()
        if digest(old) == begun.before[name]:
            put(before_path(config), old)
        if old != data:
            put(config, data)
        yes, text = await self.doors.call(name, f"RELOAD CONFIRM {self.plan.trial_s}")
        if not yes and not text.startswith("not done"):
            raise RefusedError(f"{name}: {text}")
        force = await self.doors.force(name)
        if force.digest != begun.after[name]:
            raise AwayError(f"{name}: goes by {force.digest}")
        return (await self.doors.figures(name)).pid

    async def renew(self, names: list[str]) -> None:
        for name in names:
            with suppress(AwayError):
                if (await self.doors.force(name)).on_trial:
                    await self.doors.call(name, f"RELOAD CONFIRM {self.plan.trial_s}")

    async def failed(self, name: str) -> str:
        return ""

    async def keep(self, name: str) -> bool:
        force = await self.doors.force(name)
        if force.digest != self.begun().after[name]:
            return False
        if force.on_trial:
            yes, text = await self.doors.call(name, "CONFIRM")
            if not yes:
                raise AwayError(f"{name}: {text}")
        return True

    async def undo(self, name: str) -> None:
        begun = self.begun()
        config = self.config(self.members[name])
        with suppress(FileNotFoundError):  # no copy: its file was not touched yet
            kept = before_path(config).read_bytes()
            if digest(kept) == begun.before[name] and digest(config.read_bytes()) == begun.after[name]:
                put(config, kept)
        force = await self.doors.force(name)
        if force.digest != begun.before[name]:
            await self.doors.call(name, "ROLLBACK" if force.on_trial else "RELOAD")
            force = await self.doors.force(name)
        if force.digest != begun.before[name]:
            raise AwayError(f"{name}: goes by {force.digest}")


def unfit(old: bytes, new: bytes) -> str:
    """Why these settings can't follow those; empty if they can."""
    try:
        one = read_config(old, {})
        other = read_config(new, {})
    except ConfigurationError as error:
        return "; ".join(error.faults[:3])
    faults = other.unchangeable(one)
    if faults:
        return "; ".join(faults[:3])
    return "" if other.changes(one) else "its new settings change nothing"


def before_path(config: Path) -> Path:
    """Where a member's settings of before are kept."""
    return config.with_name(config.name + ".before")
