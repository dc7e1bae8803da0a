"""The platform that starts and ends a target's processes: commands of the plan, or of this machine."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from quota_gateway.rollout.command_runner import CommandResult, run_command
from quota_gateway.rollout.plan import Plan, ProgramChange, ProgramVersion, Target

COMMAND_TIMEOUT_S = 30.0  # to start or to end a process
LAUNCHER = (sys.executable, "-m", "quota_gateway.rollout.launcher")
LAUNCHER_SLOT = ("--door", "{door}", "--tmp", "{tmp}", "--token", "{token}")
LAUNCHER_PROCESS = (
    "--name",
    "{name}",
    "--folder",
    "{folder}",
    "--command",
    "{command}",
    "--config",
    "{config}",
)
LOCAL_START = (*LAUNCHER, "start", *LAUNCHER_SLOT, *LAUNCHER_PROCESS)
LOCAL_STOP = (*LAUNCHER, "stop", *LAUNCHER_SLOT)
STARTED = "started"  # printed by a start that found no process with this admin address


class PlatformCommands:
    """Runs the platform's commands. Each carries the token, so that an outdated controller moves nothing."""

    def __init__(self, plan: Plan, change: ProgramChange, token: int) -> None:
        self.plan = plan
        self.start_command = change.start or LOCAL_START
        self.stop_command = change.stop or LOCAL_STOP
        self.token = token

    async def start(self, target: Target, version: ProgramVersion, address: str) -> CommandResult:
        """Start a process of a version with this admin address, unless one with it lives."""
        return await self._run(self.start_command, target, version, address)

    async def stop(self, target: Target, version: ProgramVersion, address: str) -> CommandResult:
        """End the process with this admin address, if there is one."""
        return await self._run(self.stop_command, target, version, address)

    async def _run(
        self, command: Sequence[str], target: Target, version: ProgramVersion, address: str
    ) -> CommandResult:
        fields = {
            "name": target.name,
            "zone": target.zone,
            "door": address,
            "token": self.token,
            "config": self.plan.path(target.config_file, target.name),
            "tmp": self.plan.path(target.runtime_folder, target.name),
            "folder": self.plan.path(version.folder),
            "command": version.command,
        }
        return await run_command([word.format(**fields) for word in command], COMMAND_TIMEOUT_S)
