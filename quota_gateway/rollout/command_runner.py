"""Runs commands of the platform and of a version of the program, bounded in time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from quota_gateway.rollout.program_output import last_line

MAX_MESSAGE_CHARACTERS = 300  # of what a command says that are passed on
NOT_FOUND_CODE = 127  # exit codes as the shell and timeout(1) have them
TIMEOUT_CODE = 124


@dataclass(frozen=True, slots=True)
class CommandResult:
    """A command's exit code, and the last line that it printed on either stream."""

    exit_code: int
    message: str

    @property
    def succeeded(self) -> bool:
        """Whether it ended with 0."""
        return self.exit_code == 0


async def run_command(words: Sequence[str], timeout_s: float, folder: Path | None = None) -> CommandResult:
    """Run a command to its end; it is killed when its time is up, or when this is cancelled."""
    try:
        process = await asyncio.create_subprocess_exec(
            *words,
            cwd=folder,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
    except OSError as error:
        return CommandResult(NOT_FOUND_CODE, str(error))
    try:
        async with asyncio.timeout(timeout_s):
            output, _ = await process.communicate()
    except TimeoutError:
        return CommandResult(TIMEOUT_CODE, f"{words[0]}: nothing within {timeout_s:g} s")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    message = last_line(output.decode(errors="replace"))[:MAX_MESSAGE_CHARACTERS]
    return CommandResult(process.returncode or 0, message)
