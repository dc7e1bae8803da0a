"""Runs the phases of a stage: baseline, change, watch and confirmation."""

from __future__ import annotations

import asyncio

from quota_gateway.rollout.canary_analysis import (
    BASELINE_GROWTH_RATIO,
    Baseline,
    CanaryAnalysis,
    CanaryResult,
    Verdict,
    measure_baseline,
)
from quota_gateway.rollout.change_strategy import ChangeRejectedError
from quota_gateway.rollout.figures import FiguresWindow
from quota_gateway.rollout.journal_records import (
    BaselineMeasured,
    StageConfirmed,
    StagePassed,
    TargetChanged,
    TargetChanging,
)
from quota_gateway.rollout.retry import NotYetError, retry_while_not_yet
from quota_gateway.rollout.rollout_context import RolloutContext
from quota_gateway.rollout.rollout_log import log_result, log_target_reverted
from quota_gateway.rollout.target_checks import TargetChecks


class StageRunner:
    """Runs the phases of the current stage; each ends with a journal record that decides the next phase."""

    def __init__(self, context: RolloutContext) -> None:
        self.context = context
        self.plan = context.plan
        self.state = context.state
        self.metrics = context.metrics
        self.checks = TargetChecks(context)

    @property
    def _targets(self) -> list[str]:
        """The current stage's targets."""
        return self.context.stages[self.state.stage]

    def _canary_targets(self) -> set[str]:
        """The canary targets, which are compared with the others.

        These are all changed targets, as harm may show late. Once every target is changed, only this stage's
        are compared, with those of the stages before.
        """
        changed = {name for targets in self.context.stages[: self.state.stage + 1] for name in targets}
        return changed if len(changed) < len(self.context.targets) else set(self._targets)

    def _analysis(self, baseline: Baseline) -> CanaryAnalysis:
        return CanaryAnalysis(
            self._canary_targets(),
            baseline,
            self.plan.limits,
            len(self.context.stages),
            self.plan.min_requests,
        )

    # ---- Baseline

    async def measure(self) -> None:
        """Measure the baseline until it is sufficient (at least `watch_s`, at most `max_watch_s`)."""
        stage = self.state.stage
        windows: dict[str, list[FiguresWindow]] = {name: [] for name in self.context.targets}
        await self.metrics.read()
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        next_check_s = self.plan.watch_s
        while True:
            measured_s = loop.time() - started_at_s
            if measured_s >= next_check_s:
                baseline = measure_baseline(self._canary_targets(), windows)
                is_sufficient = self._analysis(baseline).is_baseline_sufficient()
                if measured_s >= self.plan.max_watch_s or is_sufficient:
                    break
                next_check_s = min(BASELINE_GROWTH_RATIO * measured_s, self.plan.max_watch_s)
            if self.context.handle_operator_command():
                return
            await asyncio.sleep(self.plan.poll_interval_s)
            for name, window in (await self.metrics.read()).items():
                windows[name].append(window)
        self.context.record(BaselineMeasured(self.context.now_s(), stage, baseline))

    # ---- Change

    async def change(self) -> None:
        """Change the targets that are not changed yet.

        Begins the rollback where a target rejects the change; halts where one is not changed in time.
        """
        missing = [name for name in self._targets if name not in self.state.changed_pids]
        try:
            await self.context.step_runner.run(missing, self._change_target)
        except ChangeRejectedError as error:
            self.context.start_rollback(str(error))
        except NotYetError as error:
            self.context.halt(f"a member can't be changed in time: {error}")

    async def _change_target(self, name: str) -> None:
        if name not in self.state.attempted_targets:
            self.context.record(TargetChanging(self.context.now_s(), name))

        async def apply() -> None:
            pid = await self.context.strategy.apply(name)
            self.context.record(TargetChanged(self.context.now_s(), name, pid=pid))

        await retry_while_not_yet(apply, self.plan.target_timeout_s)

    # ---- Watch

    async def watch(self) -> None:
        """Poll all targets until the stage passes, does worse, or has no verdict in time."""
        stage = self.state.stage
        analysis = self._analysis(self.state.baselines[stage])
        await self.metrics.begin_watch()
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        while not self.state.has_passed(stage) and not self.context.handle_operator_command():
            await asyncio.sleep(self.plan.poll_interval_s)
            windows = await self.metrics.read()
            if loop.time() - started_at_s >= self.plan.settle_s:
                for name, window in windows.items():
                    analysis.add(name, window)
            await self.context.trials.renew(self._targets)
            result = await self.checks.evaluate(self._canary_targets()) or analysis.evaluate()
            self._act_on(result, loop.time() - started_at_s - self.plan.settle_s)

    def _act_on(self, result: CanaryResult, watched_s: float) -> None:
        """Record the decision that a result leads to, if it leads to one yet."""
        stage = self.state.stage
        if result.verdict is Verdict.WORSE:
            log_result("worse", stage, result)
            self.context.start_rollback(f"stage {stage}: {result.reason}")
        elif result.verdict is Verdict.COMMON_FAULT:
            log_result("trouble", stage, result)
            self.context.halt(f"the cause may be common to all members, or an earlier stage: {result.reason}")
        elif result.verdict is Verdict.PASSED and watched_s >= self.plan.watch_s:
            self.context.record(StagePassed(self.context.now_s(), stage, result.reason))
        elif watched_s >= self.plan.max_watch_s:
            self.context.halt(f"no verdict on the stage within longest_watch_s: {result.reason}")

    # ---- Confirmation

    async def confirm(self) -> None:
        """Make the change permanent at every target; one that has reverted by itself is changed again."""
        stage = self.state.stage
        reverted_targets: list[str] = []

        async def confirm_target(name: str) -> None:
            async def confirm() -> None:
                if not await self.context.strategy.confirm(name):
                    reverted_targets.append(name)

            await retry_while_not_yet(confirm, self.plan.target_timeout_s)

        try:
            await self.context.step_runner.run(self._targets, confirm_target)
        except ChangeRejectedError as error:
            self.context.start_rollback(str(error))
            return
        except NotYetError as error:
            self.context.halt(f"a member does not confirm the change in time: {error}")
            return
        for name in reverted_targets:
            self._record_reverted(name)
        if not reverted_targets:
            self.context.record(StageConfirmed(self.context.now_s(), stage))

    def _record_reverted(self, name: str) -> None:
        """Record that a target's change begins again, which makes the stage's phase `CHANGING`."""
        log_target_reverted(name)
        self.context.record(TargetChanging(self.context.now_s(), name))
