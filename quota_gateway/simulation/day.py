"""A day in virtual time: clients and a front, many real decision modules, servers, discovery, troubles.

Each model draws from a stream of its own, so that a change in one leaves the others' draws as they were;
arrivals are drawn ahead of answers. A day holds no state but its own: the same seed gives the same result.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import msgspec
import numpy as np

from quota_gateway import Gateway, api
from quota_gateway.simulation.models import Clock, Job, Meter, Server, Store
from quota_gateway.simulation.referee import Ledger, Referee, Try
from quota_gateway.simulation.world import Kind, Tariff, Trouble, World
from quota_gateway.simulator_adapter import EventHandler
from quota_gateway.state import GiveUpReason

NOTICED = 1000.0  # ms after which the front sends nobody to a dead gateway
RECONNECT = 5.0  # ms that a client takes to try the next gateway when one is dead
PAUSE = 150.0  # ms, the mean before a client comes again where it is advised nothing
STREAMS = ("arrivals", "work", "front", "clients", "servers", "troubles", "gateways")
Make = Callable[[api.Settings, int], EventHandler]


class Result(msgspec.Struct, frozen=True):
    """Result of a day.

    ``ledger`` is in thousandths of worth, and its lines add up to ``offered``: the worth of the first
    attempts that a single gateway which saw them all would admit.
    """

    seed: int
    offered: int
    ledger: dict[str, int]
    broken: dict[str, int]
    told: list[str]
    requests: int
    attempts: int
    busiest: float  # requests served by the busiest server, over the mean

    @property
    def served(self) -> float:
        """The share of the worth offered that was served in time."""
        return self.ledger.get(IN_TIME, 0) / self.offered if self.offered else 0.0


IN_TIME = "served in time"
LATE = "served late"
BEYOND = "beyond the quota"


class Customer:
    """A customer over all gateways: its quota, its ceiling, its meter, and the gateways of its set."""

    def __init__(self, world: World, name: str, tariff: Tariff, first: int, heavy: bool) -> None:
        self.name = name
        self.tariff = tariff
        self.first = first
        self.width = min(tariff.spread, world.gateways)
        self.quota = Store(tariff.rate, tariff.burst)
        self.fair = Store(tariff.rate, tariff.burst)  # what one gateway that saw all first tries would let in
        self.ceiling = Store(tariff.ceiling_rate, tariff.ceiling_burst) if tariff.ceiling_rate else None
        self.meter = Meter(tariff, world.meter_period, world.meter_late)
        self.rate = tariff.rate * (tariff.heavy_use if heavy else tariff.use)  # asked, in requests a second


class Wish:
    """A client's request with all its tries, and the work it is."""

    __slots__ = ("name", "customer", "kind", "work", "tries")

    def __init__(self, name: str, customer: Customer, kind: Kind, work: float) -> None:
        self.name = name
        self.customer = customer
        self.kind = kind
        self.work = work
        self.tries = 0


