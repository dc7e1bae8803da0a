"""Simulates rollouts in virtual time, to find out how often the canary analysis errs and how soon it decides.

The targets are synthetic: their traffic and their shares of rejected requests differ, their windows vary more
than counts of independent requests would, and some seconds are worse for all targets at the same time.
"""

from __future__ import annotations

from collections.abc import Iterator, Set
from dataclasses import dataclass

import numpy as np

from quota_gateway.net.metrics import LATENCY_BUCKETS_PER_DOUBLING, MAX_LATENCY_BUCKET
from quota_gateway.rollout.canary_analysis import (
    BASELINE_GROWTH_RATIO,
    CanaryAnalysis,
    Verdict,
    measure_baseline,
)
from quota_gateway.rollout.canary_limits import CanaryLimits
from quota_gateway.rollout.figures import FiguresWindow

WINDOW_S = 1.0
REJECTED_RATIO = 0.03  # median over the targets of the rejected share of the requests
# Standard deviations of logarithms (all factors are log-normal):
TARGETS_SIGMA = 0.6  # of the targets' request rates and of their rejected shares
COMMON_SIGMA = 0.3  # of the factor of each second that applies to all targets
OWN_SIGMA = 0.2  # of the factor of each second that applies to one target
LATENCY_MS_LOG_MEAN = 3.0
LATENCY_MS_LOG_SIGMA = 0.8


@dataclass(frozen=True, slots=True)
class ChangeEffect:
    """The effect of a simulated change on the changed targets.

    Attributes:
        rejected_ratio: additional share of the requests that is rejected.
        slower_ratio: share by which latencies grow.
    """

    rejected_ratio: float = 0.0
    slower_ratio: float = 0.0


CHANGE_EFFECTS = {
    "nothing": ChangeEffect(),
    "1% more refused": ChangeEffect(0.01),
    "2% more refused": ChangeEffect(0.02),
    "5% more refused": ChangeEffect(0.05),
    "10% more refused": ChangeEffect(0.1),
    "10% slower": ChangeEffect(0.0, 0.1),
    "30% slower": ChangeEffect(0.0, 0.3),
}


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """How a simulated rollout ended.

    Attributes:
        verdict: the last one.
        stage: at which it was given.
        duration_s: simulated time until then.
        changed_requests: requests that changed targets received until then.
    """

    verdict: Verdict
    stage: int
    duration_s: float
    changed_requests: int


@dataclass(frozen=True, slots=True)
class SimulationPlan:
    """The plan of a simulated rollout; fields that a real plan has, too, are described in `plan.Plan`.

    Attributes:
        effect: of the change.
        targets: their number.
        requests_per_s: median of the targets' rates.
        stage_sizes: number of targets that are changed by the end of each stage.
        limits: when a stage counts as worse.
    """

    effect: ChangeEffect
    targets: int
    requests_per_s: float
    stage_sizes: tuple[int, ...]
    watch_s: float = 20.0
    max_watch_s: float = 300.0
    min_requests: int = 300
    limits: CanaryLimits = CanaryLimits()


class SimulatedFleet:
    """Synthetic targets that answer requests."""

    def __init__(self, generator: np.random.Generator, targets: int, requests_per_s: float) -> None:
        self.generator = generator
        self.names = [f"g{number}" for number in range(targets)]
        self.rates = requests_per_s * generator.lognormal(0.0, TARGETS_SIGMA, targets)
        self.rejected_ratios = REJECTED_RATIO * generator.lognormal(0.0, TARGETS_SIGMA, targets)

    def next_windows(self, changed: Set[str], effect: ChangeEffect) -> Iterator[tuple[str, FiguresWindow]]:
        """Generate each target's next window."""
        common_factor = self.generator.lognormal(0.0, COMMON_SIGMA)
        no_effect = ChangeEffect()
        for position, name in enumerate(self.names):
            yield name, self._window(position, common_factor, effect if name in changed else no_effect)

    def _window(self, position: int, common_factor: float, effect: ChangeEffect) -> FiguresWindow:
        requests = int(self.generator.poisson(self.rates[position] * WINDOW_S))
        own_factor = self.generator.lognormal(0.0, OWN_SIGMA)
        rejected_ratio = self.rejected_ratios[position] * common_factor * own_factor + effect.rejected_ratio
        rejected = int(self.generator.binomial(requests, min(1.0, rejected_ratio)))
        served = requests - rejected
        return FiguresWindow(
            requests=requests,
            served=served,
            rejected=rejected,
            attempts=requests,
            latency_buckets=self._latency_buckets(served, effect),
        )

    def _latency_buckets(self, served: int, effect: ChangeEffect) -> dict[int, int]:
        latencies_ms = self.generator.lognormal(LATENCY_MS_LOG_MEAN, LATENCY_MS_LOG_SIGMA, served)
        latencies_ms *= 1.0 + effect.slower_ratio
        buckets = (LATENCY_BUCKETS_PER_DOUBLING * np.log2(np.maximum(1.0, latencies_ms))).astype(int)
        counts = np.bincount(np.clip(buckets, 0, MAX_LATENCY_BUCKET))
        return {int(bucket): int(counts[bucket]) for bucket in np.flatnonzero(counts)}


