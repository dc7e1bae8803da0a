"""Drives gateways with random but legal events, to reach states that are rare in normal operation.

It obeys the rules for drivers of a gateway (one outcome for each attempt sent, timers when due, times that
never go back) and leaves everything else to chance: servers that fail, change and come back, customers over
their quota, settings that change in between, operators' commands, a hot restart.
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
MAX_SERVERS = 120
STATUSES = (*[api.Status.OK] * 12, *(status for status in api.Status if status is not api.Status.OK))
AttemptKey = tuple[str, int]
T = TypeVar("T")


def draw_settings(rng: random.Random) -> api.Settings:
    """Random settings with every kind of idempotency, quota and permission."""
    kinds = [
        (effect, scope)
        for effect in api.Idempotency
        for scope in api.IdempotencyScope
        if effect is api.Idempotency.WITH_KEY or scope is api.IdempotencyScope.ALL
    ]
    classes = tuple(
        api.RequestClass(
            f"k{n}",
            rng.choice((200.0, 500.0, 2000.0)),
            deadline_ms=4000.0,
            idempotency=effect,
            priority_weight=rng.choice((0.5, 1.0, 3.0)),
            idempotency_scope=scope,
            idempotency_window_ms=1500.0,
        )
        for n, (effect, scope) in enumerate(kinds)
    )
    plans = (
        api.Plan("rate", rate=rng.uniform(2.0, 40.0), burst=rng.uniform(2.0, 40.0)),
        api.Plan("thin", rate=1.0, burst=2.0, price=2.0),
        api.Plan("cap", max_in_flight=rng.randint(1, 8)),
        api.Plan(
            "both",
            rate=20.0,
            burst=20.0,
            max_in_flight=6,
            ceiling_rate=rng.uniform(5.0, 30.0),
            ceiling_burst=30.0,
        ),
        api.Plan("free"),
    )
    limits = api.Limits(
        max_attempts=rng.randint(1, 4),
        may_duplicate=rng.random() < 0.5,
        can_cancel=rng.random() < 0.7,
        can_advise_retry=rng.random() < 0.7,
        max_retry_after_ms=800.0,
    )
    contract = api.Contract(8.0, 500.0, rng.choice((0.2, 1.0)), 5000.0, 3.0, 2000.0, 10_000.0)
    return api.Settings(
        gateways=rng.randint(1, 6),
        index=0,
        zone="a",
        classes=classes,
        plans=plans,
        limits=limits,
        contract=contract,
        discovery=rng.choice(list(api.DiscoveryMode)),
        load_fields=("util", "queue"),
        meter_period_ms=1000.0,
        largest_units=6.0,
        settles=True,
        tick_ms=2.0,
        cross_zone_price=rng.choice((0.0, 0.05)),
        handshake_price=rng.choice((0.0, 0.02)),
    )


class RandomDriver:
    """Drives one gateway: clients, servers, operators and time, all drawn from one random generator."""

    def __init__(self, target: EventHandler, settings: api.Settings, rng: random.Random) -> None:
        self.target = target
        self.settings = settings
        self.initial_settings = settings
        self.rng = rng
        self.now_ms = 1000.0
        self.request_count = 0
        self.timers: list[tuple[float, int]] = []
        self.sent_count: dict[str, int] = {}  # attempts sent, by request
        self.attempts: dict[AttemptKey, tuple[int, float]] = {}  # in flight: server, time of sending
        self.finished: set[str] = set()  # requests with an answer begun or no client left
        self.servers = rng.choice((2, 8, 25, MAX_SERVERS))
        self.handed_over = False
        self.steps: list[tuple[int, Callable[[], None]]] = [
            (40, self._send_request),
            (40, self._end_attempt),
            (12, self._advance_time),
            (3, self._update_server_list),
            (2, self._disconnect_client),
            (2, self._change_idle_connection),
            (1, self._start_stream),
            (1, self._act_as_operator),
            (1, self._change_settings),
            (1, self._hot_restart),
            (1, self._send_unexpected_event),
        ]
        self._send_event(api.ServerList(api.ListKind.CACHED, tuple(map(self._entry, range(self.servers)))))

    def step(self) -> None:
        """Take one random step; some steps send no event."""
        weights, steps = zip(*self.steps, strict=True)
        self.rng.choices(steps, weights)[0]()

    def _send_event(self, event: api.Event) -> None:
        for action in self.target.handle(self.now_ms, event):
            if isinstance(action, api.SetTimer):
                heappush(self.timers, (self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, api.Send):
                number = self.sent_count.get(action.request_id, 0)
                self.sent_count[action.request_id] = number + 1
                self.attempts[action.request_id, number] = (action.server, self.now_ms)
            elif isinstance(action, (api.Reject, api.Fail)):
                self.finished.add(action.request_id)

    def _send_request(self) -> None:
        self.request_count += 1
        plan = self.rng.choice(self.initial_settings.plans)
        request_class = self.rng.choice(self.initial_settings.classes)
        number = min(int(self.rng.expovariate(0.2)), CUSTOMERS)
        self._send_event(
            api.Request(
                f"r{self.request_count}",
                request_class.name,
                plan.name,
                f"c{number}",
                self.rng.uniform(20.0, 4000.0),
                self.rng.choice((1.0, 1.0, 2.0, 6.0)),
                self.rng.randint(1, 6),
                0,
                self.rng.random() < 0.1,
            )
        )

    def _end_attempt(self) -> None:
        if not self.attempts:
            return
        key = self.rng.choice(list(self.attempts)[:20])
        server, sent_ms = self.attempts.pop(key)
        status = self.rng.choice(STATUSES)
        request_id = key[0]
        if status is api.Status.OK:
            self.finished.add(request_id)
        used_percent = self.rng.choice((None, 20.0, 90.0, 180.0))
        cost = self.rng.choice((None, 1.0, 50.0)) if status is api.Status.OK else None
        load = (0.5, self.rng.choice((0.0, 4.0))) if self.rng.random() < 0.3 else None
        latency_ms = self.rng.choice((1.0, 1.0, 20.0)) * (self.now_ms - sent_ms)
        self._send_event(
            api.AttemptEnded(
                request_id,
                key[1],
                server,
                status,
                latency_ms,
                request_id in self.finished,
                used_percent,
                cost,
                load,
            )
        )

    def _advance_time(self) -> None:
        self.now_ms += self.rng.choice((1.0, 15.0, 15.0, 120.0, 900.0))
        while self.timers and self.timers[0][0] <= self.now_ms:
            self._send_event(api.TimerFired(heappop(self.timers)[1]))

    def _entry(self, number: int) -> api.ServerEntry:
        started_ms = self.rng.choice((0.0, 0.0, 0.0, max(0.0, self.now_ms - self.rng.uniform(0.0, 6000.0))))
        state = self.rng.choice((*[api.ServerState.READY] * 8, *api.ServerState))
        return api.ServerEntry(
            number, ZONES[number % len(ZONES)], cell=number % 5, state=state, started_ms=started_ms
        )

    def _update_server_list(self) -> None:
        kind = self.rng.choice((*[api.ListKind.CHANGES] * 5, *api.ListKind))
        numbers = range(self.servers)
        subset = self.rng.sample(numbers, min(3, self.servers)) if kind is api.ListKind.CHANGES else numbers
        entries = () if kind is api.ListKind.FAILED else tuple(map(self._entry, subset))
        self._send_event(api.ServerList(kind, entries))

    def _disconnect_client(self) -> None:
        if self.request_count:
            request_id = f"r{self.rng.randint(max(1, self.request_count - 30), self.request_count)}"
            self.finished.add(request_id)
            self._send_event(api.ClientDisconnected(request_id))

    def _start_stream(self) -> None:
        if self.attempts:
            request_id, number = self.rng.choice(list(self.attempts))
            server, sent_ms = self.attempts[request_id, number]
            self.finished.add(request_id)
            self._send_event(api.StreamStarted(request_id, number, server, self.now_ms - sent_ms))

    def _change_idle_connection(self) -> None:
        self._send_event(api.IdleConnectionChanged(self.rng.randrange(self.servers), self.rng.random() < 0.6))

    def _act_as_operator(self) -> None:
        if self.rng.random() < 0.7:
            self._send_event(api.ServerAdminDown(self.rng.randrange(self.servers), self.rng.random() < 0.5))
        else:
            self._send_event(api.DrainChanged(self.rng.random() < 0.4))

    def _change_settings(self) -> None:
        """Change numbers, and remove or restore classes and plans; the first of each stays."""

        def scaled(plan: api.Plan) -> api.Plan:
            factor = self.rng.choice((0.5, 1.0, 2.0))
            max_in_flight = max(1, int(plan.max_in_flight * factor)) if plan.max_in_flight else 0
            return replace(
                plan,
                rate=plan.rate * factor,
                max_in_flight=max_in_flight,
                ceiling_rate=plan.ceiling_rate * factor,
                ceiling_burst=plan.ceiling_burst * factor,
            )

        def subset(items: tuple[T, ...]) -> tuple[T, ...]:
            return tuple(item for n, item in enumerate(items) if not n or self.rng.random() < 0.8)

        plans = tuple(map(scaled, subset(self.initial_settings.plans)))
        classes = subset(self.initial_settings.classes)
        self.settings = replace(
            self.initial_settings, gateways=self.rng.randint(1, 6), plans=plans, classes=classes
        )
        self._send_event(api.SettingsChanged(self.settings))

    def _send_unexpected_event(self) -> None:
        """Send an invalid or unrequested event, which must neither crash the gateway nor be counted."""
        server = self.rng.randrange(2 * self.servers)
        request_id = f"r{max(1, self.request_count)}"
        self._send_event(
            self.rng.choice(
                (
                    api.HealthCheckResult(server, api.Status.OK, 5.0, (0.1, 3.0)),
                    api.GatewayMessage(1, b"x"),
                    api.CounterResult(1, api.Status.OK, 2.0, 3.0),
                    api.TimerFired(10**9),
                    api.AttemptEnded("nobody", 0, server, api.Status.OK, 5.0),
                    api.StreamStarted("nobody", 0, server, 5.0),
                    api.Request(request_id, "k0", "free", "c1", 500.0),
                    api.Request("x", "unknown", "free", "c1", 500.0),
                )
            )
        )

    def stop(self) -> None:
        """Begin the gateway's shutdown, while requests keep arriving for some steps."""
        self._send_event(api.ShutdownBegun(1500.0))
        for _ in range(50):
            self.step()
        for _ in range(10):
            self._advance_time()

    def _hot_restart(self) -> None:
        """Begin a hot restart; during one, report the other process's usage, or its exit, which ends it."""
        if not self.handed_over:
            self._send_event(api.HotRestartBegun())
        elif self.rng.random() < 0.5:
            self._send_event(
                api.PeerUsage("rate", f"c{self.rng.randrange(5)}", self.rng.randrange(3), 1.5, 60.0)
            )
            return
        else:
            self._send_event(api.PeerExited())
        self.handed_over = not self.handed_over


def drive(create_gateway: GatewayFactory, seed: int, gateways: int, steps: int) -> None:
    """Drive this many gateways, one after the other, with this many steps each."""
    for number in range(gateways):
        rng = random.Random(seed * 1_000_003 + number)
        settings = draw_settings(rng)
        driver = RandomDriver(create_gateway(f"g{number}", settings, rng.getrandbits(32)), settings, rng)
        for _ in range(steps):
            driver.step()
        driver.stop()
