"""Canary analysis: decides whether a change makes the canary targets do worse than the control targets.

For each measure, such as rejections, the analysis takes the increase of the measure's share of the requests
since the change, once over the canary targets and once over the control targets. The difference of the two
increases (difference in differences) is the effect of the change, however uneven the targets are. A
sequential test decides whether the effect is significant, so that it may be evaluated at every poll.

`StageRunner` chooses the canary targets; all other targets of the rollout are the control group.
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

MIN_EVENTS = 20  # of a measure in a group, for an increase to count: fewer are not normally distributed
# The measured time at the next check of the baseline, as a multiple of the time at this check. Each check
# counts all windows again, so there should be few checks.
BASELINE_GROWTH_RATIO = 1.25
# The baseline's uncertainty may use up this part of the tolerance; the rest is left for the uncertainty of
# the stage's own counts.
BASELINE_TOLERANCE_RATIO = 0.6

Count = TypeVar("Count", int, dict[Measure, int])


class Verdict(Enum):
    """The outcome of an evaluation; the values but the first are column heads of the simulation's table."""

    UNDECIDED = "wait"
    PASSED = "fine"
    WORSE = "worse"
    COMMON_FAULT = "trouble"  # the control targets do worse, too, so this stage is not the cause


@dataclass(frozen=True, slots=True)
class Evidence:
    """The figures behind a verdict: a measure's increase in either group, and the standard error.

    Attributes:
        measure: the measure.
        canary: by how much its share of the requests grew at the canary targets.
        control: the same at the control targets.
        standard_error: of the difference of both; None where a group answered no requests.
    """

    measure: Measure
    canary: float
    control: float
    standard_error: float | None


@dataclass(frozen=True, slots=True)
class CanaryResult:
    """A verdict with its reason."""

    verdict: Verdict
    reason: str
    evidence: Evidence | None = None


class ByGroup(Struct, Generic[Count], frozen=True, array_like=True, forbid_unknown_fields=True):
    """A count for each of the two groups of targets; stored as an array in this order."""

    canary: Count
    control: Count


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
    """Counts of the targets before a stage's change; stored, so that the next controller can continue.

    Attributes:
        first_slow_bucket: latency bucket from which a request counts as slow.
        target_dispersion: dispersion of single targets' windows, see `window_counts`.
        common_dispersion: dispersion of the control targets' windows added up; it covers what affects all
            targets at the same time.
        answered: answered requests.
        events: requests that each measure counts.
    """

    first_slow_bucket: int
    target_dispersion: dict[Measure, float]
    common_dispersion: dict[Measure, float]
    answered: ByGroup[int]
    events: ByGroup[dict[Measure, int]]


def measure_baseline(canary: Collection[str], windows: Mapping[str, Sequence[FiguresWindow]]) -> Baseline:
    """Compute the baseline from each target's windows before the change."""
    slow_bucket = first_slow_bucket(list(chain.from_iterable(windows.values())))
    canary_counts = MeasureCounts()
    control_counts = MeasureCounts()
    for name, target_windows in windows.items():
        counts = canary_counts if name in canary else control_counts
        for window in target_windows:
            counts.add(window, slow_bucket)
    control = [target_windows for name, target_windows in windows.items() if name not in canary]
    control_sums = [sum_of_windows(simultaneous) for simultaneous in zip(*control, strict=False)]
    target_counts = count_windows(windows.values(), slow_bucket)
    common = count_windows([control_sums], slow_bucket)
    return Baseline(
        slow_bucket,
        {measure: dispersion(target_counts, measure) for measure in Measure},
        {measure: dispersion(common, measure) for measure in Measure},
        ByGroup(canary_counts.answered, control_counts.answered),
        ByGroup(canary_counts.events, control_counts.events),
    )


@dataclass(frozen=True, slots=True)
class ShareIncrease:
    """Increase of a measure's share since the change, and its variance if requests were independent."""

    increase: float
    variance: float


@dataclass(slots=True)
class Group:
    """Counts of the canary targets or of the control targets, before and after the change."""

    before: MeasureCounts
    after: MeasureCounts = field(default_factory=MeasureCounts)

    def increase(self, measure: Measure) -> ShareIncrease:
        """Increase of a measure's share since the change."""
        variance = self.before.variance(measure) + self.after.variance(measure)
        return ShareIncrease(self.after.share(measure) - self.before.share(measure), variance)

    def has_enough_events(self, measure: Measure) -> bool:
        """Whether a measure counted enough requests since the change for its increase to be significant."""
        return self.after.events[measure] >= MIN_EVENTS


