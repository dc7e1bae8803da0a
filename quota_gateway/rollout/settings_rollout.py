"""Rolls out new configuration files; each is on trial until its stage is confirmed."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

from quota_gateway.config import file_digest
from quota_gateway.config import read as read_config
from quota_gateway.errors import ConfigurationError
from quota_gateway.rollout.admin_clients import UnreachableError
from quota_gateway.rollout.answers import NOT_DONE
from quota_gateway.rollout.atomic_file import replace_file
from quota_gateway.rollout.change_strategy import ChangeRejectedError, ChangeStrategy, CheckedTargets
from quota_gateway.rollout.plan import PlanError
from quota_gateway.rollout.retry import NotYetError

MAX_FAULTS_SHOWN = 3


class SettingsRollout(ChangeStrategy):
    """A new configuration file for each target.

    A gateway reverts by itself if its trial is neither renewed nor confirmed in time. A backup of the
    previous file is kept beside the file.
    """

    async def check(self) -> CheckedTargets:
        """Check every new file against the present one, and that each target uses its file."""
        before = {}
        after = {}
        for name, target in self.targets.items():
            old = self.read_file(target.config_file, name)
            new = self.read_file(self.plan.settings, name)
            fault = config_change_fault(old, new)
            if fault:
                raise PlanError(f"{name}: {fault}")
            before[name] = file_digest(old)
            after[name] = file_digest(new)
        for name in self.targets:
            await self.require_file_in_force(name)
        return CheckedTargets(before, after)

    def is_outdated(self) -> bool:
        """Whether a new file has changed since the rollout began."""
        return any(
            file_digest(self.read_file(self.plan.settings, name)) != digest
            for name, digest in self.started.after.items()
        )

    async def apply(self, target: str) -> int:
        """Write the new file and have the gateway load it on trial; see the base class."""
        digest = self.started.after[target]
        self._write_new_file(target, digest)
        answer = await self.clients.reload_on_trial(target, self.plan.trial_s)
        if not answer.accepted and not answer.text.startswith(NOT_DONE):
            raise ChangeRejectedError(f"{target}: {answer.text}")
        await self._require_in_force(target, digest)
        return (await self.clients.figures(target)).pid

    def _write_new_file(self, target: str, digest: str) -> None:
        config_path = self.config_path(self.targets[target])
        new = self.read_file(self.plan.settings, target)
        if file_digest(new) != digest:
            raise ChangeRejectedError(
                f"{target}: its new configuration file has changed since the rollout began"
            )
        old = config_path.read_bytes()
        if file_digest(old) == self.started.before[target]:
            replace_file(backup_path(config_path), old)
        if old != new:
            replace_file(config_path, new)

    async def _require_in_force(self, target: str, digest: str) -> None:
        in_force = await self.clients.configuration(target)
        if in_force.digest != digest:
            raise NotYetError(f"{target}: configuration {in_force.digest} is in force, want {digest}")

    async def renew_trial(self, targets: list[str]) -> None:
        """Restart the time of the trials that still run; an unreachable target is skipped."""
        for target in targets:
            with suppress(UnreachableError):
                if (await self.clients.configuration(target)).on_trial:
                    await self.clients.reload_on_trial(target, self.plan.trial_s)

    async def failure_of(self, target: str) -> str:  # noqa: ARG002 - of the base class
        """Always empty: a gateway that can't be reached may still work."""
        return ""

    async def confirm(self, target: str) -> bool:
        """Confirm the trial; false if it has ended and the target has reverted."""
        in_force = await self.clients.configuration(target)
        if in_force.digest != self.started.after[target]:
            return False
        if in_force.on_trial:
            answer = await self.clients.confirm_trial(target)
            if not answer.accepted:
                raise NotYetError(f"{target}: {answer.text}")
        return True

    async def roll_back(self, target: str) -> None:
        """Restore the previous file and have the gateway load it; see the base class."""
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
        """Restore the file from its backup, unless somebody else has written the file since."""
        config_path = self.config_path(self.targets[target])
        with suppress(FileNotFoundError):  # no backup: the file was not written yet
            old = backup_path(config_path).read_bytes()
            is_backup_valid = file_digest(old) == self.started.before[target]
            if is_backup_valid and file_digest(config_path.read_bytes()) == self.started.after[target]:
                replace_file(config_path, old)


def config_change_fault(old: bytes, new: bytes) -> str:
    """Why a gateway can't change from one configuration file to another; empty if it can."""
    try:
        old_config = read_config(old, {})
        new_config = read_config(new, {})
    except ConfigurationError as error:
        return "; ".join(error.faults[:MAX_FAULTS_SHOWN])
    faults = new_config.faults_of_fixed_names(old_config)
    if faults:
        return "; ".join(faults[:MAX_FAULTS_SHOWN])
    return "" if new_config.changes(old_config) else "its new configuration file changes no setting"


def backup_path(config_path: Path) -> Path:
    """Path of the backup of a target's previous configuration file."""
    return config_path.with_name(config_path.name + ".before")
