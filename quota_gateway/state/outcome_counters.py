"""Counters of requests that were given up, for the log and the admin endpoint."""

from __future__ import annotations

from collections import Counter
from math import inf

from quota_gateway.state.give_up_reason import GiveUpReason


class OutcomeCounters:
    """Counts by reason and plan, written to the log in one line every few seconds.

    There are at most as many counts as reasons times plans.
    """

    def __init__(self, log_interval_ms: float) -> None:
        self.log_interval_ms = log_interval_ms
        self.last_logged_ms = -inf
        self.counts: dict[tuple[GiveUpReason, str], int] = {}  # by reason and plan, since the last log line
        self.totals: Counter[GiveUpReason] = Counter()  # by reason, since the start

    def add(self, reason: GiveUpReason, plan_name: str, now_ms: float, started_ms: float) -> str:
        """Count one request. Returns the counts as text for a log line once the interval has passed, else "".

        ``started_ms`` is the time of this gateway's first event, at which the first interval begins.
        """
        self.totals[reason] += 1
        self.counts[reason, plan_name] = self.counts.get((reason, plan_name), 0) + 1
        self.last_logged_ms = max(self.last_logged_ms, started_ms)
        if now_ms - self.last_logged_ms < self.log_interval_ms:
            return ""
        self.last_logged_ms = now_ms
        text = ", ".join(
            f"{reason} {plan_name} {count}" for (reason, plan_name), count in sorted(self.counts.items())
        )
        self.counts.clear()
        return text
