"""The controller: runs a rollout to its end, from the phase that its journal has reached.

Every step reads the targets' state first and does only what is missing, so that it can be repeated after a
crash. Records that announce an action are on disk before the action begins. While no controller runs, targets
revert new settings by themselves when their trial time is over; processes of another program version continue
side by side. The phases and their transitions are in `rollout_state`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from quota_gateway.rollout.journal import Journal
from quota_gateway.rollout.journal_records import (
    Outcome,
    RolloutEnded,
    RolloutResumed,
    RolloutStarted,
    TargetChanged,
)
from quota_gateway.rollout.operator_commands import OperatorCommand
from quota_gateway.rollout.plan import Plan, PlanError, fingerprint
from quota_gateway.rollout.rollback import Rollback
from quota_gateway.rollout.rollout_context import BY_OPERATOR, RolloutContext
from quota_gateway.rollout.rollout_state import RolloutPhase
from quota_gateway.rollout.stage_runner import StageRunner


class Controller:
    """Runs one rollout."""

    def __init__(self, plan: Plan, journal: Journal) -> None:
        self.plan = plan
        self.context = RolloutContext(plan, journal)
        self.state = journal.state
        self.stage_runner = StageRunner(self.context)
        self.rollback = Rollback(self.context)
        self.phase_handlers: Mapping[RolloutPhase, Callable[[], Awaitable[None]]] = {
            RolloutPhase.MEASURING: self.stage_runner.measure,
            RolloutPhase.CHANGING: self.stage_runner.change,
            RolloutPhase.WATCHING: self.stage_runner.watch,
            RolloutPhase.CONFIRMING: self.stage_runner.confirm,
            RolloutPhase.HALTED: self._wait_for_operator,
            RolloutPhase.ROLLING_BACK: self.rollback.run,
            RolloutPhase.COMPLETING: self._complete,
        }

    async def run(self) -> str:
        """Run the rollout to its end.

        Returns:
            The outcome: ``done``, or a text that begins with ``back``.

        Raises:
            FencedError: another controller has taken over.
            PlanError: the plan can't be carried out; nothing more is changed.
            OSError: a file of the controller or of a target can't be used.
        """
        if self.state.phase is RolloutPhase.NOT_STARTED:
            await self._start()
        self._require_same_plan()
        while self.state.phase is not RolloutPhase.ENDED:
            await self.phase_handlers[self.state.phase]()
        return self.state.outcome

    async def _start(self) -> None:
        """Check everything that can be checked without a change, then record the start of the rollout."""
        # A rollout that may turn out unable to begin must not fence off the controller of another one.
        self.context.clients.sends_token = False
        checked = await self.context.strategy.check()
        self.context.clients.sends_token = True
        self.context.record(
            RolloutStarted(
                self.context.now_s(),
                plan=self.plan.name,
                fingerprint=fingerprint(self.plan),
                stages=self.plan.stages(),
                before=checked.before,
                after=checked.after,
            )
        )

    def _require_same_plan(self) -> None:
        started = self.context.strategy.started
        if started.fingerprint != fingerprint(self.plan):
            raise PlanError(f"the journal is of another plan, or the plan has changed since ({started.plan})")
        if self.state.outcome and self.context.strategy.is_outdated():
            raise PlanError("the rollout has ended, and the new settings changed since: name another journal")

    async def _complete(self) -> None:
        self.context.record(RolloutEnded(self.context.now_s(), Outcome.DONE.value))

    async def _wait_for_operator(self) -> None:
        """Poll for an operator's decision while the rollout is halted, and keep renewing the trials."""
        command = self.context.commands.take()
        if command is OperatorCommand.RESUME:
            await self._accept_restarts()
            self.context.record(RolloutResumed(self.context.now_s()))
        elif command is OperatorCommand.ROLL_BACK:
            self.context.start_rollback(BY_OPERATOR)
        else:
            stages = self.context.stages
            await self.context.trials.renew(stages[min(self.state.stage, len(stages) - 1)])
            await asyncio.sleep(self.plan.poll_interval_s)

    async def _accept_restarts(self) -> None:
        """Accept the new processes of changed targets that restarted: the operator has dealt with that."""
        metrics = self.context.metrics
        await metrics.read()
        for name, pid in list(self.state.changed_pids.items()):
            figures = metrics.latest.get(name)
            if figures and name not in metrics.unreachable_since_s and figures.pid != pid:
                self._record_process(name, figures.pid)

    def _record_process(self, name: str, pid: int) -> None:
        """Record a target's new process as `TargetChanged`: journals have no record of its own for that."""
        self.context.record(TargetChanged(self.context.now_s(), name, pid=pid))
