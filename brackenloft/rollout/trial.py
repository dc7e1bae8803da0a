"""How often the judge is wrong, and how soon it is right: many stages in virtual time, over made-up members.

Members are uneven, windows vary more than counts would, and all members share their bad seconds.
"""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np
from msgspec import Struct

from brackenloft.rollout.judge import Figures, Judge, Word, measure_before

WINDOW_S = 1.0
REFUSED = 0.03  # share of requests, in the mean of the members
UNEVEN = 0.6  # of the members' rates and shares: standard deviation of their logarithm
SHARED, OWN = 0.3, 0.2  # the same, of the seconds that all share and of each member's own
LATENCY = (3.0, 0.8)  # mean and standard deviation of the logarithm of ms
STEPS = np.arange(0, 69)


class Harm(Struct, frozen=True):
    """What the change does: so much more is refused, and answers take so much longer (a share of both)."""

    refused: float = 0.0
    slower: float = 0.0


class Play(Struct, frozen=True):
    """One stage: how it ended, after how long, and how many requests of changed members came until then."""

    word: Word
    watched_s: float
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
            yield name, Figures(asked=asked, served=served, refused=refused, attempts=asked, latency={
                int(step): int(counts[step]) for step in np.flatnonzero(counts)})


def stage(seed: int, harm: Harm, members: int, changed: int, rate: float, watch_s: float, longest_s: float,
          error: float, scale: float, tolerance: float, least: int) -> Play:
    """One stage from its baseline to its word; looked at each second."""
    fleet = Fleet(np.random.default_rng(seed), members, rate)
    names = set(fleet.names[:changed])
    before: dict[str, list[Figures]] = {name: [] for name in fleet.names}
    for _ in range(int(watch_s / WINDOW_S)):
        for name, figures in fleet.window(set(), Harm()):
            before[name].append(figures)
    judge = Judge(names, measure_before(names, before), error, scale, tolerance, least)
    watched, requests = 0.0, 0
    while True:
        watched += WINDOW_S
        for name, figures in fleet.window(names, harm):
            judge.add(name, figures)
            requests += figures.asked if name in names else 0
        word = judge.look().word
        if word in (Word.WORSE, Word.TROUBLE) or (word is Word.FINE and watched >= watch_s):
            return Play(word, watched, requests)
        if watched >= longest_s:
            return Play(Word.WAIT, watched, requests)
