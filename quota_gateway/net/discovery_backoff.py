"""Delay before a gateway reopens its watch on discovery."""

from __future__ import annotations

import random

from quota_gateway import api

# The platform expects a gateway to act on a change within 6 s, whether or not its watch was open.
MAX_SILENCE_S = 4.5  # discovery sends an empty line as heartbeat every 2 s
SILENCE_JITTER_RATIO = 0.3  # spreads the reconnects of gateways whose watches fell silent together
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
BACKOFF_JITTER_RATIO = 0.5
MAX_PUSHED_BACKOFF_S = 0.25  # the agent on this machine serves only this gateway
MIN_BACKOFF_PER_GATEWAY_S = 0.05  # all gateways share discovery's capacity
MAX_BACKOFF_PER_GATEWAY_S = 0.2
POLL_CYCLE_S = 4.0  # from one request to the next
PROMPT_RETRIES = 8  # consecutive failures, about half a minute, after which POLL_CYCLE_S may be exceeded
MAX_DOUBLINGS = 16


class WatchBackoff:
    """Exponential backoff with jitter, scaled by the number of gateways that share discovery."""

    def __init__(self, seed: int, gateways: int, mode: api.DiscoveryMode) -> None:
        self.failures = 0  # consecutive watches that received neither a list nor a heartbeat
        self._random = random.Random(seed)
        self.configure(gateways, mode)

    def configure(self, gateways: int, mode: api.DiscoveryMode) -> None:
        """Set how many gateways share discovery, or that an agent on this machine pushes the lists."""
        self.is_pushed = mode is api.DiscoveryMode.PUSH
        if self.is_pushed:
            self.min_s = MIN_BACKOFF_S
            self.max_s = MAX_PUSHED_BACKOFF_S
        else:
            self.min_s = max(MIN_BACKOFF_S, gateways * MIN_BACKOFF_PER_GATEWAY_S)
            self.max_s = max(MAX_BACKOFF_S, gateways * MAX_BACKOFF_PER_GATEWAY_S)

    def silence_limit_s(self) -> float:
        """How long the watch may be silent before it counts as dead; drawn at random for each call."""
        return MAX_SILENCE_S * (1.0 - SILENCE_JITTER_RATIO * self._random.random())

    def pause_s(self, fell_silent: bool = False, unanswered_s: float = 0.0) -> float:
        """The delay before the next watch is opened.

        With pushed lists, the agent sends nothing while discovery is down, and a watch has to be open when it
        sends again; opening one affects no other gateway. With polled lists, the next poll has to be in time
        for the changes since the last one, however that one ended.

        Guards against gateways that lose their watches at the same time and all reconnect at once. While
        failures continue, it also guards against polls alone keeping discovery overloaded: the more gateways
        there are, the less often each of them polls.

        Args:
            fell_silent: Whether the last watch ended because it exceeded its silence limit.
            unanswered_s: How long the last watch took if it received neither a list nor a heartbeat, else 0.
        """
        backoff_s = min(self.max_s, self.min_s * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        if self.is_pushed or self.failures >= PROMPT_RETRIES:
            return self._with_jitter(backoff_s)
        if self.failures == 0 and fell_silent:  # the random silence limit has spread the reconnects already
            return MIN_BACKOFF_S
        left_s = max(MIN_BACKOFF_S, POLL_CYCLE_S - unanswered_s)
        if self.failures == 0 and backoff_s > left_s:  # many gateways: spread over the time that is left
            return left_s * self._random.random()
        return self._with_jitter(min(backoff_s, left_s))

    def _with_jitter(self, backoff_s: float) -> float:
        return backoff_s * (1.0 - BACKOFF_JITTER_RATIO * self._random.random())
