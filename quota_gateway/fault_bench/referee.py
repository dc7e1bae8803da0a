"""The referee over a history: knows the rules and nothing of the program. The rules themselves are the lab's.

What a fault has done to a request is no fault of its gateway: each kind of fault excuses what stands in
``EXCUSES``, for requests that were in hand while it was on, and nothing else.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from msgspec import Struct

from quota_gateway import api
from quota_gateway.fault_bench import history as seen
from quota_gateway.simulation.models import Server, Store
from quota_gateway.simulation.referee import Referee, Try
from quota_gateway.simulation.world import SLACK, World

SOCKETS_MS = 50.0  # every time limit is so much longer on sockets
TOLD_MS = 6000.0  # what discovery has to tell counts as told by then, whether it arrived or not
LOST = "lost"
LATE = "late"
EXCUSES: dict[str, frozenset[str]] = {  # on the gateway, or on its clients' link
    "kill": frozenset((LOST, LATE)),
    "stop": frozenset((LOST, LATE)),
    "memory": frozenset((LOST, LATE)),
    "busy": frozenset((LATE,)),
    "delay": frozenset((LATE,)),
    "silent": frozenset((LOST, LATE)),
    "partition": frozenset((LOST, LATE)),
    "reset": frozenset((LOST,)),
    "lose": frozenset((LOST,)),
    "cut": frozenset((LOST,)),
    "refuse": frozenset((LOST,)),
}
AFTER_MS = 1500.0  # what a fault has spoilt is seen so much later at the most: a client gives up then


class Verdict(Struct, frozen=True):
    """What a play came to. ``outcomes`` add up to ``asked``."""

    asked: int
    outcomes: dict[str, int]
    excused: dict[str, int]
    attempts: int
    beyond: float  # units that were sent on beyond quotas
    broken: dict[str, int]
    told: list[str]
    late_ms: float  # by which the rig itself was late, at the most

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not self.broken


class Moment:
    """The clock of a history: as late as the record at hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def after(self, delay: float, *_: object) -> None:
        """Nothing runs here."""


class Request:
    """One request, as its client and the servers saw it."""

    def __init__(self, asked: seen.Asked, kind: api.RequestClass) -> None:
        self.asked = asked
        self.one = Try(f"{asked.id} at {asked.gateway}", kind, asked.t, asked.deadline, asked.units)
        self.out: dict[tuple[str, int], int] = {}  # attempts, by server and number, to the lab's number
        self.arrived = 0
        self.how = ""


