"""Commands that operators leave for a running controller, in a file beside the journal."""

from __future__ import annotations

from enum import StrEnum

from quota_gateway.rollout.atomic_file import replace_file
from quota_gateway.rollout.plan import Plan


class OperatorCommand(StrEnum):
    """What the controller is asked to do; the values stand in the file and are names of shell commands."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"


class OperatorCommandFile:
    """The file, which holds the latest command that was not carried out yet."""

    def __init__(self, plan: Plan) -> None:
        journal = plan.path(plan.journal)
        self.path = journal.with_name(journal.name + ".wish")

    def leave(self, command: OperatorCommand) -> None:
        """Leave a command in place of an earlier one. Raises OSError."""
        replace_file(self.path, command.encode())

    def take(self) -> OperatorCommand | None:
        """The command, once; none if there is none, or no known one."""
        try:
            word = self.path.read_text().strip()
            self.path.unlink()
        except OSError:
            return None
        return OperatorCommand(word) if word in set(OperatorCommand) else None
