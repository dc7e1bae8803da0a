"""The platform that starts and ends a target's processes: commands of the plan, or of this machine."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

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


class PlatformFields(NamedTuple):
    """What may stand in braces in the platform's commands, by the names that plans use; see docs/on-call.md.

    Attributes:
        name: the target's.
        zone: the target's.
        door: address of the process's admin endpoint.
        token: the controller's.
        config: the target's configuration file.
        tmp: the TMPDIR that both processes of the target share.
        folder: of the version.
        command: of the version.
    """

    name: str
    zone: str
    door: str
    token: int
    config: Path
    tmp: Path
    folder: Path
    command: str


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
        fields = PlatformFields(
            name=target.name,
            zone=target.zone,
            door=address,
            token=self.token,
            config=self.plan.path(target.config_file, target.name),
            tmp=self.plan.path(target.runtime_folder, target.name),
            folder=self.plan.path(version.folder),
            command=version.command,
        )
        words = [word.format(**fields._asdict()) for word in command]
        return await run_command(words, COMMAND_TIMEOUT_S)
