"""The trial of a new configuration, which is rolled back unless it is confirmed in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from functools import partial

from quota_gateway.state_machine import Transitions, transition

RETRY_INTERVAL_S = 1.0  # between attempts at a rollback that is not possible yet
TIMER_MARGIN_S = 0.1  # by which the event loop's timer may fire early


class ReloadState(Enum):
    """Whether the configuration in force is final or on trial."""

    STEADY = "steady"
    ON_TRIAL = "on trial"


# A trial is ended before another one replaces it, so ON_TRIAL has no transition to itself.
TRANSITIONS: Transitions[ReloadState] = {
    ReloadState.STEADY: frozenset({ReloadState.ON_TRIAL}),
    ReloadState.ON_TRIAL: frozenset({ReloadState.STEADY}),
}


class ConfigurationTrial:
    """State and timer of the trial; there is at most one at a time.

    ``roll_back`` is run when the trial's time is up. It returns false where it has to be run again, as a
    rollback is not possible while the next process of a hot restart serves in place of this one.
    """

    def __init__(self, roll_back: Callable[[], Coroutine[None, None, bool]]) -> None:
        self.state = ReloadState.STEADY
        self.ends_at_s = 0.0  # by the loop's clock
        self.rollback_task: asyncio.Task[bool] | None = None
        self._roll_back = roll_back
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._trial_number = 0  # of the present trial, or of the last one

    @property
    def active(self) -> bool:
        """Whether a configuration is on trial."""
        return self.state is ReloadState.ON_TRIAL

    def begin(self, duration_s: float) -> None:
        """Put the configuration in force on trial."""
        self.state = transition("reload", TRANSITIONS, self.state, ReloadState.ON_TRIAL)
        self._trial_number += 1
        self.ends_at_s = self._loop.time() + duration_s
        self._timer = self._loop.call_later(duration_s, self.expire)

    def end(self) -> None:
        """End the trial: the configuration in force stays. Does nothing without a trial."""
        if not self.active:
            return
        self.state = transition("reload", TRANSITIONS, self.state, ReloadState.STEADY)
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def remaining_s(self) -> float:
        """Time until the trial's end."""
        return max(0.0, self.ends_at_s - self._loop.time())

    def is_due(self) -> bool:
        """Whether the trial's time is up; false if it was confirmed or replaced meanwhile."""
        return self.active and self.ends_at_s <= self._loop.time() + TIMER_MARGIN_S

    def expire(self) -> None:
        """Start the rollback; called by the timer."""
        self.rollback_task = self._loop.create_task(self._roll_back(), name="roll back a trial")
        self.rollback_task.add_done_callback(partial(self._retry_unless_done, self._trial_number))

    def _retry_unless_done(self, trial_number: int, task: asyncio.Task[bool]) -> None:
        done = not task.cancelled() and not task.exception() and task.result()
        if not done and self.active and trial_number == self._trial_number:
            self._timer = self._loop.call_later(RETRY_INTERVAL_S, self.expire)
