"""Rules on attempts and answers hold for any sequence of events, within bounds (property-based tests)."""

from dataclasses import replace

from conftest import SETTINGS, Rig, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import (
    AttemptEnded,
    ClientDisconnected,
    Idempotency,
    ListKind,
    ServerState,
    SettingsChanged,
    Status,
)

CLASS_NAMES = [item.name for item in SETTINGS.classes]
MAYBE_RUN = {Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED}
STEPS = st.one_of(
    st.tuples(
        st.just("ask"),
        st.sampled_from([p.name for p in SETTINGS.plans]),
        st.sampled_from(CLASS_NAMES),
        st.floats(20.0, 4000.0),
        st.integers(1, 4),
    ),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from([s for s in Status if s is not Status.OK])),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Status.OK)),
    st.tuples(st.just("wait"), st.floats(0.0, 900.0)),
    st.tuples(st.just("list"), st.integers(1, 4), st.sampled_from(list(ServerState))),
    st.tuples(st.just("leave"), st.integers(0, 50)),
)
CHANGES = st.tuples(
    st.just("change"),
    st.integers(2, 6),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.sets(st.sampled_from([p.name for p in SETTINGS.plans if p.name != "ceiling"]), max_size=2),
    st.sets(st.sampled_from(CLASS_NAMES[1:]), max_size=2),
)


class Checker(Rig):
    """Tracks every request on its own and checks each attempt and answer against the rules."""

    def __init__(self):
        super().__init__()
        self.requests, self.in_flight, self.maybe_run_ms, self.ready, self.finished = {}, {}, {}, set(), set()
        # The bucket of the rate ceiling. This gateway's share is half of its 20 units.
        self.bucket_units, self.bucket_updated_ms, self.bucket_capacity = 0.0, self.now, 10.0
        self.refill_rate = 5.0

    def handle(self, event):
        before = {name: len(sent) for name, sent in self.sent.items()}
        answered = set(self.answers)
        actions = super().handle(event)
        for name, sent in self.sent.items():
            if len(sent) > before.get(name, 0):
                self.check_send(name, sent, before.get(name, 0))
        for name in set(self.answers) - answered:
            self.check_answer(name)
        return actions

    def check_send(self, name, sent, before):
        request_class, plan, units, deadline = self.requests[name]
        assert len(sent) == before + 1 <= 3
        assert not self.in_flight.get(name)
        assert name not in self.finished
        assert sent[-1] in self.ready
        assert self.now < deadline
        if self.maybe_run_ms.get(name) is not None:
            assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            if request_class.idempotency is Idempotency.WITH_KEY:
                assert self.now - self.maybe_run_ms[name] < request_class.idempotency_window_ms
        self.in_flight[name] = (len(sent) - 1, sent[-1], self.now)
        if before == 0 and plan == "ceiling":
            self.refill()
            self.bucket_units -= units
            assert self.bucket_units >= -1e-6

    def check_answer(self, name):
        request_class, _, _, deadline = self.requests[name]
        assert self.now <= deadline + 8.0
        assert name not in self.finished
        self.finished.add(name)
        may_have_run = self.maybe_run_ms.get(name) is not None or self.in_flight.get(name)
        if self.answers[name] == "Reject" and may_have_run:
            assert request_class.idempotency is Idempotency.IDEMPOTENT or request_class.name == "keyed-all"

    def refill(self):
        """Refill this gateway's share of the rate ceiling's bucket to the most that it may hold now."""
        filled = self.bucket_units + self.refill_rate * (self.now - self.bucket_updated_ms) / 1000.0
        self.bucket_units, self.bucket_updated_ms = min(self.bucket_capacity, filled), self.now

    def change(self, gateways, factor, plans, classes):
        """New settings: another number of gateways, another ceiling, without some plans and classes."""
        self.refill()
        ceiling = next(plan for plan in SETTINGS.plans if plan.name == "ceiling")
        refill_rate, burst = ceiling.ceiling_rate * factor, ceiling.ceiling_burst * factor
        self.handle(
            SettingsChanged(
                replace(
                    SETTINGS,
                    gateways=gateways,
                    plans=tuple(
                        replace(p, ceiling_rate=refill_rate, ceiling_burst=burst) if p is ceiling else p
                        for p in SETTINGS.plans
                        if p.name not in plans
                    ),
                    classes=tuple(c for c in SETTINGS.classes if c.name not in classes),
                )
            )
        )
        self.refill_rate, self.bucket_capacity = refill_rate / 2.0, burst / 2.0  # requests name two gateways
        self.bucket_units = min(self.bucket_units, self.bucket_capacity)

    def step(self, step):
        if step[0] == "change":
            self.change(*step[1:])
        elif step[0] == "ask":
            _, plan, class_name, client_timeout_ms, units = step
            name = f"r{self.count + 1}"
            request_class = next(item for item in SETTINGS.classes if item.name == class_name)
            self.requests[name] = (request_class, plan, units, self.now + client_timeout_ms)
            self.ask(plan, class_name, client_timeout_ms=client_timeout_ms, units=units)
        elif step[0] == "wait":
            self.run(step[1])
        elif step[0] == "list":
            state = step[2]
            (self.ready.add if state is ServerState.READY else self.ready.discard)(step[1])
            self.servers(entry(step[1], "ab"[step[1] % 2], state=state), kind=ListKind.CHANGES)
        elif step[0] == "leave" and (unfinished := [n for n in self.requests if n not in self.finished]):
            name = unfinished[step[1] % len(unfinished)]
            self.finished.add(name)
            self.handle(ClientDisconnected(name))
        elif step[0] == "end" and (in_flight := [n for n, attempt in self.in_flight.items() if attempt]):
            self.end(in_flight[step[1] % len(in_flight)], step[2])

    def end(self, name, status):
        number, server, sent = self.in_flight[name]
        self.in_flight[name] = None
        if status in MAYBE_RUN and self.maybe_run_ms.get(name) is None:
            self.maybe_run_ms[name] = sent
        request_answered = status is Status.OK or name in self.finished
        if request_answered:
            self.finished.add(name)
        self.handle(AttemptEnded(name, number, server, status, self.now - sent, request_answered))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.one_of(STEPS, CHANGES), min_size=5, max_size=60))
def test_rules_hold_while_the_settings_change_at_any_moment(steps):
    check(steps)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=5, max_size=60))
def test_rules_hold_and_every_request_is_answered(steps):
    check(steps)


def check(steps):
    checker = Checker()
    for number in (1, 2):
        checker.step(("list", number, ServerState.READY))
    for step in steps:
        checker.step(step)
    checker.run(5000.0)
    assert set(checker.requests) == checker.finished