class SimulatedRollout:
    """One simulated rollout; all targets are polled once per window."""

    def __init__(self, seed: int, plan: SimulationPlan) -> None:
        self.plan = plan
        self.fleet = SimulatedFleet(np.random.default_rng(seed), plan.targets, plan.requests_per_s)
        self.duration_s = 0.0
        self.changed_requests = 0

    def run(self) -> SimulationResult:
        """Run the stages up to the first one that does not pass."""
        names = self.fleet.names
        verdict = Verdict.PASSED
        last_stage = 0
        already_changed: set[str] = set()
        for stage, size in enumerate(self.plan.stage_sizes):
            last_stage = stage
            changed = set(names[:size])
            canary = changed if size < len(names) else changed - already_changed
            verdict = self._run_stage(already_changed, changed, canary)
            if verdict is not Verdict.PASSED:
                break
            already_changed = changed
        return SimulationResult(verdict, last_stage, self.duration_s, self.changed_requests)

    def _run_stage(self, already_changed: Set[str], changed: Set[str], canary: Set[str]) -> Verdict:
        analysis = self._measure_baseline(already_changed, canary)
        watched_s = 0.0
        while watched_s < self.plan.max_watch_s:
            watched_s += WINDOW_S
            for name, window in self._next_windows(changed):
                analysis.add(name, window)
            verdict = analysis.evaluate().verdict
            if verdict in (Verdict.WORSE, Verdict.COMMON_FAULT):
                return verdict
            if verdict is Verdict.PASSED and watched_s >= self.plan.watch_s:
                return verdict
        return Verdict.UNDECIDED

    def _measure_baseline(self, already_changed: Set[str], canary: Set[str]) -> CanaryAnalysis:
        """Measure the baseline until it is sufficient or the time is up, as `StageRunner.measure` does."""
        windows: dict[str, list[FiguresWindow]] = {name: [] for name in self.fleet.names}
        measured_s = 0.0
        next_check_s = self.plan.watch_s
        while True:
            measured_s += WINDOW_S
            for name, window in self._next_windows(already_changed):
                windows[name].append(window)
            if measured_s < next_check_s:
                continue
            next_check_s = min(BASELINE_GROWTH_RATIO * measured_s, self.plan.max_watch_s)
            baseline = measure_baseline(canary, windows)
            stages = len(self.plan.stage_sizes)
            analysis = CanaryAnalysis(canary, baseline, self.plan.limits, stages, self.plan.min_requests)
            if analysis.is_baseline_sufficient() or measured_s >= self.plan.max_watch_s:
                return analysis

    def _next_windows(self, changed: Set[str]) -> Iterator[tuple[str, FiguresWindow]]:
        self.duration_s += WINDOW_S
        for name, window in self.fleet.next_windows(changed, self.plan.effect):
            if name in changed:
                self.changed_requests += window.requests
            yield name, window


def simulate_rollout(effect: str, targets: int, requests_per_s: float, seed: int) -> SimulationResult:
    """Simulate one rollout with the default settings of `SimulationPlan`.

    Args:
        effect: of the change, a key of `CHANGE_EFFECTS`.
        targets: their number.
        requests_per_s: median of the targets' rates.
        seed: of the random numbers.
    """
    stage_sizes = tuple(sorted({1, max(1, targets // 10), targets // 2, targets}))
    return SimulatedRollout(
        seed, SimulationPlan(CHANGE_EFFECTS[effect], targets, requests_per_s, stage_sizes)
    ).run()
