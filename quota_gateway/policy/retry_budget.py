"""Retry budget: how many further attempts this gateway may make, over all requests."""

from __future__ import annotations

MAX_RETRIES_PER_REQUEST_RATIO = 0.2  # retries per first attempt: bounds the load that failures add
MAX_STORED_RETRIES = 10.0  # bounds a burst of retries after a quiet time


class RetryBudget:
    """Token bucket that bounds retries to a ratio of first attempts.

    Guards against retry storms: when every server fails, each client request would otherwise become
    `max_attempts` requests, seen as attempts growing while successes fall. The bound holds because a retry
    costs one token and only a first attempt earns any.
    """

    def __init__(self) -> None:
        self.tokens = MAX_STORED_RETRIES

    def on_first_attempt(self) -> None:
        """Add the part of a token that a first attempt earns."""
        self.tokens = min(MAX_STORED_RETRIES, self.tokens + MAX_RETRIES_PER_REQUEST_RATIO)

    def on_retry(self) -> None:
        """Take one token for a retry or a hedged request."""
        self.tokens -= 1.0

    def allows_retry(self) -> bool:
        """Whether there is a token for a retry."""
        return self.tokens >= 1.0
