"""Canary analysis: whether the judged targets do worse than the others do at the same time.

For each measure, the share since the change less the share before it is taken of the judged targets and of
the others. The difference of these differences is what the change did, however uneven the targets are. It is
judged by a sequential test, so that it may be evaluated at every poll.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from math import inf, sqrt
from typing import Generic, TypeVar

from msgspec import Struct

from quota_gateway.rollout.canary_limits import CanaryLimits, Measure
from quota_gateway.rollout.figures import FiguresWindow, sum_of_windows
from quota_gateway.rollout.sequential_test import log_likelihood_ratio, log_threshold, upper_bound
from quota_gateway.rollout.window_counts import MeasureCounts, count_windows, dispersion, first_slow_bucket

MIN_EVENTS = 20  # before anything is blamed: fewer are not normally distributed
# Time measured at the next check of the baseline, of that at this one. Each check counts all windows anew, so
# that there are to be few.
BASELINE_GROWTH_RATIO = 1.25
# Of the tolerance that the baseline's uncertainty may use up; the rest is for the stage's own.
BASELINE_TOLERANCE_RATIO = 0.6

Count = TypeVar("Count", int, dict[Measure, int])


class Verdict(Enum):
    """What an evaluation comes to; the values are column heads of the simulation's table."""

    UNDECIDED = "wait"
    PASSED = "fine"
    WORSE = "worse"
    COMMON_FAULT = "trouble"  # the others do worse, too: not this stage's fault


@dataclass(frozen=True, slots=True)
class Evidence:
    """The figures that a verdict rests on: increases of a measure's share, and their standard error."""

    measure: Measure
    judged: float
    others: float
    standard_error: float | None  # none where nothing was counted


@dataclass(frozen=True, slots=True)
class CanaryResult:
    """A verdict with its reason."""

    verdict: Verdict
    reason: str
    evidence: Evidence | None = None


class ByGroup(Struct, Generic[Count], frozen=True, array_like=True, forbid_unknown_fields=True):
    """A count of either group of targets; stored as an array in this order."""

    judged: Count
    others: Count


class Baseline(
    Struct,
    frozen=True,
    rename={
        "first_slow_bucket": "slow_from",
        "target_dispersion": "spread",  # not related to the plan's key "spread"
        "common_dispersion": "shared",
        "answered": "asked",
    },
):
    """What the targets did before a stage; stored, so that another process can go on judging.

    Attributes:
        target_dispersion: of single targets' windows.
        common_dispersion: of the others' windows added up, which vary as what hits all targets does.
    """

    first_slow_bucket: int
    target_dispersion: dict[Measure, float]
    common_dispersion: dict[Measure, float]
    answered: ByGroup[int]
    events: ByGroup[dict[Measure, int]]


def measure_baseline(judged: Collection[str], windows: Mapping[str, Sequence[FiguresWindow]]) -> Baseline:
    """The baseline from each target's windows before the change."""
    slow_bucket = first_slow_bucket(list(chain.from_iterable(windows.values())))
    judged_counts = MeasureCounts()
    other_counts = MeasureCounts()
    for name, target_windows in windows.items():
        counts = judged_counts if name in judged else other_counts
        for window in target_windows:
            counts.add(window, slow_bucket)
    others = [target_windows for name, target_windows in windows.items() if name not in judged]
    added_up = [sum_of_windows(moment) for moment in zip(*others, strict=False)]
    single = count_windows(windows.values(), slow_bucket)
    common = count_windows([added_up], slow_bucket)
    return Baseline(
        slow_bucket,
        {measure: dispersion(single, measure) for measure in Measure},
        {measure: dispersion(common, measure) for measure in Measure},
        ByGroup(judged_counts.answered, other_counts.answered),
        ByGroup(judged_counts.events, other_counts.events),
    )


@dataclass(frozen=True, slots=True)
class ShareIncrease:
    """A measure's share since the change less that before it, and its variance with independent requests."""

    increase: float
    variance: float


@dataclass(slots=True)
class Group:
    """Counts of the judged targets, or of the others."""

    before: MeasureCounts
    after: MeasureCounts = field(default_factory=MeasureCounts)

    def increase(self, measure: Measure) -> ShareIncrease:
        """By how much a measure's share has grown."""
        variance = self.before.variance(measure) + self.after.variance(measure)
        return ShareIncrease(self.after.share(measure) - self.before.share(measure), variance)

    def has_enough_events(self, measure: Measure) -> bool:
        """Whether a measure may be blamed on something."""
        return self.after.events[measure] >= MIN_EVENTS


