"""Checks of the judged targets that need no statistics: a restart, memory, unreachability."""

from __future__ import annotations

import asyncio
from collections.abc import Set

from quota_gateway.rollout.canary_analysis import CanaryResult, Verdict
from quota_gateway.rollout.rollout_context import RolloutContext

KIB_PER_MIB = 1024.0


class TargetChecks:
    """The checks, made at every poll of a stage's watch."""

    def __init__(self, context: RolloutContext) -> None:
        self.context = context
        self.metrics = context.metrics

    async def evaluate(self, judged: Set[str]) -> CanaryResult | None:
        """What the checks find about the judged targets; nothing where the canary analysis is to decide."""
        return (
            await self._check_processes(judged)
            or self._check_memory(judged)
            or self._check_reachability(judged)
        )

    async def _check_processes(self, judged: Set[str]) -> CanaryResult | None:
        """Blame the change for a restart or a failure, unless unchanged targets went at the same time.

        A machine or a zone that goes takes unchanged targets, too: that is not the change's fault.
        """
        restarted = self._restarted_pids()
        unreachable = self.metrics.unreachable_since_s.keys()
        reason = next(
            (
                f"{name} has started anew, as process {restarted[name]}"
                for name in sorted(restarted.keys() & judged)
            ),
            "",
        )
        for name in sorted(unreachable & judged):
            reason = reason or await self.context.strategy.failure_of(name)
        if not reason:
            return None
        others = sorted((restarted.keys() | unreachable) - judged)
        if others:
            return CanaryResult(Verdict.COMMON_FAULT, f"{reason}; {', '.join(others)} went, too, unchanged")
        return CanaryResult(Verdict.WORSE, reason)

    def _restarted_pids(self) -> dict[str, int]:
        """By target that is no longer the process that it was, its present process."""
        found = {}
        for name, figures in self.metrics.latest.items():
            expected = self.context.state.changed_pids.get(name) or self.metrics.pid_at_first(name)
            if figures.pid != expected:
                found[name] = figures.pid
        return found

    def _check_memory(self, judged: Set[str]) -> CanaryResult | None:
        growth_kib = self.metrics.peak_memory_growth_kib()
        others_kib = max((kib for name, kib in growth_kib.items() if name not in judged), default=0)
        limit_kib = KIB_PER_MIB * self.context.plan.limits.memory_mb
        for name in sorted(growth_kib.keys() & judged):
            if growth_kib[name] - others_kib > limit_kib:
                reason = f"{name} takes {growth_kib[name]} KiB more, others {others_kib} at most"
                return CanaryResult(Verdict.WORSE, reason)
        return None

    def _check_reachability(self, judged: Set[str]) -> CanaryResult | None:
        now_s = asyncio.get_running_loop().time()
        for name in sorted(judged):
            unreachable_s = now_s - self.metrics.unreachable_since_s.get(name, now_s)
            if unreachable_s > self.context.plan.target_timeout_s:
                return CanaryResult(Verdict.COMMON_FAULT, f"{name} can't be reached")
        return None
