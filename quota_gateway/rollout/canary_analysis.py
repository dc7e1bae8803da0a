"""Whether what was changed does worse than what was not, at the same time; may be asked at every moment.

Each measure is a share of requests. For the changed and the others, the share since the change less the
share before it; the difference of both differences is what the change did, however uneven the members are. A
mixture sequential probability ratio test (a normal mixture over the difference, Robbins) keeps its error
however often it is looked at. Its variance is that of counts, larger by as much as the time before the change
shows windows to vary more than counts would.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from math import inf, log, sqrt
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

Measure = Literal["refused", "failed", "late", "slow", "resent"]
Above = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
MEASURES: tuple[Measure, ...] = ("refused", "failed", "late", "slow", "resent")
SLOW = 0.9  # of the latencies before the change are below the step that counts as slow
WIDER = {"slow": 2.0}  # tolerances: a tenth counts as slow by definition, so its share is known less well
LEAST_EVENTS = 20  # before anything is blamed: fewer are not spread as a normal distribution is
GROWTH = 1.25  # of the time before a change, from one asking whether it tells enough to the next
READY = 0.6  # of the tolerance that what was before may leave open; the rest is for what comes after
LEAST_BLOCKS = 5  # of windows in a row, to tell how much they vary
LEAST_SHARE = 1e-3  # a share below this has at least this one's variance: a few events are no proof


class Worse(Struct, forbid_unknown_fields=True, frozen=True):
    """When a stage counts as worse. ``error``: the chance of a false stop over a whole rollout; ``scale``:
    the difference in shares that is looked for first; ``tolerance``: fine is only what can't be worse by
    more (by twice as much for the slowest tenth); ``memory_mb``: by which changed members may grow more.
    """

    measures: Annotated[tuple[Measure, ...], Meta(min_length=1)] = MEASURES
    error: Share = 0.01
    scale: Share = 0.02
    tolerance: Share = 0.05
    memory_mb: Above = 32.0


class Figures(Struct, frozen=True):
    """What a gateway's ``FIGURES`` says, or the difference of two such."""

    pid: int = 0
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    late: int = 0
    attempts: int = 0
    in_hand: int = 0
    memory_kb: int = 0
    revision: str = ""
    program: str = ""
    since: float = 0.0
    reasons: dict[str, int] = {}
    latency: dict[int, int] = {}

    @property
    def answered(self) -> int:
        """Requests that came to something."""
        return self.served + self.refused + self.failed

    def less(self, before: Figures) -> Figures:
        """What has come since: raises ValueError over two processes."""
        if before.pid != self.pid or before.since != self.since:
            raise ValueError("counts of two processes")
        names = ("asked", "served", "refused", "failed", "gone", "late", "attempts")
        counts = {name: getattr(self, name) - getattr(before, name) for name in names}
        latency = {step: n - before.latency.get(step, 0) for step, n in self.latency.items()}
        return Figures(pid=self.pid, memory_kb=self.memory_kb - before.memory_kb, latency=latency, **counts)


class Cell:
    """Counts of one group before or after the change."""

    def __init__(self) -> None:
        self.asked = 0
        self.events: dict[str, int] = dict.fromkeys(MEASURES, 0)

    def add(self, figures: Figures, slow_from: int) -> None:
        """Count a window of a member's."""
        self.asked += figures.answered
        for measure, n in events(figures, slow_from).items():
            self.events[measure] += n

    def share(self, measure: str) -> float:
        """Of the requests that were answered."""
        return self.events[measure] / self.asked if self.asked else 0.0

    def variance(self, measure: str) -> float:
        """Of that share, as if requests were independent."""
        if not self.asked:
            return inf
        share = max(LEAST_SHARE, self.share(measure))
        return share * max(0.0, 1.0 - min(share, 0.5)) / self.asked


def events(figures: Figures, slow_from: int) -> dict[str, int]:
    """How many of a window's requests each measure counts."""
    return {
        "refused": figures.refused,
        "failed": figures.failed,
        "late": figures.late,
        "slow": sum(n for step, n in figures.latency.items() if step >= slow_from),
        "resent": max(0, figures.attempts - figures.asked),
    }


