"""Retries a step at a target with backoff while it is not done yet."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from quota_gateway.errors import RolloutError

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 2.0
BACKOFF_FIXED_RATIO = 0.5  # the rest is random, so that targets are not called in lockstep


class NotYetError(RolloutError):
    """A step at a target is not done yet; it must be repeated from its beginning."""


async def retry_while_not_yet(attempt: Callable[[], Awaitable[None]], timeout_s: float) -> None:
    """Retry an attempt with backoff while it raises NotYetError; the last attempt is made at the timeout.

    Raises:
        NotYetError: the error of the last attempt.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    backoff_s = MIN_BACKOFF_S
    while True:
        try:
            await attempt()
            return
        except NotYetError:
            if loop.time() >= deadline_s:
                raise
        delay_s = backoff_s * (BACKOFF_FIXED_RATIO + (1.0 - BACKOFF_FIXED_RATIO) * random.random())
        await asyncio.sleep(max(0.0, min(delay_s, deadline_s - loop.time())))
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * backoff_s)
