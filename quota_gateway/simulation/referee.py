"""The rules, judged from outside over all gateways, and the ledger: where each unit of worth went."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from quota_gateway import api
from quota_gateway.simulation.models import Server, Store
from quota_gateway.simulation.world import DRAIN_GRACE, SLACK, World

MOST_TOLD = 20  # breaches that are told in words; all are counted
NEVER_RAN = (api.Status.OVERLOADED, api.Status.CONNECT_FAILED, api.Status.NOT_SENT)


@dataclass(slots=True)
class Try:
    """One request as a gateway took it; ``copies`` are its attempts that may have run, or still may."""

    name: str
    kind: api.RequestClass
    taken: float
    deadline: float
    units: float
    answers: int = 0
    lost: bool = False  # with its gateway, which was killed
    inside: bool = True
    sends: int = 0
    ended: int = 0
    copies: dict[int, tuple[Server, float]] = field(default_factory=dict)


class Referee:
    """Counts breaches by rule: answers, deadline, resends, drains, cold servers, ceilings."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: Counter[str] = Counter()
        self.told: list[str] = []
        self.work: dict[int, deque[tuple[float, float]]] = {}  # by server: when work was sent there, how much

    def breach(self, rule: str, text: str) -> None:
        """A rule was broken."""
        self.broken[rule] += 1
        if len(self.told) < MOST_TOLD:
            self.told.append(f"{rule}: {text}")

    def sent(self, one: Try, server: Server, work: float, drained_at: float | None, now: float) -> None:
        """An attempt goes out; ``drained_at``: when this gateway was told that the server drains."""
        for first, at in one.copies.values():
            if not self._may_repeat(one, first, at, server, now):
                self.breach("resends", f"{one.name} again at {server.entry.server} at {now:.0f}")
                break
        if drained_at is not None and now > drained_at + DRAIN_GRACE:
            self.breach("drains", f"{one.name} to {server.entry.server}, told at {drained_at:.0f}")
        self._tip(one, server, work, now)
        one.copies[one.sends] = (server, now)
        one.sends += 1

    def _may_repeat(self, one: Try, first: Server, at: float, server: Server, now: float) -> bool:
        if one.kind.idempotency is api.Idempotency.IDEMPOTENT:
            return True
        if (
            one.kind.idempotency is api.Idempotency.NOT_IDEMPOTENT
            or now - at >= one.kind.idempotency_window_ms
        ):
            return False
        a = first.entry
        b = server.entry
        return one.kind.idempotency_scope is api.IdempotencyScope.ALL or (
            a.zone == b.zone and (one.kind.idempotency_scope is api.IdempotencyScope.ZONE or a.cell == b.cell)
        )

    def _tip(self, one: Try, server: Server, work: float, now: float) -> None:
        """The work sent to a cold server in a window stays under multiple x capacity x window."""
        machines = self.world.machines
        if server.capacity() >= 1.0:
            return
        sent = self.work.setdefault(server.entry.server, deque())
        sent.append((now, work))
        while sent[0][0] < max(now - machines.tip_window, server.started):
            sent.popleft()
        could = machines.cores * server.speed * server.capacity() * machines.tip_window
        if sum(amount for _, amount in sent) > machines.tip_multiple * could:
            self.breach("cold servers", f"{one.name} to {server.entry.server} at {now:.0f}")

    def ended(self, one: Try, number: int, status: api.Status) -> None:
        """An attempt has ended; one that never ran is no copy."""
        if status in NEVER_RAN:
            one.copies.pop(number, None)

    def answered(self, one: Try, refused: bool, now: float) -> None:
        """A final answer."""
        one.answers += 1
        if one.answers > 1:
            self.breach("answers", f"{one.name}: answer {one.answers}")
        if now > one.deadline + SLACK:
            self.breach("deadline", f"{one.name}: {now - one.deadline:.0f} ms late")
        keyed = (
            one.kind.idempotency is api.Idempotency.WITH_KEY
            and one.kind.idempotency_scope is api.IdempotencyScope.ALL
        )
        if refused and one.copies and one.kind.idempotency is not api.Idempotency.IDEMPOTENT and not keyed:
            self.breach("refusals", f"{one.name} may have run")

    def drawn(self, one: Try, store: Store, slack: float, now: float) -> None:
        """Units are drawn from a ceiling, whether it holds them or not."""
        store.refill(now)
        store.level -= one.units
        if store.level < -slack - 1e-9:
            self.breach("ceilings", f"{one.name}: {store.level:.1f} units")

    def over(self, one: Try) -> None:
        """The day is over."""
        if not one.answers and not one.lost:
            self.breach("answers", f"{one.name}: none")


class Ledger:
    """Worth in thousandths, booked once for each wish of a client: the lines add up to what was offered."""

    def __init__(self) -> None:
        self.offered = 0
        self.lines: Counter[str] = Counter()
        self._open: dict[str, int] = {}

    def wish(self, name: str, worth: float) -> None:
        """A client's first try; its further tries belong to it."""
        amount = round(1000.0 * worth)
        self.offered += amount
        self._open[name] = amount

    def book(self, name: str, line: str) -> None:
        """Book a wish's worth, unless it was booked before or was none of the offer."""
        amount = self._open.pop(name, None)
        if amount is not None:
            self.lines[line] += amount

    def close(self) -> None:
        """What is still open at the end is given up."""
        for name in list(self._open):
            self.book(name, "given up: no answer in the day")
