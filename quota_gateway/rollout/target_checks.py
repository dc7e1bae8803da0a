"""Checks canary targets for restarts, memory growth and unreachability, which need no statistics."""

from __future__ import annotations

import asyncio
from collections.abc import Set

from quota_gateway.rollout.canary_analysis import CanaryResult, Verdict
from quota_gateway.rollout.rollout_context import RolloutContext

KIB_PER_MIB = 1024.0


class TargetChecks:
    """Runs the checks; called at every poll while a stage is watched."""

    def __init__(self, context: RolloutContext) -> None:
        self.context = context
        self.metrics = context.metrics

    async def evaluate(self, canary: Set[str]) -> CanaryResult | None:
        """Check the canary targets; None if nothing was found and the canary analysis is to decide."""
        return (
            await self._check_processes(canary)
            or self._check_memory(canary)
            or self._check_reachability(canary)
        )

    async def _check_processes(self, canary: Set[str]) -> CanaryResult | None:
        """Attribute a restart or a failure to the change, unless other targets fail at the same time.

        The failure of a machine or a zone affects other targets, too, and is not caused by the change.
        """
        restarted = self._restarted_pids()
        unreachable = self.metrics.unreachable_since_s.keys()
        reason = next(
            (
                f"{name} was restarted and is now process {restarted[name]}"
                for name in sorted(restarted.keys() & canary)
            ),
            "",
        )
        for name in sorted(unreachable & canary):
            reason = reason or await self.context.strategy.failure_of(name)
        if not reason:
            return None
        others = sorted((restarted.keys() | unreachable) - canary)
        if others:
            return CanaryResult(
                Verdict.COMMON_FAULT,
                f"{reason}; {', '.join(others)} failed, too, outside the canary group",
            )
        return CanaryResult(Verdict.WORSE, reason)

    def _restarted_pids(self) -> dict[str, int]:
        """Process ids of the targets that were restarted since they were changed or the watch began."""
        found = {}
        for name, figures in self.metrics.latest.items():
            expected = self.context.state.changed_pids.get(name) or self.metrics.pid_at_watch_start(name)
            if figures.pid != expected:
                found[name] = figures.pid
        return found

    def _check_memory(self, canary: Set[str]) -> CanaryResult | None:
        growth_kib = self.metrics.peak_memory_growth_kib()
        control_kib = max((kib for name, kib in growth_kib.items() if name not in canary), default=0)
        limit_kib = KIB_PER_MIB * self.context.plan.limits.memory_mb
        for name in sorted(growth_kib.keys() & canary):
            if growth_kib[name] - control_kib > limit_kib:
                reason = (
                    f"{name}: peak memory grew by {growth_kib[name]} KiB, of others by {control_kib} at most"
                )
                return CanaryResult(Verdict.WORSE, reason)
        return None

    def _check_reachability(self, canary: Set[str]) -> CanaryResult | None:
        now_s = asyncio.get_running_loop().time()
        for name in sorted(canary):
            unreachable_s = now_s - self.metrics.unreachable_since_s.get(name, now_s)
            if unreachable_s > self.context.plan.target_timeout_s:
                return CanaryResult(Verdict.COMMON_FAULT, f"{name}: admin endpoint can't be reached")
        return None
