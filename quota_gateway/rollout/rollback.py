"""Rolls back all targets that a rollout has changed."""

from __future__ import annotations

from quota_gateway.rollout.journal_records import Outcome, RolloutEnded, TargetChanged, TargetChanging
from quota_gateway.rollout.retry import NotYetError, retry_while_not_yet
from quota_gateway.rollout.rollout_context import RolloutContext
from quota_gateway.rollout.rollout_log import log_rollback_given_up
from quota_gateway.rollout.rollout_state import RollbackResult


class Rollback:
    """The rollback, from the last changed target to the first.

    A target that can't be rolled back in time is given up; the outcome names it.
    """

    def __init__(self, context: RolloutContext) -> None:
        self.context = context
        self.state = context.state

    async def run(self) -> None:
        """Roll back the targets that are not rolled back yet, and record the end of the rollout."""
        remaining = [
            name for name in reversed(self.state.attempted_targets) if name not in self.state.rollback_results
        ]
        await self.context.step_runner.run(remaining, self._roll_back_target)
        outcome = Outcome.ROLLED_BACK.value
        results = self.state.rollback_results
        given_up = sorted(name for name, result in results.items() if result is RollbackResult.GIVEN_UP)
        if given_up:
            outcome += f", given up: {', '.join(given_up)}"
        self.context.record(RolloutEnded(self.context.now_s(), outcome))

    async def _roll_back_target(self, name: str) -> None:
        if name not in self.state.rollback_started:
            self.context.record(TargetChanging(self.context.now_s(), name, rollback=True))
        given_up = False
        try:
            await retry_while_not_yet(
                lambda: self.context.strategy.roll_back(name), self.context.plan.max_watch_s
            )
        except NotYetError as error:
            log_rollback_given_up(name, str(error))
            given_up = True
        self.context.record(TargetChanged(self.context.now_s(), name, rollback=True, given_up=given_up))