@dataclass(frozen=True, slots=True)
class Assessment:
    """The evaluation of one measure.

    Attributes:
        evidence: the figures behind it.
        excess: the canary targets' increase less that of the control targets.
        excess_bound: upper confidence bound of the excess.
        is_worse: whether the excess is significant.
        is_common_fault: whether the control targets' own increase is significant.
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
        canary: Collection[str],
        baseline: Baseline,
        limits: CanaryLimits,
        stages: int,
        min_requests: int,
    ) -> None:
        """Start from a baseline.

        Args:
            canary: names of the targets that are compared with all other targets.
            baseline: counts of all targets before the stage's change.
            limits: what counts as worse.
            stages: number of stages of the rollout; the allowed false stops are divided among them.
            min_requests: requests that each group must answer before the stage passes.
        """
        self.canary = canary
        self.limits = limits
        self.min_requests = min_requests
        self.threshold = log_threshold(limits.false_stop_ratio, len(limits.measures) * stages)
        self.baseline = baseline
        answered = baseline.answered
        events = baseline.events
        self.canary_group = Group(MeasureCounts(answered.canary, dict(events.canary)))
        self.control_group = Group(MeasureCounts(answered.control, dict(events.control)))

    def is_baseline_sufficient(self) -> bool:
        """Whether the baseline is precise enough for a verdict: the stage's counts can't improve it later."""
        for measure in self.limits.measures:
            variance = self.canary_group.before.variance(measure) + self.control_group.before.variance(
                measure
            )
            variance *= self.baseline.target_dispersion[measure]
            bound = upper_bound(0.0, variance, self.limits.detected_ratio, self.threshold)
            if bound > BASELINE_TOLERANCE_RATIO * self.limits.tolerance_of(measure):
                return False
        return True

    def add(self, target: str, window: FiguresWindow) -> None:
        """Count a target's window since the change."""
        group = self.canary_group if target in self.canary else self.control_group
        group.after.add(window, self.baseline.first_slow_bucket)

    def evaluate(self) -> CanaryResult:
        """Evaluate the counts so far; may be called at any time, any number of times."""
        assessments = [self._assess(measure) for measure in self.limits.measures]
        worse = next((assessment for assessment in assessments if assessment.is_worse), None)
        if worse:
            reason = f"{worse.evidence.measure}: share grew by {worse.excess:+.4f} more than elsewhere"
            return CanaryResult(Verdict.WORSE, reason, worse.evidence)
        # Reversed: if several measures increased, the reason names the last in the plan's order.
        common = next(
            (assessment for assessment in reversed(assessments) if assessment.is_common_fault), None
        )
        if common:
            reason = f"{common.evidence.measure}: share grew by {common.evidence.control:+.4f} elsewhere"
            return CanaryResult(Verdict.COMMON_FAULT, reason, common.evidence)
        return self._undecided_result(assessments) or CanaryResult(
            Verdict.PASSED, f"{self.canary_group.after.answered} requests, no measure is worse"
        )

    def _undecided_result(self, assessments: Sequence[Assessment]) -> CanaryResult | None:
        """Why the stage can't pass yet; None if it can.

        It is not enough that no measure is significantly worse: each must be known well enough to rule out
        an increase beyond the tolerance.
        """
        answered = min(self.canary_group.after.answered, self.control_group.after.answered)
        if answered < self.min_requests:
            return CanaryResult(
                Verdict.UNDECIDED, f"{answered} requests answered, fewer than {self.min_requests}"
            )
        for assessment in assessments:
            measure = assessment.evidence.measure
            tolerance = self.limits.tolerance_of(measure)
            if assessment.excess_bound > tolerance:
                reason = (
                    f"{measure}: share may have grown by {assessment.excess_bound:+.4f} more than elsewhere, "
                    f"allowed are {tolerance:+.4f}"
                )
                return CanaryResult(Verdict.UNDECIDED, reason)
        return None

    def _assess(self, measure: Measure) -> Assessment:
        canary = self.canary_group.increase(measure)
        control = self.control_group.increase(measure)
        scale = self.limits.detected_ratio
        variance = (canary.variance + control.variance) * self.baseline.target_dispersion[measure]
        common_variance = control.variance * self.baseline.common_dispersion[measure]
        excess = canary.increase - control.increase
        return Assessment(
            Evidence(
                measure,
                round(canary.increase, 5),
                round(control.increase, 5),
                round(sqrt(variance), 5) if variance < inf else None,
            ),
            excess,
            upper_bound(excess, variance, scale, self.threshold),
            is_worse=self._is_significant(self.canary_group, measure, excess, variance),
            is_common_fault=self._is_significant(
                self.control_group, measure, control.increase, common_variance
            ),
        )

    def _is_significant(self, group: Group, measure: Measure, increase: float, variance: float) -> bool:
        """Whether an increase is statistically significant and based on enough events of the group."""
        if not group.has_enough_events(measure):
            return False
        return log_likelihood_ratio(increase, variance, self.limits.detected_ratio) > self.threshold
