"""What the controller needs of a kind of change: to apply it, to confirm it, and to roll it back.

Each step looks first and does what is missing, so that the next controller can repeat it.
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
    """A target rejects the change itself, or fails under it; everything is rolled back."""


@dataclass(frozen=True, slots=True)
class CheckedTargets:
    """What each target has before the rollout and is to have after it, by name; see `RolloutStarted`."""

    before: dict[str, str]
    after: dict[str, str]


class ChangeStrategy(ABC):
    """A kind of change. The state is the journal's, and only read here."""

    def __init__(self, plan: Plan, clients: AdminClients, state: RolloutState) -> None:
        self.plan = plan
        self.clients = clients
        self.state = state
        self.targets = {target.name: target for target in plan.targets}

    @property
    def started(self) -> RolloutStarted:
        """What was checked at the beginning; asked for only after it."""
        assert self.state.started
        return self.state.started

    def config_path(self, target: Target) -> Path:
        """A target's configuration file."""
        return self.plan.path(target.config_file, target.name)

    def read_file(self, path: str, target: str) -> bytes:
        """A target's file, by a path of the plan. Raises PlanError."""
        try:
            data = self.plan.path(path, target).read_bytes()
        except OSError as error:
            raise PlanError(f"{target}: {error}") from None
        if len(data) > MAX_FILE_BYTES:
            raise PlanError(f"{target}: {path}: more than {MAX_FILE_BYTES} bytes")
        return data

    async def require_file_in_force(self, target: str) -> None:
        """Raises PlanError where a target goes by another configuration than its file, or by one on trial."""
        expected = file_digest(self.read_file(self.targets[target].config_file, target))
        try:
            in_force = await self.clients.configuration(target)
        except UnreachableError as error:
            raise PlanError(f"a door does not answer: {error}") from None
        if in_force.digest != expected or in_force.on_trial:
            raise PlanError(f"{target} is on trial, or goes by {in_force.digest} and not by {expected}")

    @abstractmethod
    async def check(self) -> CheckedTargets:
        """Check everything that can be checked without touching anything. Raises PlanError."""

    @abstractmethod
    def is_outdated(self) -> bool:
        """Whether the files that the plan names are no longer those that the rollout began with."""

    @abstractmethod
    async def apply(self, target: str) -> int:
        """Change a target; its process id then.

        Raises:
            ChangeRejectedError: it rejects the change.
            NotYetError: not changed yet.
        """

    @abstractmethod
    async def renew_trial(self, targets: list[str]) -> None:
        """Extend the trial while the stage is watched."""

    @abstractmethod
    async def failure_of(self, target: str) -> str:
        """Why a changed target that is unreachable is known to have failed; empty if it is not."""

    @abstractmethod
    async def confirm(self, target: str) -> bool:
        """Make the change permanent; false if the target went back by itself.

        Raises:
            ChangeRejectedError: it has failed.
            NotYetError: not confirmed yet.
        """

    @abstractmethod
    async def roll_back(self, target: str) -> None:
        """Make a target as it was before. Raises NotYetError until it is."""
