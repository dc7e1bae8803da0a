"""Repeats an attempt that can't succeed yet, with backoff."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from quota_gateway.errors import RolloutError

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 2.0
BACKOFF_FIXED_RATIO = 0.5  # the rest is drawn, so that targets are not called in step


class NotYetError(RolloutError):
    """A step at a target is not done yet; to be repeated from its beginning."""


async def retry_while_not_yet(attempt: Callable[[], Awaitable[None]], timeout_s: float) -> None:
    """Repeat an attempt with backoff while it raises NotYetError; the last attempt is at the end of the time.

    Raises:
        NotYetError: that of the last attempt, when the time is up.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    backoff_s = MIN_BACKOFF_S
    while True:
        try:
            await attempt()
            return
        except NotYetError:
            if loop.time() >= end_s:
                raise
        drawn_s = backoff_s * (BACKOFF_FIXED_RATIO + (1.0 - BACKOFF_FIXED_RATIO) * random.random())
        await asyncio.sleep(max(0.0, min(drawn_s, end_s - loop.time())))
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * backoff_s)
