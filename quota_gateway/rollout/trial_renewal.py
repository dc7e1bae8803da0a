"""Renews the trials of changed targets while a stage is watched."""

from __future__ import annotations

import asyncio

from quota_gateway.rollout.change_strategy import ChangeStrategy

RENEWALS = 3  # within a trial's time, so that one that fails is followed by another in time


class TrialRenewal:
    """Renews trials now and then, so that none ends while its stage is watched."""

    def __init__(self, strategy: ChangeStrategy, trial_s: float) -> None:
        self.strategy = strategy
        self.interval_s = trial_s / RENEWALS
        self.renewed_at_s = 0.0  # by the event loop's clock

    async def renew(self, targets: list[str]) -> None:
        """Renew the targets' trials if it is time to."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self.renewed_at_s < self.interval_s:
            return
        self.renewed_at_s = now_s
        await self.strategy.renew_trial(targets)
