"""Passes commands of operators to the running controller, in a file beside the journal."""

from __future__ import annotations

from enum import StrEnum

from quota_gateway.rollout.atomic_file import replace_file
from quota_gateway.rollout.plan import Plan


class OperatorCommand(StrEnum):
    """What the controller is asked to do; the values are written to the file and name the shell commands."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"


class OperatorCommandFile:
    """The command file: it contains the latest command that the controller has not taken yet."""

    def __init__(self, plan: Plan) -> None:
        journal = plan.path(plan.journal)
        self.path = journal.with_name(journal.name + ".wish")

    def write(self, command: OperatorCommand) -> None:
        """Write a command, in place of one that was not taken yet. Raises OSError."""
        replace_file(self.path, command.encode())

    def take(self) -> OperatorCommand | None:
        """Remove the command from the file and return it; None if there is no command or an unknown one."""
        try:
            word = self.path.read_text().strip()
            self.path.unlink()
        except OSError:
            return None
        return OperatorCommand(word) if word in set(OperatorCommand) else None
