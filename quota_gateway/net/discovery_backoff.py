"""How long a gateway waits before it opens another watch on discovery."""

from __future__ import annotations

import random

from quota_gateway import api

# The platform expects a gateway to act on a change within 6 s, whether or not its watch was open.
MAX_SILENCE_S = 4.5  # an empty line comes every 2 s
SILENCE_JITTER_RATIO = 0.3  # gateways whose watches fell silent at once come back one by one
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
BACKOFF_JITTER_RATIO = 0.5
MAX_PUSHED_BACKOFF_S = 0.25  # the machine's own agent answers this gateway alone
MIN_BACKOFF_PER_GATEWAY_S = 0.05  # all gateways share what discovery can answer
MAX_BACKOFF_PER_GATEWAY_S = 0.2
POLL_CYCLE_S = 4.0  # from one call to the next
PROMPT_FAILURES = 8  # in a row, half a minute of them, until which the cycle is kept to
MAX_DOUBLINGS = 16


class WatchBackoff:
    """Exponential backoff with jitter, shared fairly among the gateways of a fleet."""

    def __init__(self, seed: int, gateways: int, mode: api.DiscoveryMode) -> None:
        self.failures = 0  # watches in a row that gave neither a list nor a heartbeat
        self._random = random.Random(seed)
        self.configure(gateways, mode)

    def configure(self, gateways: int, mode: api.DiscoveryMode) -> None:
        """Set how many gateways share discovery, or that an agent of this machine pushes its lists."""
        self.is_pushed = mode is api.DiscoveryMode.PUSH
        if self.is_pushed:
            self.min_s = MIN_BACKOFF_S
            self.max_s = MAX_PUSHED_BACKOFF_S
        else:
            self.min_s = max(MIN_BACKOFF_S, gateways * MIN_BACKOFF_PER_GATEWAY_S)
            self.max_s = max(MAX_BACKOFF_S, gateways * MAX_BACKOFF_PER_GATEWAY_S)

    def silence_limit_s(self) -> float:
        """How long the next silence may last before the watch counts as dead; drawn anew each time."""
        return MAX_SILENCE_S * (1.0 - SILENCE_JITTER_RATIO * self._random.random())

    def pause_s(self, fell_silent: bool = False, unanswered_s: float = 0.0) -> float:
        """The pause behind a watch that has ended, and was open for so long without any answer.

        Where an agent pushes lists, it says nothing while discovery is down, and a watch has to be open as it
        speaks again; opening one costs nobody else anything. Where lists are polled, the next poll has to be
        in time for the changes since the last one, however that ended.

        Guards against gateways that lose their watches at once and come back at once, and, as failures go
        on, against a discovery that is kept overloaded by polls alone: the more gateways, the rarer each
        one's.
        """
        backoff_s = min(self.max_s, self.min_s * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        if self.is_pushed or self.failures >= PROMPT_FAILURES:
            return self._with_jitter(backoff_s)
        if self.failures == 0 and fell_silent:  # its silence limit was drawn at random already
            return MIN_BACKOFF_S
        left_s = max(MIN_BACKOFF_S, POLL_CYCLE_S - unanswered_s)
        if self.failures == 0 and backoff_s > left_s:  # a large fleet: spread over the time that is left
            return left_s * self._random.random()
        return self._with_jitter(min(backoff_s, left_s))

    def _with_jitter(self, backoff_s: float) -> float:
        return backoff_s * (1.0 - BACKOFF_JITTER_RATIO * self._random.random())
