"""What versions of the program say about themselves, and whether one can follow the other."""

from __future__ import annotations

import shlex
from pathlib import Path

import msgspec
from msgspec import Struct

from quota_gateway.rollout.command_runner import CommandResult, run_command
from quota_gateway.rollout.plan import Plan, PlanError, ProgramVersion

COMMAND_TIMEOUT_S = 20.0  # for ``--about``, and to check a configuration file


class VersionInfo(Struct, frozen=True, rename={"hot_restart_protocol": "handover", "knows_retire": "retire"}):
    """What ``--about`` prints; the defaults are those of versions that do not know it.

    Attributes:
        hot_restart_protocol: versions with the same one can take over from each other.
        knows_retire: whether it can be asked to end its predecessor.
    """

    hot_restart_protocol: int = 1
    knows_retire: bool = False


class VersionCheck:
    """Asks the versions of a plan by their own commands."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan

    async def require_compatible(self, before: ProgramVersion, after: ProgramVersion) -> None:
        """Raises PlanError where one version can't follow the other and be rolled back."""
        known_before = await self._info(before)
        known_after = await self._info(after)
        protocols = known_before.hot_restart_protocol, known_after.hot_restart_protocol
        if protocols[0] != protocols[1]:
            raise PlanError(f"versions too far apart: handover {protocols[0]} and {protocols[1]}")
        if not (known_before.knows_retire or known_after.knows_retire):
            raise PlanError("neither version knows RETIRE: upgrade by hand once")

    async def require_accepted(self, target: str, version: ProgramVersion, config_path: Path) -> None:
        """Raises PlanError where a version rejects a target's configuration file."""
        result = await self._run(version, f"--check {shlex.quote(str(config_path))}")
        if not result.succeeded:
            raise PlanError(f"{target}: the next version refuses its configuration: {result.message}")

    async def _info(self, version: ProgramVersion) -> VersionInfo:
        if not self.plan.path(version.folder).is_dir():
            raise PlanError(f"{version.folder}: no folder")
        result = await self._run(version, "--about")
        if not result.succeeded and "usage" not in result.message:
            raise PlanError(f"{version.folder}: does not start: {result.message}")
        if not result.succeeded:
            return VersionInfo()
        try:
            return msgspec.json.decode(result.message, type=VersionInfo)
        except msgspec.ValidationError as error:
            raise PlanError(f"{version.folder}: --about can't be used: {error}") from None
        except msgspec.DecodeError:  # no JSON: a version without --about that prints something else
            return VersionInfo()

    async def _run(self, version: ProgramVersion, arguments: str) -> CommandResult:
        """Run a version's command with other arguments."""
        words = ["/bin/sh", "-c", f"{version.command} {arguments}"]
        return await run_command(words, COMMAND_TIMEOUT_S, self.plan.path(version.folder))
