"""How often the judge is wrong, and how soon it is right: rollouts in virtual time, over made-up members.

Members are uneven, windows vary more than counts would, and all members share their bad seconds.
"""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np
from msgspec import Struct

from quota_gateway.rollout.canary_analysis import GROWTH, Figures, Judge, Word, Worse, measure_before

WINDOW_S = 1.0
REFUSED = 0.03  # share of requests, in the mean of the members
UNEVEN = 0.6  # of the members' rates and shares: standard deviation of their logarithm
# the same, of the seconds that all share and of each member's own
SHARED = 0.3
OWN = 0.2
LATENCY = (3.0, 0.8)  # mean and standard deviation of the logarithm of ms
STEPS = np.arange(0, 69)


class Harm(Struct, frozen=True):
    """What the change does: so much more is refused, and answers take so much longer (a share of both)."""

    refused: float = 0.0
    slower: float = 0.0


class Play(Struct, frozen=True):
    """A rollout: its last word, at which stage, after how long, and how many requests changed members had."""

    word: Word
    stage: int
    seconds: float
    requests: int


class Fleet:
    """Members that answer requests."""

    def __init__(self, draw: np.random.Generator, members: int, rate: float) -> None:
        self.draw = draw
        self.names = [f"g{number}" for number in range(members)]
        self.rates = rate * draw.lognormal(0.0, UNEVEN, members)
        self.shares = REFUSED * draw.lognormal(0.0, UNEVEN, members)

    def window(self, changed: set[str], harm: Harm) -> Iterator[tuple[str, Figures]]:
        """The next second of each."""
        bad = self.draw.lognormal(0.0, SHARED)
        for place, name in enumerate(self.names):
            worse = harm if name in changed else Harm()
            asked = int(self.draw.poisson(self.rates[place] * WINDOW_S))
            share = self.shares[place] * bad * self.draw.lognormal(0.0, OWN) + worse.refused
            refused = int(self.draw.binomial(asked, min(1.0, share)))
            served = asked - refused
            ms = self.draw.lognormal(*LATENCY, served) * (1.0 + worse.slower)
            counts = np.bincount(np.clip((4.0 * np.log2(np.maximum(1.0, ms))).astype(int), 0, 68))
            yield (
                name,
                Figures(
                    asked=asked,
                    served=served,
                    refused=refused,
                    attempts=asked,
                    latency={int(step): int(counts[step]) for step in np.flatnonzero(counts)},
                ),
            )


class Rollout:
    """One rollout: ``sizes`` has how many are changed by the end of each stage; looked at each second."""

    def __init__(
        self,
        seed: int,
        harm: Harm,
        members: int,
        rate: float,
        watch_s: float,
        longest_s: float,
        least: int,
        worse: Worse,
        sizes: tuple[int, ...],
    ) -> None:
        self.fleet = Fleet(np.random.default_rng(seed), members, rate)
        self.harm = harm
        self.watch_s = watch_s
        self.longest_s = longest_s
        self.least = least
        self.worse = worse
        self.sizes = sizes
        self.seconds = 0.0
        self.requests = 0

    def play(self) -> Play:
        """To the end, or to the first stage that is not found fine."""
        names = self.fleet.names
        word = Word.FINE
        number = 0
        for number, size in enumerate(self.sizes):
            earlier = set(names[: self.sizes[number - 1]] if number else ())
            changed = set(names[:size])
            blamed = changed if size < len(names) else changed - earlier
            word = self._stage(earlier, changed, blamed)
            if word is not Word.FINE:
                break
        return Play(word, number, self.seconds, self.requests)

    def _window(self, changed: set[str]) -> Iterator[tuple[str, Figures]]:
        self.seconds += WINDOW_S
        for name, figures in self.fleet.window(changed, self.harm):
            self.requests += figures.asked if name in changed else 0
            yield name, figures

    def _stage(self, earlier: set[str], changed: set[str], blamed: set[str]) -> Word:
        before: dict[str, list[Figures]] = {name: [] for name in self.fleet.names}
        watched = 0.0
        asks_at = self.watch_s
        while True:
            watched += WINDOW_S
            for name, figures in self._window(earlier):
                before[name].append(figures)
            if watched >= asks_at:
                asks_at = min(GROWTH * watched, self.longest_s)
                judge = Judge(blamed, measure_before(blamed, before), self.worse, len(self.sizes), self.least)
                if judge.ready() or watched >= self.longest_s:
                    break
        watched = 0.0
        while watched < self.longest_s:
            watched += WINDOW_S
            for name, figures in self._window(changed):
                judge.add(name, figures)
            word = judge.look().word
            if word in (Word.WORSE, Word.TROUBLE) or (word is Word.FINE and watched >= self.watch_s):
                return word
        return Word.WAIT


HARMS = {
    "nothing": Harm(),
    "1% more refused": Harm(0.01),
    "2% more refused": Harm(0.02),
    "5% more refused": Harm(0.05),
    "10% more refused": Harm(0.1),
    "10% slower": Harm(0.0, 0.1),
    "30% slower": Harm(0.0, 0.3),
}


def play(harm: str, members: int, rate: float, seed: int) -> Play:
    """A rollout over so many members of so many requests a second each, by the plan's own defaults."""
    sizes = tuple(sorted({1, max(1, members // 10), members // 2, members}))
    return Rollout(seed, HARMS[harm], members, rate, 20.0, 300.0, 300, Worse(), sizes).play()
