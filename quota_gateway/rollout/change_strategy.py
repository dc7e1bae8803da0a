"""The interface of a kind of change to the controller: apply it, confirm it and roll it back.

Each step reads the target's state first and does only what is missing, so that the next controller can repeat
it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from pathlib import Path

from quota_gateway.config import MAX_FILE_BYTES, file_digest
from quota_gateway.errors import RolloutError
from quota_gateway.rollout.admin_clients import AdminClients, UnreachableError
from quota_gateway.rollout.journal_records import RolloutStarted
from quota_gateway.rollout.plan import Plan, PlanError, Target
from quota_gateway.rollout.rollout_state import RolloutState


class ChangeRejectedError(RolloutError):
    """A target rejects the change, or fails because of it; the whole rollout is rolled back."""


@dataclass(frozen=True, slots=True)
class CheckedTargets:
    """State of each target before the rollout, and as it is to be after it, by name; see `RolloutStarted`."""

    before: dict[str, str]
    after: dict[str, str]


class ChangeStrategy(ABC):
    """A kind of change. Reads the journal's state and does not modify it."""

    def __init__(self, plan: Plan, clients: AdminClients, state: RolloutState) -> None:
        self.plan = plan
        self.clients = clients
        self.state = state
        self.targets = {target.name: target for target in plan.targets}

    @property
    def started(self) -> RolloutStarted:
        """The record of the rollout's start; may be used only once it is written."""
        assert self.state.started
        return self.state.started

    def config_path(self, target: Target) -> Path:
        """A target's configuration file."""
        return self.plan.path(target.config_file, target.name)

    def read_file(self, path: str, target: str) -> bytes:
        """Read a target's file, by a path of the plan. Raises PlanError if it is unreadable or too large."""
        try:
            data = self.plan.path(path, target).read_bytes()
        except OSError as error:
            raise PlanError(f"{target}: {error}") from None
        if len(data) > MAX_FILE_BYTES:
            raise PlanError(f"{target}: {path}: file is larger than {MAX_FILE_BYTES} bytes")
        return data

    async def require_file_in_force(self, target: str) -> None:
        """Raises PlanError where a target uses another configuration than its file's, or one on trial."""
        expected = file_digest(self.read_file(self.targets[target].config_file, target))
        try:
            in_force = await self.clients.configuration(target)
        except UnreachableError as error:
            raise PlanError(f"a member's admin endpoint (door) gives no usable answer: {error}") from None
        if in_force.digest != expected or in_force.on_trial:
            raise PlanError(
                f"{target}: on trial, or configuration {in_force.digest} in force, not its file's {expected}"
            )

    @abstractmethod
    async def check(self) -> CheckedTargets:
        """Check everything that can be checked without changing a target. Raises PlanError."""

    @abstractmethod
    def is_outdated(self) -> bool:
        """Whether the files that the plan names are no longer those that the rollout began with."""

    @abstractmethod
    async def apply(self, target: str) -> int:
        """Change a target; return the id of its process after the change.

        Raises:
            ChangeRejectedError: it rejects the change.
            NotYetError: it is not changed yet.
        """

    @abstractmethod
    async def renew_trial(self, targets: list[str]) -> None:
        """Restart the targets' trial time, so that no trial ends while its stage is watched."""

    @abstractmethod
    async def failure_of(self, target: str) -> str:
        """Why a changed target that is unreachable is known to have failed; empty if it is not."""

    @abstractmethod
    async def confirm(self, target: str) -> bool:
        """Make the change permanent; false if the target has reverted by itself.

        Raises:
            ChangeRejectedError: the target has failed.
            NotYetError: the change is not confirmed yet.
        """

    @abstractmethod
    async def roll_back(self, target: str) -> None:
        """Restore a target to its state before the rollout. Raises NotYetError until that is done."""
