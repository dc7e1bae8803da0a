"""A driver of random events: legal whatever it draws, and meant to reach what a standard day seldom does.

It keeps what a driver owes the decisions (one outcome for each send, timers when due, times that never go
back) and leaves everything else to chance: servers that fail, change and come back, customers over their
quota, settings that change in between, operators, a handover.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from typing import TypeVar

from quota_gateway import api
from quota_gateway.simulator_adapter import EventHandler, GatewayFactory

ZONES = "abc"
CUSTOMERS = 40
MOST_SERVERS = 120
ENDS = (*[api.Status.OK] * 12, *(status for status in api.Status if status is not api.Status.OK))
Key = tuple[str, int]
T = TypeVar("T")


def draw_settings(draw: random.Random) -> api.Settings:
    """Settings with every kind of class, quota and permission."""
    kinds = [
        (effect, scope)
        for effect in api.Idempotency
        for scope in api.IdempotencyScope
        if effect is api.Idempotency.WITH_KEY or scope is api.IdempotencyScope.ALL
    ]
    classes = tuple(
        api.RequestClass(
            f"k{n}",
            draw.choice((200.0, 500.0, 2000.0)),
            deadline_ms=4000.0,
            idempotency=effect,
            priority_weight=draw.choice((0.5, 1.0, 3.0)),
            idempotency_scope=scope,
            idempotency_window_ms=1500.0,
        )
        for n, (effect, scope) in enumerate(kinds)
    )
    plans = (
        api.Plan("rate", rate=draw.uniform(2.0, 40.0), burst=draw.uniform(2.0, 40.0)),
        api.Plan("thin", rate=1.0, burst=2.0, price=2.0),
        api.Plan("cap", max_in_flight=draw.randint(1, 8)),
        api.Plan(
            "both",
            rate=20.0,
            burst=20.0,
            max_in_flight=6,
            ceiling_rate=draw.uniform(5.0, 30.0),
            ceiling_burst=30.0,
        ),
        api.Plan("free"),
    )
    limits = api.Limits(
        max_attempts=draw.randint(1, 4),
        may_duplicate=draw.random() < 0.5,
        can_cancel=draw.random() < 0.7,
        can_advise_retry=draw.random() < 0.7,
        max_retry_after_ms=800.0,
    )
    contract = api.Contract(8.0, 500.0, draw.choice((0.2, 1.0)), 5000.0, 3.0, 2000.0, 10_000.0)
    return api.Settings(
        gateways=draw.randint(1, 6),
        index=0,
        zone="a",
        classes=classes,
        plans=plans,
        limits=limits,
        contract=contract,
        discovery=draw.choice(list(api.DiscoveryMode)),
        load_fields=("util", "queue"),
        meter_period_ms=1000.0,
        largest_units=6.0,
        settles=True,
        tick_ms=2.0,
        cross_zone_price=draw.choice((0.0, 0.05)),
        handshake_price=draw.choice((0.0, 0.02)),
    )


class World:
    """One gateway and what is around it, all drawn from one source of chance."""

    def __init__(self, target: EventHandler, settings: api.Settings, draw: random.Random) -> None:
        self.target = target
        self.settings = settings
        self.first = settings
        self.draw = draw
        self.now = 1000.0
        self.asked = 0
        self.timers: list[tuple[float, int]] = []
        self.sends: dict[str, int] = {}
        self.out: dict[Key, tuple[int, float]] = {}
        self.closed: set[str] = set()
        self.servers = draw.choice((2, 8, 25, MOST_SERVERS))
        self.handed = False
        self.steps: list[tuple[int, Callable[[], None]]] = [
            (40, self._ask),
            (40, self._end),
            (12, self._wait),
            (3, self._list),
            (2, self._leave),
            (2, self._link),
            (1, self._stream),
            (1, self._by_hand),
            (1, self._change),
            (1, self._upgrade),
            (1, self._odd),
        ]
        self._do(api.ServerList(api.ListKind.CACHED, tuple(map(self._entry, range(self.servers)))))

    def step(self) -> None:
        """One of the things that may happen; some give rise to no event at all."""
        weights, steps = zip(*self.steps, strict=True)
        self.draw.choices(steps, weights)[0]()

    def _do(self, event: api.Event) -> None:
        for action in self.target.handle(self.now, event):
            if isinstance(action, api.SetTimer):
                heappush(self.timers, (self.now + action.delay_ms, action.token))
            elif isinstance(action, api.Send):
                number = self.sends.get(action.request_id, 0)
                self.sends[action.request_id] = number + 1
                self.out[action.request_id, number] = (action.server, self.now)
            elif isinstance(action, (api.Reject, api.Fail)):
                self.closed.add(action.request_id)

    def _ask(self) -> None:
        self.asked += 1
        plan = self.draw.choice(self.first.plans)
        kind = self.draw.choice(self.first.classes)
        number = min(int(self.draw.expovariate(0.2)), CUSTOMERS)
        self._do(
            api.Request(
                f"r{self.asked}",
                kind.name,
                plan.name,
                f"c{number}",
                self.draw.uniform(20.0, 4000.0),
                self.draw.choice((1.0, 1.0, 2.0, 6.0)),
                self.draw.randint(1, 6),
                0,
                self.draw.random() < 0.1,
            )
        )

    def _end(self) -> None:
        if not self.out:
            return
        key = self.draw.choice(list(self.out)[:20])
        server, sent = self.out.pop(key)
        status = self.draw.choice(ENDS)
        name = key[0]
        if status is api.Status.OK:
            self.closed.add(name)
        used = self.draw.choice((None, 20.0, 90.0, 180.0))
        cost = self.draw.choice((None, 1.0, 50.0)) if status is api.Status.OK else None
        load = (0.5, self.draw.choice((0.0, 4.0))) if self.draw.random() < 0.3 else None
        took = self.draw.choice((1.0, 1.0, 20.0)) * (self.now - sent)
        self._do(api.AttemptEnded(name, key[1], server, status, took, name in self.closed, used, cost, load))

    def _wait(self) -> None:
        self.now += self.draw.choice((1.0, 15.0, 15.0, 120.0, 900.0))
        while self.timers and self.timers[0][0] <= self.now:
            self._do(api.TimerFired(heappop(self.timers)[1]))

    def _entry(self, number: int) -> api.ServerEntry:
        started = self.draw.choice((0.0, 0.0, 0.0, max(0.0, self.now - self.draw.uniform(0.0, 6000.0))))
        state = self.draw.choice((*[api.ServerState.READY] * 8, *api.ServerState))
        return api.ServerEntry(
            number, ZONES[number % len(ZONES)], cell=number % 5, state=state, started_ms=started
        )

    def _list(self) -> None:
        kind = self.draw.choice((*[api.ListKind.CHANGES] * 5, *api.ListKind))
        numbers = range(self.servers)
        some = self.draw.sample(numbers, min(3, self.servers)) if kind is api.ListKind.CHANGES else numbers
        entries = () if kind is api.ListKind.FAILED else tuple(map(self._entry, some))
        self._do(api.ServerList(kind, entries))

    def _leave(self) -> None:
        if self.asked:
            name = f"r{self.draw.randint(max(1, self.asked - 30), self.asked)}"
            self.closed.add(name)
            self._do(api.ClientDisconnected(name))

    def _stream(self) -> None:
        if self.out:
            name, number = self.draw.choice(list(self.out))
            server, sent = self.out[name, number]
            self.closed.add(name)
            self._do(api.StreamStarted(name, number, server, self.now - sent))

    def _link(self) -> None:
        self._do(api.IdleConnectionChanged(self.draw.randrange(self.servers), self.draw.random() < 0.6))

    def _by_hand(self) -> None:
        if self.draw.random() < 0.7:
            self._do(api.ServerAdminDown(self.draw.randrange(self.servers), self.draw.random() < 0.5))
        else:
            self._do(api.DrainChanged(self.draw.random() < 0.4))

    def _change(self) -> None:
        """Other numbers, and some classes and plans gone or back; the first of each stays."""

        def other(plan: api.Plan) -> api.Plan:
            factor = self.draw.choice((0.5, 1.0, 2.0))
            cap = max(1, int(plan.max_in_flight * factor)) if plan.max_in_flight else 0
            return replace(
                plan,
                rate=plan.rate * factor,
                max_in_flight=cap,
                ceiling_rate=plan.ceiling_rate * factor,
                ceiling_burst=plan.ceiling_burst * factor,
            )

        def some(items: tuple[T, ...]) -> tuple[T, ...]:
            return tuple(item for n, item in enumerate(items) if not n or self.draw.random() < 0.8)

        plans = tuple(map(other, some(self.first.plans)))
        kinds = some(self.first.classes)
        self.settings = replace(self.first, gateways=self.draw.randint(1, 6), plans=plans, classes=kinds)
        self._do(api.SettingsChanged(self.settings))

    def _odd(self) -> None:
        """What nobody should send, or nobody asked for: it must neither crash nor count."""
        server = self.draw.randrange(2 * self.servers)
        name = f"r{max(1, self.asked)}"
        self._do(
            self.draw.choice(
                (
                    api.HealthCheckResult(server, api.Status.OK, 5.0, (0.1, 3.0)),
                    api.GatewayMessage(1, b"x"),
                    api.CounterResult(1, api.Status.OK, 2.0, 3.0),
                    api.TimerFired(10**9),
                    api.AttemptEnded("nobody", 0, server, api.Status.OK, 5.0),
                    api.StreamStarted("nobody", 0, server, 5.0),
                    api.Request(name, "k0", "free", "c1", 500.0),
                    api.Request("x", "unknown", "free", "c1", 500.0),
                )
            )
        )

    def stop(self) -> None:
        """The gateway is to end, and requests go on coming for a while."""
        self._do(api.ShutdownBegun(1500.0))
        for _ in range(50):
            self.step()
        for _ in range(10):
            self._wait()

    def _upgrade(self) -> None:
        """The next process takes over, or this one hears of the one before; then it goes on alone."""
        if not self.handed:
            self._do(api.HotRestartBegun())
        elif self.draw.random() < 0.5:
            self._do(api.PeerUsage("rate", f"c{self.draw.randrange(5)}", self.draw.randrange(3), 1.5, 60.0))
            return
        else:
            self._do(api.PeerExited())
        self.handed = not self.handed


def drive(make: GatewayFactory, seed: int, gateways: int, steps: int) -> None:
    """Drive so many gateways, one after the other, so many steps each."""
    for number in range(gateways):
        draw = random.Random(seed * 1_000_003 + number)
        settings = draw_settings(draw)
        world = World(make(f"g{number}", settings, draw.getrandbits(32)), settings, draw)
        for _ in range(steps):
            world.step()
        world.stop()
