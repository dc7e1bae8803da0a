"""Rolls out other configuration files, each on trial until its stage is confirmed."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

from quota_gateway.config import file_digest
from quota_gateway.config import read as read_config
from quota_gateway.errors import ConfigurationError
from quota_gateway.rollout.admin_clients import UnreachableError
from quota_gateway.rollout.atomic_file import replace_file
from quota_gateway.rollout.change_strategy import ChangeRejectedError, ChangeStrategy, CheckedTargets
from quota_gateway.rollout.plan import PlanError

MAX_FAULTS_SHOWN = 3


class SettingsRollout(ChangeStrategy):
    """Another configuration file for each target.

    A gateway goes back by itself where a trial is neither renewed nor confirmed in time. A copy of the file
    of before is kept beside it.
    """

    async def check(self) -> CheckedTargets:
        """Check every new file against the present one, and that targets go by their files."""
        before = {}
        after = {}
        for name, target in self.targets.items():
            old = self.read_file(target.config_file, name)
            new = self.read_file(self.plan.settings, name)
            fault = fault_of_change(old, new)
            if fault:
                raise PlanError(f"{name}: {fault}")
            before[name] = file_digest(old)
            after[name] = file_digest(new)
        for name in self.targets:
            await self.require_file_in_force(name)
        return CheckedTargets(before, after)

    def is_outdated(self) -> bool:
        """Whether a new file is no longer the one that the rollout began with."""
        return any(
            file_digest(self.read_file(self.plan.settings, name)) != digest
            for name, digest in self.started.after.items()
        )

    async def apply(self, target: str) -> int:
        """Write the new file and have it loaded on trial; see the base."""
        digest = self.started.after[target]
        self._write_new_file(target, digest)
        answer = await self.clients.reload_on_trial(target, self.plan.trial_s)
        if not answer.accepted and not answer.text.startswith("not done"):
            raise ChangeRejectedError(f"{target}: {answer.text}")
        await self._require_in_force(target, digest)
        return (await self.clients.figures(target)).pid

    def _write_new_file(self, target: str, digest: str) -> None:
        config_path = self.config_path(self.targets[target])
        new = self.read_file(self.plan.settings, target)
        if file_digest(new) != digest:
            raise ChangeRejectedError(f"{target}: its new file has changed under way")
        old = config_path.read_bytes()
        if file_digest(old) == self.started.before[target]:
            replace_file(copy_path(config_path), old)
        if old != new:
            replace_file(config_path, new)

    async def _require_in_force(self, target: str, digest: str) -> None:
        in_force = await self.clients.configuration(target)
        if in_force.digest != digest:
            raise UnreachableError(f"{target}: goes by {in_force.digest}")

    async def renew_trial(self, targets: list[str]) -> None:
        """Begin the trials' time from now on; an unreachable target is left out."""
        for target in targets:
            with suppress(UnreachableError):
                if (await self.clients.configuration(target)).on_trial:
                    await self.clients.reload_on_trial(target, self.plan.trial_s)

    async def failure_of(self, target: str) -> str:  # noqa: ARG002 - of the base class
        """None: a gateway that can't be reached may be well."""
        return ""

    async def keep(self, target: str) -> bool:
        """Confirm the trial; false where it has ended."""
        in_force = await self.clients.configuration(target)
        if in_force.digest != self.started.after[target]:
            return False
        if in_force.on_trial:
            answer = await self.clients.confirm_trial(target)
            if not answer.accepted:
                raise UnreachableError(f"{target}: {answer.text}")
        return True

    async def roll_back(self, target: str) -> None:
        """Restore the file and have it loaded; see the base."""
        digest = self.started.before[target]
        self._restore_file(target)
        in_force = await self.clients.configuration(target)
        if in_force.digest != digest:
            if in_force.on_trial:
                await self.clients.end_trial(target)
            else:
                await self.clients.reload(target)
            await self._require_in_force(target, digest)

    def _restore_file(self, target: str) -> None:
        """Put the copy back, unless somebody else has written the file meanwhile."""
        config_path = self.config_path(self.targets[target])
        with suppress(FileNotFoundError):  # no copy: the file was not touched yet
            old = copy_path(config_path).read_bytes()
            is_copy = file_digest(old) == self.started.before[target]
            if is_copy and file_digest(config_path.read_bytes()) == self.started.after[target]:
                replace_file(config_path, old)


def fault_of_change(old: bytes, new: bytes) -> str:
    """Why a gateway can't go from one configuration file to another; empty if it can."""
    try:
        old_config = read_config(old, {})
        new_config = read_config(new, {})
    except ConfigurationError as error:
        return "; ".join(error.faults[:MAX_FAULTS_SHOWN])
    faults = new_config.faults_of_fixed_names(old_config)
    if faults:
        return "; ".join(faults[:MAX_FAULTS_SHOWN])
    return "" if new_config.changes(old_config) else "its new settings change nothing"


def copy_path(config_path: Path) -> Path:
    """Where a target's configuration file of before is kept."""
    return config_path.with_name(config_path.name + ".before")
