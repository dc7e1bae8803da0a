"""Checks whether two program versions can take over from each other and accept the targets' configuration."""

from __future__ import annotations

import shlex
from pathlib import Path

import msgspec
from msgspec import Struct

from quota_gateway.rollout.command_runner import CommandResult, run_command
from quota_gateway.rollout.plan import Plan, PlanError, ProgramVersion

COMMAND_TIMEOUT_S = 20.0  # for ``--about``, and to check a configuration file


class VersionInfo(Struct, frozen=True, rename={"hot_restart_protocol": "handover", "knows_retire": "retire"}):
    """What a version prints for ``--about``; the defaults apply to versions that do not know that option.

    Attributes:
        hot_restart_protocol: number of the protocol; versions with the same one can take over from each
            other.
        knows_retire: whether the version knows the admin command RETIRE, which ends its predecessor.
    """

    hot_restart_protocol: int = 1
    knows_retire: bool = False


class VersionCheck:
    """Checks the versions of a plan by running their own commands."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan

    async def require_compatible(self, before: ProgramVersion, after: ProgramVersion) -> None:
        """Raises PlanError if the versions can't take over from each other, in either direction."""
        info_before = await self._version_info(before)
        info_after = await self._version_info(after)
        protocols = info_before.hot_restart_protocol, info_after.hot_restart_protocol
        if protocols[0] != protocols[1]:
            raise PlanError(
                f"versions have different hot restart protocols: {protocols[0]} and {protocols[1]}"
            )
        if not (info_before.knows_retire or info_after.knows_retire):
            raise PlanError("neither version knows the admin command RETIRE: upgrade by hand once")

    async def require_accepted(self, target: str, version: ProgramVersion, config_path: Path) -> None:
        """Raises PlanError if a version rejects a target's configuration file."""
        result = await self._run(version, f"--check {shlex.quote(str(config_path))}")
        if not result.succeeded:
            raise PlanError(f"{target}: the new version rejects its configuration file: {result.message}")

    async def _version_info(self, version: ProgramVersion) -> VersionInfo:
        if not self.plan.path(version.folder).is_dir():
            raise PlanError(f"{version.folder}: folder of a program version not found")
        result = await self._run(version, "--about")
        if not result.succeeded and "usage" not in result.message:
            raise PlanError(f"{version.folder}: running --about failed: {result.message}")
        if not result.succeeded:
            return VersionInfo()
        try:
            return msgspec.json.decode(result.message, type=VersionInfo)
        except msgspec.ValidationError as error:
            raise PlanError(f"{version.folder}: invalid output of --about: {error}") from None
        except msgspec.DecodeError:  # not JSON: a version without --about prints something else
            return VersionInfo()

    async def _run(self, version: ProgramVersion, arguments: str) -> CommandResult:
        """Run a version's command in its folder, with arguments added."""
        words = ["/bin/sh", "-c", f"{version.command} {arguments}"]
        return await run_command(words, COMMAND_TIMEOUT_S, self.plan.path(version.folder))
