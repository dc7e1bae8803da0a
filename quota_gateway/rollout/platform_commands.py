"""Runs the commands that start and stop a target's processes: those of the plan, or the local launcher."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from quota_gateway.rollout.command_runner import CommandResult, run_command
from quota_gateway.rollout.plan import Plan, ProgramChange, ProgramVersion, Target

COMMAND_TIMEOUT_S = 30.0  # for one start or stop command
LAUNCHER = (sys.executable, "-m", "quota_gateway.rollout.launcher")
LAUNCHER_ADDRESS_OPTIONS = ("--door", "{door}", "--tmp", "{tmp}", "--token", "{token}")
LAUNCHER_PROCESS_OPTIONS = (
    "--name",
    "{name}",
    "--folder",
    "{folder}",
    "--command",
    "{command}",
    "--config",
    "{config}",
)
LOCAL_START = (*LAUNCHER, "start", *LAUNCHER_ADDRESS_OPTIONS, *LAUNCHER_PROCESS_OPTIONS)
LOCAL_STOP = (*LAUNCHER, "stop", *LAUNCHER_ADDRESS_OPTIONS)


class PlatformFields(NamedTuple):
    """Fields that the words of the platform's commands may contain in braces, such as ``{name}``.

    The names are those that plans use; see docs/on-call.md.

    Attributes:
        name: the target's name.
        zone: the target's zone.
        door: address of the process's admin endpoint.
        token: the controller's token.
        config: the target's configuration file.
        tmp: the TMPDIR that both processes of the target share.
        folder: folder of the program version.
        command: shell command of the program version.
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
    """Runs the platform's commands.

    Each gets the controller's token, so that the platform can reject an outdated controller.
    """

    def __init__(self, plan: Plan, change: ProgramChange, token: int) -> None:
        self.plan = plan
        self.start_command = change.start or LOCAL_START
        self.stop_command = change.stop or LOCAL_STOP
        self.token = token

    async def start(self, target: Target, version: ProgramVersion, address: str) -> CommandResult:
        """Start a process of a version with this admin address, unless a process with it lives."""
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
