"""Runs a step of a rollout at many targets, some of them concurrently."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from quota_gateway.rollout.concurrency_rule import ConcurrencyRule

START_DELAY_RATIO = 0.2  # of the poll interval: maximum delay between two targets' starts

Step = Callable[[str], Coroutine[None, None, None]]


class StepRunner:
    """Runs steps at targets, as many concurrently as the plan allows."""

    def __init__(self, rule: ConcurrencyRule, poll_interval_s: float) -> None:
        self.rule = rule
        self.poll_interval_s = poll_interval_s

    async def run(self, targets: Sequence[str], step: Step) -> None:
        """Run a step at each target.

        If a step fails, no more are started; those that run are awaited, then the first error is raised. A
        target whose step is being repeated counts as running, and others go on as far as the rule allows.
        """
        waiting = list(targets)
        running = dict[asyncio.Task[None], str]()
        error: BaseException | None = None
        while running or (waiting and not error):
            if not error:
                await self._start_steps(waiting, running, step)
            done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                del running[task]
                error = error or task.exception()
        if error:
            raise error

    async def _start_steps(
        self, waiting: list[str], running: dict[asyncio.Task[None], str], step: Step
    ) -> None:
        for name in self.rule.next_to_change(waiting, set(running.values())):
            waiting.remove(name)
            running[asyncio.get_running_loop().create_task(step(name))] = name
            await asyncio.sleep(self.poll_interval_s * START_DELAY_RATIO * random.random())