@dataclass(frozen=True, slots=True)
class Assessment:
    """What can be said about one measure.

    Attributes:
        excess: the judged targets' increase beyond that of the others.
        excess_bound: what the excess is at most.
    """

    evidence: Evidence
    excess: float
    excess_bound: float
    is_worse: bool
    is_common_fault: bool


class CanaryAnalysis:
    """The analysis of one stage of a rollout."""

    def __init__(
        self,
        judged: Collection[str],
        baseline: Baseline,
        limits: CanaryLimits,
        stages: int,
        min_requests: int,
    ) -> None:
        """Start from a baseline.

        Args:
            judged: names of the targets that are compared with all others; see `StageRunner`.
            baseline: what all targets did before the stage.
            limits: what counts as worse.
            stages: of the rollout; they share the error.
            min_requests: that either group must have answered before a stage passes.
        """
        self.judged = judged
        self.limits = limits
        self.min_requests = min_requests
        self.threshold = log_threshold(limits.false_stop_ratio, len(limits.measures) * stages)
        self.baseline = baseline
        answered = baseline.answered
        events = baseline.events
        self.judged_group = Group(MeasureCounts(answered.judged, dict(events.judged)))
        self.other_group = Group(MeasureCounts(answered.others, dict(events.others)))

    def is_baseline_sufficient(self) -> bool:
        """Whether the baseline leaves room for a verdict: it is not known any better later on."""
        for measure in self.limits.measures:
            variance = self.judged_group.before.variance(measure) + self.other_group.before.variance(measure)
            variance *= self.baseline.target_dispersion[measure]
            bound = upper_bound(0.0, variance, self.limits.detected_ratio, self.threshold)
            if bound > BASELINE_TOLERANCE_RATIO * self.limits.tolerance_of(measure):
                return False
        return True

    def add(self, target: str, window: FiguresWindow) -> None:
        """Count a target's window since the change."""
        group = self.judged_group if target in self.judged else self.other_group
        group.after.add(window, self.baseline.first_slow_bucket)

    def evaluate(self) -> CanaryResult:
        """What can be said now; may be called at any moment, as often as needed."""
        assessments = [self._assess(measure) for measure in self.limits.measures]
        worse = next((found for found in assessments if found.is_worse), None)
        if worse:
            reason = f"{worse.evidence.measure}: {worse.excess:+.4f} against the others"
            return CanaryResult(Verdict.WORSE, reason, worse.evidence)
        # Reversed: of several, the last in the plan's order of measures is named.
        common = next((found for found in reversed(assessments) if found.is_common_fault), None)
        if common:
            reason = f"{common.evidence.measure}: {common.evidence.others:+.4f} in the others"
            return CanaryResult(Verdict.COMMON_FAULT, reason, common.evidence)
        return self._undecided(assessments) or CanaryResult(
            Verdict.PASSED, f"{self.judged_group.after.answered} requests, nothing worse"
        )

    def _undecided(self, assessments: Sequence[Assessment]) -> CanaryResult | None:
        """Why the stage can't pass yet: "nothing seen" is not enough."""
        answered = min(self.judged_group.after.answered, self.other_group.after.answered)
        if answered < self.min_requests:
            return CanaryResult(Verdict.UNDECIDED, f"{answered} requests, want {self.min_requests}")
        for found in assessments:
            measure = found.evidence.measure
            tolerance = self.limits.tolerance_of(measure)
            if found.excess_bound > tolerance:
                reason = f"{measure} may be {found.excess_bound:+.4f}, want at most {tolerance:+.4f}"
                return CanaryResult(Verdict.UNDECIDED, reason)
        return None

    def _assess(self, measure: Measure) -> Assessment:
        judged = self.judged_group.increase(measure)
        others = self.other_group.increase(measure)
        scale = self.limits.detected_ratio
        variance = (judged.variance + others.variance) * self.baseline.target_dispersion[measure]
        common_variance = others.variance * self.baseline.common_dispersion[measure]
        excess = judged.increase - others.increase
        return Assessment(
            Evidence(
                measure,
                round(judged.increase, 5),
                round(others.increase, 5),
                round(sqrt(variance), 5) if variance < inf else None,
            ),
            excess,
            upper_bound(excess, variance, scale, self.threshold),
            is_worse=self._is_significant(self.judged_group, measure, excess, variance),
            is_common_fault=self._is_significant(self.other_group, measure, others.increase, common_variance),
        )

    def _is_significant(self, group: Group, measure: Measure, increase: float, variance: float) -> bool:
        """Whether an increase is proven, and rests on enough events of the group."""
        if not group.has_enough_events(measure):
            return False
        return log_likelihood_ratio(increase, variance, self.limits.detected_ratio) > self.threshold
