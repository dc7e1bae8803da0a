"""Runs commands of the platform and of program versions, with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from quota_gateway.rollout.program_output import last_line

MAX_MESSAGE_CHARACTERS = 300  # of a command's last line of output that are kept
NOT_FOUND_CODE = 127  # the exit codes that the shell and timeout(1) use
TIMEOUT_CODE = 124


@dataclass(frozen=True, slots=True)
class CommandResult:
    """A command's exit code and the last line that it printed on standard output or standard error.

    If it could not be started or timed out, the message says so.
    """

    exit_code: int
    message: str

    @property
    def succeeded(self) -> bool:
        """Whether the exit code is 0."""
        return self.exit_code == 0


async def run_command(words: Sequence[str], timeout_s: float, folder: Path | None = None) -> CommandResult:
    """Run a command to its end; kill it after the timeout, or when this coroutine is cancelled."""
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
        return CommandResult(TIMEOUT_CODE, f"{words[0]}: killed, as it did not end within {timeout_s:g} s")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    message = last_line(output.decode(errors="replace"))[:MAX_MESSAGE_CHARACTERS]
    return CommandResult(process.returncode or 0, message)
