"""Renews the trials of changed targets while a stage is watched or the rollout is halted."""

from __future__ import annotations

import asyncio

from quota_gateway.rollout.change_strategy import ChangeStrategy

RENEWALS_PER_TRIAL = 3  # so that a failed renewal is followed by another before the trial ends


class TrialRenewal:
    """Renews each trial several times before its time is up, so that none ends by itself."""

    def __init__(self, strategy: ChangeStrategy, trial_s: float) -> None:
        self.strategy = strategy
        self.interval_s = trial_s / RENEWALS_PER_TRIAL
        self.renewed_at_s = 0.0  # by the event loop's clock

    async def renew(self, targets: list[str]) -> None:
        """Renew the targets' trials if the renewal interval has passed."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self.renewed_at_s < self.interval_s:
            return
        self.renewed_at_s = now_s
        await self.strategy.renew_trial(targets)
