"""Counts for the log."""

from __future__ import annotations

from collections import Counter
from math import inf


class Tally:
    """Counts by reason and name, told in one text now and then. As many keys as reasons times names."""

    def __init__(self, every_ms: float) -> None:
        self.every_ms = every_ms
        self.at = -inf
        self.counts: dict[tuple[str, str], int] = {}
        self.totals: Counter[str] = Counter()  # by reason, since the start

    def add(self, why: str, name: str, now: float, since: float) -> str:
        """Count one; the text of all that were counted once the time has come, else nothing."""
        self.totals[why] += 1
        self.counts[why, name] = self.counts.get((why, name), 0) + 1
        self.at = max(self.at, since)
        if now - self.at < self.every_ms:
            return ""
        self.at = now
        text = ", ".join(f"{why} {name} {n}" for (why, name), n in sorted(self.counts.items()))
        self.counts.clear()
        return text