class Judge:
    """Takes records in their order; ``verdict`` at the end."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.referee = Referee(world)
        self.clock = Moment()
        settings = world.settings(0)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.tariffs = {plan.name: plan for plan in world.tariffs}
        self.requests: dict[str, Request] = {}
        self.servers: dict[str, Server] = {}
        self.drained: dict[tuple[str, str], float] = {}  # gateway and server: told since
        self.quotas: dict[str, Store] = {}
        self.ceilings: dict[str, Store] = {}
        self.faults: dict[str, list[tuple[str, float, float]]] = {}  # by gateway: kind, from, until
        self.open: dict[tuple[int, str], int] = {}
        self.ended: dict[str, list[float]] = {}  # by gateway: when a process of it ended
        self.cut_short: list[tuple[Request, float]] = []  # sent on as their connection ended, and when
        self.late: list[tuple[float, float]] = []
        self.excused: Counter[str] = Counter()
        self.attempts = 0
        self.beyond = 0.0
        self.takes: dict[type, Callable[[Any], None]] = {
            seen.Asked: self._asked,
            seen.Answered: self._answered,
            seen.Arrived: self._arrived,
            seen.Left: self._left,
            seen.Extra: self._extra,
            seen.Late: self._lateness,
            seen.Act: self._act,
            seen.Process: self._process,
            seen.ServerIs: self._server,
            seen.Told: self._told,
            seen.Resent: self._resent,
        }

    def take(self, record: seen.Any) -> None:
        """The next record."""
        self.clock.now = max(self.clock.now, record.t)
        self.takes[type(record)](record)

    def _asked(self, record: seen.Asked) -> None:
        self.requests[record.id] = Request(record, self.kinds[record.kind])

    def _extra(self, record: seen.Extra) -> None:
        self.referee.breach("answers", f"{record.gateway}: one that nobody asked for")

    def _lateness(self, record: seen.Late) -> None:
        self.late.append((record.t, record.by))

    # ---- What is around

    def _server(self, record: seen.ServerIs) -> None:
        number = int(record.server.rpartition("-")[2])
        entry = api.ServerEntry(number, record.zone, state=api.ServerState(record.state))
        server = Server(self.clock, self.world.machines, entry, record.speed)
        server.started = record.started
        self.servers[record.server] = server
        if entry.state is api.ServerState.READY:
            for pair in [pair for pair in self.drained if pair[1] == record.server]:
                del self.drained[pair]
        else:
            for gateway in range(self.world.gateways):
                self.drained.setdefault((f"g{gateway}", record.server), record.t + TOLD_MS)

    def _told(self, record: seen.Told) -> None:
        pair = (record.gateway, record.server)
        if record.state != "ready" and pair in self.drained:
            self.drained[pair] = min(self.drained[pair], record.t)

    def _act(self, record: seen.Act) -> None:
        if record.do not in EXCUSES:
            return
        for name in record.on:
            gateway = name.partition(">")[2] if name.startswith("clients>") else name
            if ">" in gateway:
                continue  # towards servers, discovery, the admin endpoint: a gateway has to cope
            rows = self.faults.setdefault(gateway, [])
            if not record.undone:
                self.open[record.number, name] = len(rows)
                rows.append((record.do, record.t, inf if record.do != "kill" else record.t))
            elif (record.number, name) in self.open:
                row = self.open.pop((record.number, name))
                rows[row] = (record.do, rows[row][1], record.t)

    def _process(self, record: seen.Process) -> None:
        """One that ends with an error has crashed, unless it was made to; one that hung may be ended."""
        if record.state == "ended":
            self.ended.setdefault(record.gateway, []).append(record.t)
        ways = {do for do, _, _ in self.faults.get(record.gateway, ())}
        made_to = "memory" in ways or (record.code < 0 and ways & {"kill", "stop"})
        if record.state == "ended" and record.code and not made_to:
            self.referee.breach("crash", f"{record.gateway} ended with {record.code}")

    # ---- Requests

    def _resent(self, record: seen.Resent) -> None:
        """Judge what was forwarded before at the end.

        Only a process that has died may leave it so, and none that lives can know of it.
        """
        request = self.requests[record.id]
        if request.arrived:
            self.cut_short.append((request, record.t))
        request.one.copies.clear()

    def _arrived(self, record: seen.Arrived) -> None:
        self.attempts += 1
        request = self.requests.get(record.id)
        if request is None:
            self.referee.breach("attempts", f"{record.id} at {record.server}, which nobody asked")
            return
        drained = self.drained.get((record.gateway, record.server), inf) + SOCKETS_MS + self._lag(record.t)
        if request.arrived == 0:
            self._charge(request)
        request.arrived += 1
        number = request.one.sends
        self.referee.sent(
            request.one,
            self.servers[record.server],
            record.work,
            None if drained == inf else drained,
            record.t,
        )
        request.out[record.server, record.number] = number

    def _left(self, record: seen.Left) -> None:
        name, _, server = record.id.partition("@")
        request = self.requests.get(name)
        number = request.out.get((server, record.number)) if request else None
        if request and number is not None:
            self.referee.ended(request.one, number, api.Status(record.status))

    def _charge(self, request: Request) -> None:
        asked = request.asked
        tariff = self.tariffs[request.asked.plan]
        quota = self.quotas.setdefault(asked.customer, Store(tariff.rate, tariff.burst))
        if not quota.take(asked.units, self.clock.now):
            self.beyond += asked.units
        if tariff.ceiling_rate:
            store = self.ceilings.setdefault(asked.customer, Store(tariff.ceiling_rate, tariff.ceiling_burst))
            slack = tariff.ceiling_slack + tariff.ceiling_rate * 3.0 * SOCKETS_MS / 1000.0
            self.referee.drawn(request.one, store, slack, self.clock.now)

    def _answered(self, record: seen.Answered) -> None:
        request = self.requests[record.id]
        how = record.how
        request.how = how
        one = request.one
        if how == "foreign":
            self.referee.breach("answers", f"{one.name}: another's value")
        if how in ("cut", "none"):
            self._lost(request, record)
            return
        if how == "unheard":
            self._unheard(request, record)
            return
        limit = one.deadline + SOCKETS_MS + self._lag(record.t)
        if record.t > limit + SLACK and self._excuse(request, record.t, LATE):
            self.excused[LATE] += 1
            limit = record.t
        one.deadline = max(one.deadline, limit)
        self.referee.answered(one, how == "busy", record.t)

    def _lost(self, request: Request, record: seen.Answered) -> None:
        request.one.lost = True
        if self._excuse(request, record.t, LOST):
            self.excused[LOST] += 1
        elif record.how == "none" or request.arrived:
            self.referee.breach("lost", f"{request.one.name}: {record.how}")

    def _unheard(self, request: Request, record: seen.Answered) -> None:
        request.one.lost = True
        if self._excuse(request, record.t, LOST):
            self.excused["unheard"] += 1

    def _excuse(self, request: Request, until: float, what: str) -> bool:
        return any(
            what in EXCUSES[do] and begin <= until and request.asked.t <= end + AFTER_MS
            for do, begin, end in self.faults.get(request.asked.gateway, ())
        )

    def _lag(self, now: float) -> float:
        """By how much the rig was late lately: no gateway on this machine could be quicker."""
        return max((by for at, by in self.late[-50:] if at >= now - 2000.0), default=0.0)

    def verdict(self) -> Verdict:
        """The end of the history."""
        outcomes = Counter(request.how or "open" for request in self.requests.values())
        for request in self.requests.values():
            self.referee.over(request.one)
        for request, at in self.cut_short:
            ends = self.ended.get(request.asked.gateway, ())
            died = any(request.asked.t <= end <= at + AFTER_MS for end in ends)
            if not died and not self._excuse(request, at, LOST):
                self.referee.breach("lost", f"{request.one.name}: sent on, then its connection was closed")
        return Verdict(
            asked=len(self.requests),
            outcomes=dict(outcomes),
            excused=dict(self.excused),
            attempts=self.attempts,
            beyond=self.beyond,
            broken=dict(self.referee.broken),
            told=self.referee.told,
            late_ms=max((by for _, by in self.late), default=0.0),
        )


def judge(records: Iterable[seen.Any]) -> Verdict:
    """The verdict over a history. Raises ValueError where it has no header."""
    found: Judge | None = None
    for record in records:
        if isinstance(record, seen.Header):
            found = Judge(record.scenario.world)
        elif found is None:
            raise ValueError("no history: the first record is no header")
        else:
            found.take(record)
    if found is None:
        raise ValueError("no history: it is empty")
    return found.verdict()