def slow_step(windows: Iterable[Figures]) -> int:
    """The first step above all but a tenth of the latencies."""
    counts: dict[int, int] = {}
    for figures in windows:
        for step, n in figures.latency.items():
            counts[step] = counts.get(step, 0) + n
    left = SLOW * sum(counts.values())
    for step in sorted(counts):
        left -= counts[step]
        if left < 0.0:
            return step + 1
    return 0


def evidence(difference: float, variance: float, scale: float) -> float:
    """Logarithm of the mixture's likelihood ratio against no difference; below nought there is none."""
    if difference <= 0.0 or variance == inf:
        return -inf
    spread = scale * scale
    return 0.5 * log(variance / (variance + spread)) + difference * difference * spread / (
        2.0 * variance * (variance + spread)
    )


def most(difference: float, variance: float, scale: float, bar: float) -> float:
    """The upper end of the interval that holds the true difference at all looks at once; same error."""
    if variance == inf:
        return inf
    spread = scale * scale
    bound = bar + 0.5 * log((variance + spread) / variance)
    return difference + sqrt(2.0 * variance * (variance + spread) / spread * bound)


class Word(Enum):
    """What a look comes to."""

    WAIT = "wait"
    FINE = "fine"
    WORSE = "worse"
    TROUBLE = "trouble"


class Finding(Struct, frozen=True):
    """A word, its measure, and the figures it rests on."""

    word: Word
    why: str
    figures: dict[str, Any] = {}


class Before(Struct, frozen=True):
    """What the members did before the change: enough to go on judging in another process."""

    slow_from: int
    spread: dict[Measure, float]  # of single members' windows
    shared: dict[Measure, float]  # of the others' windows taken together: what hits all members varies so
    asked: tuple[int, int]  # of those that are to be changed, of the others
    events: tuple[dict[str, int], dict[str, int]]


def measure_before(changed: set[str], windows: dict[str, list[Figures]]) -> Before:
    """From each member's windows before the change."""
    slow_from = slow_step(figures for all_of in windows.values() for figures in all_of)
    cells = Cell(), Cell()
    for name, all_of in windows.items():
        for figures in all_of:
            cells[name not in changed].add(figures, slow_from)
    others = [all_of for name, all_of in windows.items() if name not in changed]
    single = counted(windows.values(), slow_from)
    joint = counted([together(others)], slow_from)
    spread = {measure: dispersion(single, measure) for measure in MEASURES}
    shared = {measure: dispersion(joint, measure) for measure in MEASURES}
    first, rest = cells
    return Before(slow_from, spread, shared, (first.asked, rest.asked), (first.events, rest.events))