class Node:
    """One gateway's machine: its process, its timers, its requests, and what it was told of servers."""

    def __init__(self, day: Day, index: int) -> None:
        self.day = day
        self.index = index
        self.life = 0
        self.up = False
        self.died = -1e9
        self.tries: dict[str, tuple[Try, Wish]] = {}
        self.drained: dict[int, float] = {}
        self.out: dict[tuple[str, int], tuple[int, float, Job]] = {}
        self.start()

    def start(self) -> None:
        """A process starts from nothing but the list it last had."""
        if self.up:
            return  # two troubles met it: it is back already
        day = self.day
        self.life += 1
        self.up = True
        seed = int(day.draw["gateways"].integers(2**32))
        self.gateway = day.make(day.world.settings(self.index), seed)
        self.why = ""
        if isinstance(self.gateway, Gateway):
            self._listen(self.gateway)
        self.tell(api.ListKind.CACHED, tuple(server.entry for server in day.servers.values()))

    def _listen(self, gateway: Gateway) -> None:
        """Hear why the decisions give a request up: they count it just before they answer."""
        count = gateway.responses.count_given_up

        def heard(reason: GiveUpReason, plan: api.Plan) -> None:
            self.why = reason
            count(reason, plan)

        gateway.responses.count_given_up = heard  # type: ignore[method-assign]

    def kill(self) -> None:
        """The process dies with all that it has in hand."""
        if not self.up:
            return
        self.up = False
        self.died = self.day.clock.now
        for one, wish in self.tries.values():
            one.lost = True
            if not one.answers:
                self.day.after_answer(wish, "failed: gateway died", None)
        for _, _, job in self.out.values():
            job.gone = True
        self.tries.clear()
        self.out.clear()
        self.drained.clear()

    def tell(self, kind: api.ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        """Discovery's news."""
        if not self.up:
            return
        for entry in entries:
            if entry.state is api.ServerState.READY:
                self.drained.pop(entry.server, None)
            else:
                self.drained.setdefault(entry.server, self.day.clock.now)
        self.do(api.ServerList(kind, entries))

    def take(self, one: Try, wish: Wish, retry: bool) -> None:
        """A client's request."""
        customer = wish.customer
        self.tries[one.name] = (one, wish)
        patience = one.deadline - one.taken
        self.do(
            api.Request(
                one.name,
                wish.kind.name,
                customer.tariff.name,
                customer.name,
                patience,
                one.units,
                customer.width,
                customer.first,
                retry,
            )
        )

    def do(self, event: api.Event) -> None:
        """Hand an event to the decisions, and carry out what they want."""
        day = self.day
        life = self.life
        for action in self.gateway.handle(day.clock.now, event):
            if isinstance(action, api.SetTimer):
                day.clock.after(action.delay_ms, self._fire, life, action.token)
            elif isinstance(action, api.Send):
                self._send(*self.tries[action.request_id], action.server)
            elif isinstance(action, (api.Reject, api.Fail)):
                self._answer(action)
            elif isinstance(action, api.Cancel) and action.request_id in self.tries:
                one = self.tries[action.request_id][0]
                day.clock.after(0.0, self._end, one, action.attempt, api.Status.CANCELLED)

    def _fire(self, life: int, token: int) -> None:
        if life == self.life and self.up:
            self.do(api.TimerFired(token))

    def _send(self, one: Try, wish: Wish, number: int) -> None:
        day = self.day
        clock = self.day.clock
        server = day.servers[number]
        attempt = one.sends
        now = clock.now
        if attempt == 0:
            customer = wish.customer
            one.inside = customer.quota.take(one.units, now)
            customer.meter.add(one.units, now)
            if customer.ceiling:
                day.referee.drawn(one, customer.ceiling, customer.tariff.ceiling_slack, now)
        day.referee.sent(one, server, wish.work, self.drained.get(number), now)
        day.attempts += 1
        way = day.way(self.index, server)
        job = Job(wish.work, lambda status: clock.after(way, self._end, one, attempt, status))
        self.out[one.name, attempt] = (number, now, job)
        clock.after(way, server.take, job)
        clock.after(one.deadline - now, self._end, one, attempt, api.Status.TIMEOUT)

    def _end(self, one: Try, attempt: int, status: api.Status) -> None:
        """An attempt's outcome, once: the first of its answer, its time-out and its being given up."""
        found = self.out.pop((one.name, attempt), None)
        if found is None:
            return  # ended before, or with the process that sent it
        number, sent, job = found
        job.gone = True
        day = self.day
        now = self.day.clock.now
        wish = self.tries[one.name][1]
        one.ended += 1
        day.referee.ended(one, attempt, status)
        good = status is api.Status.OK
        if good and not one.answers:
            day.referee.answered(one, False, now)
            day.served(wish, one)
        told = good or status in (api.Status.ERROR, api.Status.OVERLOADED)
        used = wish.customer.meter.told(now) if told else None
        self.do(api.AttemptEnded(one.name, attempt, number, status, now - sent, bool(one.answers), used))
        self._drop_if_done(one)

    def _answer(self, action: api.Reject | api.Fail) -> None:
        refused = isinstance(action, api.Reject)
        now = self.day.clock.now
        if action.request_id not in self.tries:
            self.day.referee.answered(self.day.tries[action.request_id], refused, now)  # once too often
            return
        one, wish = self.tries[action.request_id]
        self.day.referee.answered(one, refused, now)
        if one.answers == 1:
            advice = action.retry_after_ms if isinstance(action, api.Reject) else 0.0
            self.day.after_answer(wish, f"{'refused' if refused else 'failed'}: {self.why}", advice)
        self._drop_if_done(one)

    def _drop_if_done(self, one: Try) -> None:
        if one.answers and one.ended == one.sends:
            self.tries.pop(one.name, None)


class Day:
    """All of it. ``make`` builds a gateway from settings and a seed."""

    def __init__(self, world: World, seed: int, make: Make = Gateway) -> None:
        self.world = world
        self.seed = seed
        self.make = make
        streams = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.draw = {name: np.random.default_rng(s) for name, s in zip(STREAMS, streams, strict=True)}
        self.clock = Clock()
        self.referee = Referee(world)
        self.ledger = Ledger()
        self.requests = self.attempts = 0
        self.classes = {kind.name: kind for kind in world.settings(0).classes}
        weights = np.array([kind.weight for kind in world.kinds])
        self.parts = weights / weights.sum()
        self.slowest = max(kind.deadline for kind in world.kinds)
        self.asking = 1.0  # times as much as usual
        self.over = False  # nobody asks any more
        self.tries: dict[str, Try] = {}  # all of the day
        self.servers = {number: self._server(number) for number in range(world.machines.count)}
        self.weights = self.draw["front"].gamma(3.0, size=world.gateways)  # how much each gateway gets
        self.nodes = [Node(self, index) for index in range(world.gateways)]
        self.customers = list(self._customers())

    def _server(self, number: int) -> Server:
        machines = self.world.machines
        speed = float(self.draw["servers"].uniform(machines.slowest, machines.fastest))
        entry = api.ServerEntry(number, self.world.zones[number % len(self.world.zones)], cell=number % 4)
        return Server(self.clock, machines, entry, speed)

    def _customers(self) -> Iterator[Customer]:
        for tariff in self.world.tariffs:
            for number in range(tariff.customers):
                first = int(self.draw["front"].integers(self.world.gateways))
                heavy = bool(self.draw["front"].random() < tariff.heavy)
                yield Customer(self.world, f"{tariff.name}-{number}", tariff, first, heavy)

    def run(self) -> Result:
        """Play it to the end, and what was asked in it to its answers."""
        length = 1000.0 * self.world.seconds
        for trouble in self.world.troubles:
            self.clock.after(1000.0 * trouble.at_s, self._trouble, trouble)
        for customer in self.customers:
            self._next(customer)
        self.clock.run(length)
        self.over = True
        self.clock.run(length + 3.0 * self.slowest + 5000.0)
        for one in self.tries.values():
            self.referee.over(one)
        self.ledger.close()
        loads = [server.served for server in self.servers.values()]
        mean = sum(loads) / len(loads)
        return Result(
            self.seed,
            self.ledger.offered,
            dict(sorted(self.ledger.lines.items())),
            dict(sorted(self.referee.broken.items())),
            self.referee.told,
            self.requests,
            self.attempts,
            max(loads) / mean if mean else 0.0,
        )

    # ---- Clients and the front

    def _next(self, customer: Customer) -> None:
        gap = 1000.0 * float(self.draw["arrivals"].exponential(1.0 / customer.rate))
        self.clock.after(gap / self.asking, self._wish, customer)

    def _wish(self, customer: Customer) -> None:
        if self.over:
            return
        kind = self.world.kinds[int(self.draw["arrivals"].choice(len(self.parts), p=self.parts))]
        work = float(self.draw["work"].exponential(kind.work))
        self.requests += 1
        wish = Wish(f"w{self.requests}", customer, kind, work)
        if customer.fair.take(1.0, self.clock.now):  # what is asked beyond it is worth nothing to anybody
            self.ledger.wish(wish.name, kind.worth * customer.tariff.price)
        self._try(wish)
        self._next(customer)

    def _try(self, wish: Wish) -> None:
        """A try at one gateway of the customer's set, those that get more oftener; dead ones cost time."""
        customer = wish.customer
        now = self.clock.now
        members = [(customer.first + n) % self.world.gateways for n in range(customer.width)]
        known = [n for n in members if self.nodes[n].up or now - self.nodes[n].died < NOTICED]
        if not known:
            self.ledger.book(wish.name, "failed: no gateway of its set is up")
            return
        weights = self.weights[known]
        node = self.nodes[known[int(self.draw["clients"].choice(len(known), p=weights / weights.sum()))]]
        if not node.up:
            self.clock.after(RECONNECT, self._try, wish)
            return
        wish.tries += 1
        kind = self.classes[wish.kind.name]
        one = Try(f"{wish.name}.{wish.tries}", kind, now, now + kind.deadline_ms, 1.0)
        self.tries[one.name] = one
        node.take(one, wish, wish.tries > 1)

    def served(self, wish: Wish, one: Try) -> None:
        """A good answer has gone to the client."""
        late = self.clock.now - one.taken > wish.kind.aim
        self.ledger.book(wish.name, BEYOND if not one.inside else LATE if late else IN_TIME)

    def after_answer(self, wish: Wish, why: str, advice: float | None) -> None:
        """Refused or failed: the client comes again, or gives up."""
        come_again = self.draw["clients"].random() < self.world.again
        if not come_again or wish.tries >= self.world.tries or self.over:
            self.ledger.book(wish.name, why)
            return
        pause = float(self.draw["clients"].exponential(PAUSE))
        self.clock.after(max(advice or 0.0, pause), self._try, wish)

    # ---- Servers, discovery, network

    def way(self, gateway: int, server: Server) -> float:
        """One way between a gateway and a server."""
        same = self.world.zones[gateway % len(self.world.zones)] == server.entry.zone
        return self.world.near if same else self.world.far

    def tell(self, server: Server) -> None:
        """Discovery tells every gateway of a server, each at its own time."""
        for node in self.nodes:
            late = float(self.draw["servers"].uniform(0.3, 1.0)) * self.world.list_late
            self.clock.after(late, node.tell, api.ListKind.CHANGES, (server.entry,))

    # ---- Troubles

    def _trouble(self, trouble: Trouble) -> None:
        lasts = 1000.0 * trouble.for_s
        draw = self.draw["troubles"]
        if trouble.kind == "burst":
            self.asking = trouble.factor
            self.clock.after(lasts, setattr, self, "asking", 1.0)
        elif trouble.kind == "kill":
            for index in draw.permutation(len(self.nodes))[: round(trouble.share * len(self.nodes))]:
                self.nodes[index].kill()
                self.clock.after(self.world.down + float(draw.uniform(0.0, lasts)), self.nodes[index].start)
        else:
            servers = [s for s in self.servers.values() if trouble.zone in ("", s.entry.zone)]
            share = 1.0 if trouble.zone else trouble.share
            for index in draw.permutation(len(servers))[: round(share * len(servers))]:
                self._trouble_at(trouble, servers[index], lasts)

    def _trouble_at(self, trouble: Trouble, server: Server, lasts: float) -> None:
        if trouble.kind == "release":
            at = float(self.draw["troubles"].uniform(0.0, lasts))
            self.clock.after(at, self._drain, server)
            return
        name, value = {
            "slow": ("slow", trouble.factor),
            "fail": ("failing", True),
            "silent": ("silent", True),
        }[trouble.kind]
        before = getattr(server, name)
        setattr(server, name, value)
        self.clock.after(lasts, setattr, server, name, before)

    def _drain(self, server: Server) -> None:
        """It wants nothing new, and starts anew once the longest request it may have is over."""
        server.entry = replace(server.entry, state=api.ServerState.DRAINING)
        self.tell(server)
        self.clock.after(self.slowest + self.world.list_late, self._back, server)

    def _back(self, server: Server) -> None:
        server.restart()
        server.entry = replace(server.entry, state=api.ServerState.READY, started_ms=self.clock.now)
        self.tell(server)
