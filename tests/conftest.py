"""The test rig of the policy's tests: a gateway without sockets, on a simulated clock."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from quota_gateway import (
    AttemptEnded,
    Contract,
    Fail,
    Gateway,
    Idempotency,
    IdempotencyScope,
    Limits,
    ListKind,
    Plan,
    Reject,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Status,
    TimerFired,
)
from quota_gateway.net.servers import pool
from quota_gateway.state_machine import illegal_transitions

CLASSES = (
    RequestClass("safe", 2000.0, 4000.0, Idempotency.IDEMPOTENT, priority_weight=1.0),
    RequestClass("brief", 500.0, 4000.0, Idempotency.IDEMPOTENT),
    RequestClass(
        "keyed",
        1000.0,
        4000.0,
        Idempotency.WITH_KEY,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window_ms=3000.0,
    ),
    RequestClass(
        "keyed-all",
        1000.0,
        4000.0,
        Idempotency.WITH_KEY,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window_ms=3000.0,
    ),
    RequestClass(
        "keyed-cell",
        1000.0,
        4000.0,
        Idempotency.WITH_KEY,
        idempotency_scope=IdempotencyScope.CELL,
        idempotency_window_ms=3000.0,
    ),
    RequestClass("unsafe", 1000.0, 4000.0, Idempotency.NOT_IDEMPOTENT, priority_weight=3.0),
)
PLANS = (
    Plan("metered", rate=10.0, burst=8.0),
    Plan("capped", rate=10.0, burst=100.0, max_in_flight=4),
    Plan("ceiling", rate=100.0, burst=1000.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0),
    Plan("free"),
    Plan("only-cap", max_in_flight=2),
    Plan("capped-wide", max_in_flight=60),
)
SETTINGS = Settings(
    gateways=2,
    index=0,
    zone="a",
    classes=CLASSES,
    plans=PLANS,
    limits=Limits(max_attempts=3, can_cancel=True),
    contract=Contract(8.0, 500.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    meter_period_ms=1000.0,
    largest_units=4,
    tick_ms=2.0,
)


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests() -> set[str]:
    """The tests that KNOWN-RED.txt lists, one a line."""
    return {line.strip() for line in KNOWN_RED.read_text().splitlines() if line.startswith("tests/")}


def pytest_collection_modifyitems(items) -> None:
    """Run the known failing tests, but let their failures pass; the summary prints them (``-rxX``)."""
    known = known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


@pytest.fixture(autouse=True)
def illegal_transitions_raise(monkeypatch):
    """A transition that is in no transition table raises in tests; in production it is logged and counted."""
    monkeypatch.setattr(illegal_transitions, "raises", True)


class Rig:
    """A test rig: one gateway, its simulated clock and timers, the attempts sent and the answers given.

    ``sent`` has the servers of a request's attempts, by request id; ``answers`` has "Ok", "Reject" or "Fail".
    """

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1) -> None:
        self.gateway, self.now = Gateway(settings, seed), 1000.0
        self.settings = settings
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[str, list[int]] = {}
        self.answers: dict[str, str] = {}
        self.count = 0

    def handle(self, event) -> list:
        """Pass an event to the gateway, record the actions that it returns, and return them."""
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, Send):
                assert action.request_id not in self.answers, "attempt sent after the request's answer"
                self.sent.setdefault(action.request_id, []).append(action.server)
            elif isinstance(action, (Reject, Fail)):
                assert action.request_id not in self.answers, "request answered twice"
                self.answers[action.request_id] = type(action).__name__
        return actions

    def servers(self, *entries: ServerEntry, kind: ListKind = ListKind.COMPLETE) -> list:
        """Pass a list of servers to the gateway."""
        return self.handle(ServerList(kind, entries))

    def ask(
        self, plan="free", class_name="safe", customer="c", client_timeout_ms=4000.0, units=1, width=2
    ) -> str:
        """Pass a new request, whose customer uses ``width`` gateways, to the gateway; return its id."""
        self.count += 1
        name = f"r{self.count}"
        self.handle(Request(name, class_name, plan, customer, client_timeout_ms, units, width))
        return name

    def finish(self, name: str, status=Status.OK, attempt=None, used=None, units=None, latency=50.0) -> list:
        """End an attempt, by default the last one, with this status."""
        attempt = len(self.sent[name]) - 1 if attempt is None else attempt
        server = self.sent[name][attempt]
        if status is Status.OK:
            self.answers.setdefault(name, "Ok")
        return self.handle(
            AttemptEnded(name, attempt, server, status, latency, status is Status.OK, used, units)
        )

    def run(self, ms: float) -> None:
        """Advance the clock and fire the timers that fall due."""
        end = self.now + ms
        while due := [timer for timer in self.timers if timer[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.handle(TimerFired(first[1]))
        self.now = end


def entry(number: int, zone="a", **more) -> ServerEntry:
    return ServerEntry(number, zone, **more)


@pytest.fixture
def immediate_connection_reuse(monkeypatch) -> None:
    """Connections to servers may be used again as soon as their reply has arrived."""
    monkeypatch.setattr(pool, "REUSE_DELAY_S", 0.0)


@pytest.fixture
def rig() -> Rig:
    new_rig = Rig()
    new_rig.servers(entry(1), entry(2))
    return new_rig


def rig_with(**changes) -> Rig:
    return Rig(replace(SETTINGS, **changes))