class Judge:
    """One stage of so many; ``least``: requests of either group before anything is fine."""

    def __init__(self, changed: set[str], before: Before, worse: Worse, stages: int, least: int) -> None:
        self.changed = changed
        self.worse = worse
        self.least = least
        # The error is shared by all stages and measures; half of it, as only what is worse counts.
        self.bar = log(0.5 * len(worse.measures) * stages / worse.error)
        self.slow_from = before.slow_from
        self.spread = before.spread
        self.shared = before.shared
        self.cells = {(group, when): Cell() for group in (True, False) for when in ("before", "after")}
        for place, group in enumerate((True, False)):
            cell = self.cells[group, "before"]
            cell.asked = before.asked[place]
            cell.events = dict(before.events[place])

    def ready(self) -> bool:
        """Whether what was before is known well enough: later it is not known any better."""
        for measure in self.worse.measures:
            variance = sum(self.cells[group, "before"].variance(measure) for group in (True, False))
            known = most(0.0, variance * self.spread[measure], self.worse.scale, self.bar)
            if known > READY * self._tolerance(measure):
                return False
        return True

    def _tolerance(self, measure: Measure) -> float:
        return self.worse.tolerance * WIDER.get(measure, 1.0)

    def add(self, member: str, figures: Figures) -> None:
        """A window of a member's since the change."""
        self.cells[member in self.changed, "after"].add(figures, self.slow_from)

    def _step(self, group: bool, measure: str) -> tuple[float, float]:
        """Since the change less before it, and the variance of that, as if requests were independent."""
        before = self.cells[group, "before"]
        after = self.cells[group, "after"]
        variance = before.variance(measure) + after.variance(measure)
        return after.share(measure) - before.share(measure), variance

    def _enough(self, group: bool, measure: str) -> bool:
        return self.cells[group, "after"].events[measure] >= LEAST_EVENTS

    def look(self) -> Finding:
        """What can be said now; may be asked at any moment, as often as one likes."""
        trouble = Finding(Word.WAIT, "")
        doubt = ""
        for measure in self.worse.measures:
            changed, changed_variance = self._step(True, measure)
            others, others_variance = self._step(False, measure)
            variance = (changed_variance + others_variance) * self.spread[measure]
            figures = {
                "measure": measure,
                "changed": round(changed, 5),
                "others": round(others, 5),
                "error": round(sqrt(variance), 5) if variance < inf else None,
            }
            more = changed - others
            if self._enough(True, measure) and evidence(more, variance, self.worse.scale) > self.bar:
                return Finding(Word.WORSE, f"{measure}: {more:+.4f} against the others", figures)
            upper = most(more, variance, self.worse.scale, self.bar)
            tolerance = self._tolerance(measure)
            if upper > tolerance:
                doubt = doubt or f"{measure} may be {upper:+.4f}, want at most {tolerance:+.4f}"
            shared = others_variance * self.shared[measure]
            if self._enough(False, measure) and evidence(others, shared, self.worse.scale) > self.bar:
                trouble = Finding(Word.TROUBLE, f"{measure}: {others:+.4f} in the others", figures)
        if trouble.word is Word.TROUBLE:
            return trouble
        seen = min(self.cells[group, "after"].asked for group in (True, False))
        if seen < self.least:
            return Finding(Word.WAIT, f"{seen} requests, want {self.least}")
        if doubt:
            return Finding(Word.WAIT, doubt)
        return Finding(Word.FINE, f"{self.cells[True, 'after'].asked} requests, nothing worse")


def together(members: list[list[Figures]]) -> list[Figures]:
    """The windows of several members, added up moment by moment."""
    names = ("asked", "served", "refused", "failed", "late", "attempts")
    sums = []
    for moment in zip(*members, strict=False):
        latency: dict[int, int] = {}
        for figures in moment:
            for step, n in figures.latency.items():
                latency[step] = latency.get(step, 0) + n
        sums.append(
            Figures(
                latency=latency, **{name: sum(getattr(figures, name) for figures in moment) for name in names}
            )
        )
    return sums


Counted = list[list[tuple[dict[str, int], int]]]  # by member and window: events, requests answered


def counted(members: Iterable[list[Figures]], slow_from: int) -> Counted:
    """Each window's events, counted once for all measures."""
    return [[(events(window, slow_from), window.answered) for window in windows] for windows in members]


def dispersion(members: Counted, measure: str) -> float:
    """By how much windows vary more than counts of independent requests would; at least 1.

    Also of some windows in a row taken as one, as long as enough are left: bad seconds come in rows.
    """
    counts = [[(found[measure], answered) for found, answered in windows] for windows in members]
    longest = max(map(len, counts), default=0)
    rows = [1 << power for power in range(longest.bit_length()) if longest >> power >= LEAST_BLOCKS]
    return max([1.0, *(_dispersion([blocks(pairs, row) for pairs in counts]) for row in rows)])


def blocks(pairs: list[tuple[int, int]], row: int) -> list[tuple[int, int]]:
    """So many windows in a row as one; what is left over at the end is not used."""
    return [
        (sum(n for n, _ in pairs[at : at + row]), sum(asked for _, asked in pairs[at : at + row]))
        for at in range(0, len(pairs) - row + 1, row)
    ]


def _dispersion(counts: list[list[tuple[int, int]]]) -> float:
    total = 0.0
    free = 0
    for all_of in counts:
        pairs = [(n, asked) for n, asked in all_of if asked]
        if len(pairs) < 2:
            continue
        share = max(LEAST_SHARE, sum(n for n, _ in pairs) / sum(asked for _, asked in pairs))
        one = share * (1.0 - min(share, 0.5))
        total += sum((n - asked * share) ** 2 / (asked * one) for n, asked in pairs)
        free += len(pairs) - 1
    return total / free if free else 1.0
