"""How often the canary analysis is wrong, and how soon it is right: rollouts in virtual time.

The targets are made up: they are uneven, their windows vary more than counts of independent requests would,
and all share their bad seconds.
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
REJECTED_RATIO = 0.03  # of the requests, in the mean of the targets
TARGETS_SIGMA = 0.6  # standard deviation of the logarithm of the targets' rates and of their shares
COMMON_SIGMA = 0.3  # the same, of the seconds that all targets share
OWN_SIGMA = 0.2  # the same, of each target's own seconds
LATENCY_MS_LOG_MEAN = 3.0
LATENCY_MS_LOG_SIGMA = 0.8


@dataclass(frozen=True, slots=True)
class Harm:
    """What the change does.

    Attributes:
        rejected_ratio: so many more of the requests are rejected.
        slower_ratio: latencies grow by this share.
    """

    rejected_ratio: float = 0.0
    slower_ratio: float = 0.0


HARMS = {
    "nothing": Harm(),
    "1% more refused": Harm(0.01),
    "2% more refused": Harm(0.02),
    "5% more refused": Harm(0.05),
    "10% more refused": Harm(0.1),
    "10% slower": Harm(0.0, 0.1),
    "30% slower": Harm(0.0, 0.3),
}


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """A simulated rollout: its last verdict, at which stage and after how long.

    Attributes:
        changed_requests: that changed targets received until then.
    """

    verdict: Verdict
    stage: int
    duration_s: float
    changed_requests: int


@dataclass(frozen=True, slots=True)
class SimulationPlan:
    """The plan of a simulated rollout.

    Attributes:
        stage_sizes: targets that are changed by the end of each stage.
    """

    harm: Harm
    targets: int
    requests_per_s: float  # of a target
    stage_sizes: tuple[int, ...]
    watch_s: float = 20.0
    max_watch_s: float = 300.0
    min_requests: int = 300
    limits: CanaryLimits = CanaryLimits()


class SimulatedFleet:
    """Targets that answer requests."""

    def __init__(self, generator: np.random.Generator, targets: int, requests_per_s: float) -> None:
        self.generator = generator
        self.names = [f"g{number}" for number in range(targets)]
        self.rates = requests_per_s * generator.lognormal(0.0, TARGETS_SIGMA, targets)
        self.rejected_ratios = REJECTED_RATIO * generator.lognormal(0.0, TARGETS_SIGMA, targets)

    def next_windows(self, changed: Set[str], harm: Harm) -> Iterator[tuple[str, FiguresWindow]]:
        """Each target's next window."""
        common_factor = self.generator.lognormal(0.0, COMMON_SIGMA)
        unharmed = Harm()
        for position, name in enumerate(self.names):
            yield name, self._window(position, common_factor, harm if name in changed else unharmed)

    def _window(self, position: int, common_factor: float, harm: Harm) -> FiguresWindow:
        requests = int(self.generator.poisson(self.rates[position] * WINDOW_S))
        own_factor = self.generator.lognormal(0.0, OWN_SIGMA)
        rejected_ratio = self.rejected_ratios[position] * common_factor * own_factor + harm.rejected_ratio
        rejected = int(self.generator.binomial(requests, min(1.0, rejected_ratio)))
        served = requests - rejected
        return FiguresWindow(
            requests=requests,
            served=served,
            rejected=rejected,
            attempts=requests,
            latency_buckets=self._latency_buckets(served, harm),
        )

    def _latency_buckets(self, served: int, harm: Harm) -> dict[int, int]:
        latencies_ms = self.generator.lognormal(LATENCY_MS_LOG_MEAN, LATENCY_MS_LOG_SIGMA, served)
        latencies_ms *= 1.0 + harm.slower_ratio
        buckets = (LATENCY_BUCKETS_PER_DOUBLING * np.log2(np.maximum(1.0, latencies_ms))).astype(int)
        counts = np.bincount(np.clip(buckets, 0, MAX_LATENCY_BUCKET))
        return {int(bucket): int(counts[bucket]) for bucket in np.flatnonzero(counts)}


class SimulatedRollout:
    """One rollout, polled once a window."""

    def __init__(self, seed: int, plan: SimulationPlan) -> None:
        self.plan = plan
        self.fleet = SimulatedFleet(np.random.default_rng(seed), plan.targets, plan.requests_per_s)
        self.duration_s = 0.0
        self.changed_requests = 0

    def run(self) -> SimulationResult:
        """Run to the end, or to the first stage that does not pass."""
        names = self.fleet.names
        verdict = Verdict.PASSED
        last_stage = 0
        already_changed: set[str] = set()
        for stage, size in enumerate(self.plan.stage_sizes):
            last_stage = stage
            changed = set(names[:size])
            judged = changed if size < len(names) else changed - already_changed
            verdict = self._run_stage(already_changed, changed, judged)
            if verdict is not Verdict.PASSED:
                break
            already_changed = changed
        return SimulationResult(verdict, last_stage, self.duration_s, self.changed_requests)

    def _run_stage(self, already_changed: Set[str], changed: Set[str], judged: Set[str]) -> Verdict:
        analysis = self._measure(already_changed, judged)
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

    def _measure(self, already_changed: Set[str], judged: Set[str]) -> CanaryAnalysis:
        """Measure until the baseline is sufficient, as the controller does."""
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
            baseline = measure_baseline(judged, windows)
            stages = len(self.plan.stage_sizes)
            analysis = CanaryAnalysis(judged, baseline, self.plan.limits, stages, self.plan.min_requests)
            if analysis.is_baseline_sufficient() or measured_s >= self.plan.max_watch_s:
                return analysis

    def _next_windows(self, changed: Set[str]) -> Iterator[tuple[str, FiguresWindow]]:
        self.duration_s += WINDOW_S
        for name, window in self.fleet.next_windows(changed, self.plan.harm):
            if name in changed:
                self.changed_requests += window.requests
            yield name, window


def simulate_rollout(harm: str, targets: int, requests_per_s: float, seed: int) -> SimulationResult:
    """A rollout over so many targets of so many requests a second each, by the plan's own defaults."""
    stage_sizes = tuple(sorted({1, max(1, targets // 10), targets // 2, targets}))
    return SimulatedRollout(seed, SimulationPlan(HARMS[harm], targets, requests_per_s, stage_sizes)).run()
