"""Pressure and latency: how much may be out from here at all servers together, found by what answers show."""

from collections.abc import Iterable
from math import inf

from quota_gateway.api import RequestClass
from quota_gateway.state import Context, Latencies, PendingRequest, Server

FIRST_LATENCY = 0.2  # of a class's aim: its latency until answers have been seen
LATENCY_STEP = 0.03  # weight of one answer in a class's mean latency: some thirty answers of memory
SERVER_STEP = 0.15  # weight of one answer in a server's relative latency: some seven answers of memory
FIRST_LIMIT = 2.0  # attempts out at a server, over all gateways, until quick answers prove more
FIRST_HERE = 2.0  # attempts out from here at first, at least: one that waits must not stop all the others,
HERD_LIMIT = 6.0  # but no more at a server than this over all gateways, however many they are
LEAST_POOL = 0.3  # attempts out: a pool below it sees too few answers to recover
POOL_GROWTH = 0.035  # attempts by which a quick answer lifts a pool that is used up: thirty lift it by one
POOL_CUT = 0.3  # attempts that a slow answer takes off: one slow answer in ten holds the pool level
QUICK = 0.3  # of the aim: answers faster than this lift the pool
SLOW = 0.5  # of the aim: answers slower than this cut the pool, and attempts out so long are doubtful
KNOWN = 10  # servers that answered a class quickly last, which are compared beside some drawn at random


class ConcurrencyLimit:
    """Owns the pool of attempts, and the latencies that move it (ms)."""

    def __init__(self, context: Context) -> None:
        self.size = inf  # attempts out from here at once; until the first list
        self.young: set[tuple[str, int]] = set()  # attempts out that are not slow yet: what the pool counts
        self.latencies = Latencies(context.decay, LATENCY_STEP, SERVER_STEP, KNOWN)
        self.latencies.keep(self.means(context.classes.values()))

    def means(self, kinds: Iterable[RequestClass]) -> dict[str, float]:
        """Mean latencies of these classes: as seen, or at first a share of the aim."""
        return {kind.name: self.latencies.mean.get(kind.name, self.first_latency(kind)) for kind in kinds}

    def first_latency(self, kind: RequestClass) -> float:
        """A class's mean latency (ms) until answers have been seen."""
        return kind.latency_objective_ms * FIRST_LATENCY

    def begin(self, servers: int, gateways: int) -> None:
        """The first list: an even part of a cautious limit at each server."""
        share = servers / gateways
        self.size = max(FIRST_LIMIT * share, min(FIRST_HERE, HERD_LIMIT * share))

    def rescale(self, before: int, after: int) -> None:
        """Another number of gateways shares the servers."""
        self.size = max(LEAST_POOL, self.size * before / after)

    def full(self, turn: float = 0.0) -> bool:
        """Whether no more may go out. A pool of 1.4: one out for each, a second for four turns in ten."""
        return len(self.young) >= self.size - turn

    def turns_ms(self, kind: RequestClass, waiting: int) -> float:
        """How long so many that wait take to have had their turns, each pool of them in a mean latency."""
        return (1.0 + waiting / max(1.0, self.size)) * self.latencies.mean[kind.name]

    def value(self, pending: PendingRequest) -> float:
        """Worth for the work: what is refused last and released first."""
        worth = pending.request_class.priority_weight * pending.plan.price * pending.request.units
        return worth / self.latencies.mean[pending.request_class.name]

    def answered(self, server: Server, kind: RequestClass, latency_ms: float) -> None:
        """A good answer, or its beginning.

        Guards against any cause that makes servers slower than the aim. It sums over all gateways, however
        many: a limit of one at each server would be hundreds, and each gateway meets a server once in
        seconds. Silent attempts leave it as they become slow, so that servers that hang don't stop the rest.
        Harm: few slow servers hold all back a little; where single requests take most of the aim by nature,
        it keeps too little out.
        """
        quick = latency_ms < QUICK * kind.latency_objective_ms
        self.latencies.note_quick(server, kind.name, quick)
        if latency_ms > SLOW * kind.latency_objective_ms:
            self.size = max(LEAST_POOL, self.size - POOL_CUT * min(1.0, self.size))
        elif quick and len(self.young) + 2 >= self.size:
            self.size += POOL_GROWTH  # as the one that ended and one more would not have fitted
        self.latencies.learn(server, kind.name, latency_ms)
