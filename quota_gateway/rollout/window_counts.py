"""Counts what the canary analysis compares, by window and by group, and measures how much windows vary.

Requests of one gateway tend to fail together, so the counts of its windows vary more than those of
independent requests. The ratio of the two variances, the dispersion, is measured before a change. The
analysis multiplies the variance of every share after the change by it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import inf

from quota_gateway.rollout.canary_limits import Measure
from quota_gateway.rollout.figures import FiguresWindow, sum_of_latency_buckets

SLOW_QUANTILE_RATIO = 0.9  # share of the latencies before a change that are below the first slow bucket
MIN_BLOCKS = 5  # of consecutive windows: the variance of fewer blocks is too uncertain
# Smaller shares are given the variance of this one, so that a few events do not count as significant.
MIN_VARIANCE_SHARE = 1e-3


def count_events(window: FiguresWindow, first_slow_bucket: int) -> dict[Measure, int]:
    """Count the requests of a window that belong to each measure."""
    return {
        Measure.REJECTED: window.rejected,
        Measure.FAILED: window.failed,
        Measure.LATE: window.late,
        Measure.SLOW: sum(
            count for bucket, count in window.latency_buckets.items() if bucket >= first_slow_bucket
        ),
        Measure.RETRIED: max(0, window.attempts - window.requests),
    }


def first_slow_bucket(windows: Sequence[FiguresWindow]) -> int:
    """The first latency bucket above 90% of the served requests."""
    counts = sum_of_latency_buckets(windows)
    remaining = SLOW_QUANTILE_RATIO * sum(counts.values())
    for bucket in sorted(counts):
        remaining -= counts[bucket]
        if remaining < 0.0:
            return bucket + 1
    return 0


@dataclass(frozen=True, slots=True)
class EventCount:
    """Events (requests that a measure counts) among the answered requests of some windows."""

    events: int
    answered: int


@dataclass(slots=True)
class MeasureCounts:
    """Answered requests of some windows, and how many of them each measure counts."""

    answered: int = 0
    events: dict[Measure, int] = field(default_factory=lambda: dict.fromkeys(Measure, 0))

    def add(self, window: FiguresWindow, first_slow_bucket: int) -> None:
        """Add a target's window to the counts."""
        self.answered += window.answered
        for measure, count in count_events(window, first_slow_bucket).items():
            self.events[measure] += count

    def of(self, measure: Measure) -> EventCount:
        """The count of one measure."""
        return EventCount(self.events[measure], self.answered)

    def share(self, measure: Measure) -> float:
        """The measure's share of the answered requests."""
        return self.events[measure] / self.answered if self.answered else 0.0

    def variance(self, measure: Measure) -> float:
        """Variance of that share if requests were independent; infinite without requests."""
        if not self.answered:
            return inf
        return request_variance(max(MIN_VARIANCE_SHARE, self.share(measure))) / self.answered


def request_variance(share: float) -> float:
    """Variance of one request's outcome; it does not fall again for shares above 0.5."""
    return share * (1.0 - min(share, 0.5))


def count_windows(
    targets: Iterable[Sequence[FiguresWindow]], first_slow_bucket: int
) -> list[list[MeasureCounts]]:
    """Counts of each window, by target."""
    return [
        [MeasureCounts(window.answered, count_events(window, first_slow_bucket)) for window in windows]
        for windows in targets
    ]


def dispersion(targets: Sequence[Sequence[MeasureCounts]], measure: Measure) -> float:
    """Variance of the windows as a multiple of that of independent requests; at least 1.

    Bad seconds tend to follow each other, so the dispersion is also computed over blocks of 2, 4, 8, ...
    consecutive windows, as long as there are at least `MIN_BLOCKS` blocks. The result is the largest.
    """
    counts = [[window.of(measure) for window in windows] for windows in targets]
    longest = max(map(len, counts), default=0)
    sizes = [1 << power for power in range(longest.bit_length()) if longest >> power >= MIN_BLOCKS]
    ratios = [_dispersion_ratio([merge_blocks(windows, size) for windows in counts]) for size in sizes]
    return max([1.0, *ratios])


def merge_blocks(windows: Sequence[EventCount], size: int) -> list[EventCount]:
    """Merge each ``size`` consecutive windows into one; the remainder at the end is dropped."""
    if size == 1:
        return list(windows)
    blocks = [windows[start : start + size] for start in range(0, len(windows) - size + 1, size)]
    return [
        EventCount(sum(window.events for window in block), sum(window.answered for window in block))
        for block in blocks
    ]


def _dispersion_ratio(targets: Sequence[Sequence[EventCount]]) -> float:
    """Pearson's chi-squared statistic divided by its degrees of freedom; 1 if there are none."""
    chi_squared = 0.0
    degrees_of_freedom = 0
    for target in targets:
        windows = [window for window in target if window.answered]
        if len(windows) < 2:
            continue
        events = sum(window.events for window in windows)
        answered = sum(window.answered for window in windows)
        share = max(MIN_VARIANCE_SHARE, events / answered)
        variance = request_variance(share)
        chi_squared += sum(
            (window.events - window.answered * share) ** 2 / (window.answered * variance)
            for window in windows
        )
        degrees_of_freedom += len(windows) - 1
    return chi_squared / degrees_of_freedom if degrees_of_freedom else 1.0
