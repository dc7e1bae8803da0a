"""Single policy parts without a gateway, cost of a decision in long lists of servers, and corner cases."""

import json
from dataclasses import replace
from pathlib import Path

import pytest
from conftest import SETTINGS, Rig, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import (
    HotRestartBegun,
    Idempotency,
    ListKind,
    Plan,
    Request,
    RequestClass,
    ServerList,
    ServerState,
    SettingsChanged,
    Status,
    state_document,
)
from quota_gateway.policy.concurrency_cap import CustomerConcurrencyCap
from quota_gateway.policy.concurrency_limit import AdaptiveConcurrencyLimit
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.outlier_detection import OutlierDetection
from quota_gateway.policy.quota_meter import Admit, Hold, QuotaMeter, RejectOverQuota
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.policy.retry_policy import is_client_retry_harmless, retry_group
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import Attempt, Context, Customer, Endpoints, PendingRequest, Server, ServerGroup
from quota_gateway.state.endpoints import GroupIndex

RECORDINGS = Path(__file__).parent / "recordings"
METERED, CAPPED = (next(p for p in SETTINGS.plans if p.name == name) for name in ("metered", "only-cap"))


def context(now=1000.0, **changes) -> Context:
    policy_context = Context(replace(SETTINGS, **changes), 1, 4000.0)
    policy_context.begin_event(now)
    return policy_context


def pending(kind: RequestClass, now=1000.0, draw=0.5, name="r") -> PendingRequest:
    request = Request(name, kind.name, "free", "c", 4000.0)
    return PendingRequest(request, kind, Plan("free"), Customer(("free", "c"), now, 0.0, 0), now, draw, 0)


# ---- Each policy part without the others


def test_quota_meter_admits_then_holds_then_rejects_and_drains_the_excess():
    meter = QuotaMeter(context())
    customer = Customer(("metered", "c"), 0.0, 0.0, 0)
    customer.serving_gateways = 2
    customer.largest_request_units = 1.0
    decisions = []
    for _ in range(9):  # this gateway's share: 5 units a second, burst 4
        meter.record_demand(customer, METERED, 1.0, 0.0)
        decision = meter.decide(customer, METERED, 1.0, 0.0)
        decisions.append(decision)
        if not isinstance(decision, RejectOverQuota):
            meter.store_excess(customer, decision, 0.0)
    admitted = [Admit(1000.0 * count) for count in range(1, 5)]
    held = [Hold(200.0 * count, 4000.0 + 1000.0 * count) for count in range(1, 5)]
    assert decisions == [*admitted, *held, RejectOverQuota()]
    assert customer.excess_milliunits == 8000.0
    assert customer.demand_units == 9.0
    assert meter.retry_after_ms(customer, METERED, 1.0, 0.0) == 1000.0
    assert not meter.can_forget(customer, METERED, 1599.0)
    assert meter.can_forget(customer, METERED, 4000.0)


def test_quota_meter_decision_changes_nothing_until_its_excess_is_stored():
    meter = QuotaMeter(context())
    customer = Customer(("metered", "c"), 0.0, 0.0, 0)
    customer.largest_request_units = 1.0
    before = [getattr(customer, name) for name in Customer.__slots__]
    decisions = [meter.decide(customer, METERED, 20.0, 100.0) for _ in range(2)]
    assert decisions == [RejectOverQuota()] * 2
    decisions = [meter.decide(customer, METERED, 3.0, 100.0) for _ in range(2)]
    assert decisions == [Admit(3000.0 - 1000.0)] * 2
    assert [getattr(customer, name) for name in Customer.__slots__] == before
    meter.store_excess(customer, decisions[0], 100.0)
    assert customer.excess_milliunits == 2000.0
    assert customer.excess_updated_ms == 100.0


def test_plan_without_a_quota_admits_and_leaves_the_customer_unchanged():
    meter = QuotaMeter(context())
    customer = Customer(("free", "c"), 7.0, 0.0, 0)
    meter.record_demand(customer, Plan("free"), 5.0, 100.0)
    decision = meter.decide(customer, Plan("free"), 5.0, 100.0)
    assert decision == Admit(None)
    meter.store_excess(customer, decision, 100.0)
    assert (customer.excess_milliunits, customer.excess_updated_ms) == (0.0, 7.0)
    assert (customer.demand_units, customer.demand_updated_ms) == (0.0, 7.0)


def test_rate_ceiling_starts_at_zero_and_concurrency_cap_is_at_least_one():
    policy_context = context(now=0.0)
    ceiling = RateCeiling(policy_context)
    cap = CustomerConcurrencyCap(policy_context, QuotaMeter(policy_context))
    plan = Plan("x", ceiling_rate=10.0, ceiling_burst=20.0, max_in_flight=1)
    waiting = pending(SETTINGS.classes[0])
    waiting.plan = plan
    waiting.customer = Customer(("x", "c"), 0.0, ceiling.unseen_level_units(plan, 1, 0.0), 0)
    assert ceiling.wait_ms(waiting, 0.0) == 100.0
    assert ceiling.wait_ms(waiting, 100.0) == 0.0
    ceiling.consume(waiting, 100.0)
    assert ceiling.level_units(waiting.customer, plan, 100.0) == 0.0
    assert not cap.is_reached(waiting, 0.0)
    waiting.customer.attempts_in_flight = 1
    assert cap.is_reached(waiting, 0.0)


def test_outlier_detection_counts_failures_by_class_and_server_and_forgets_them():
    policy_context = context()
    detection, bad, good = OutlierDetection(policy_context), Server(entry(1), 0.1), Server(entry(2), 0.2)
    one, other = (pending(kind) for kind in SETTINGS.classes[:2])
    for _ in range(4):
        detection.on_attempt_ended(one, bad, Status.ERROR)
        detection.on_attempt_ended(one, good, Status.OK)
    probabilities = [
        [detection.failure_probability(item, server, detection.priors(item)) for server in (bad, good)]
        for item in (one, other)
    ]
    assert probabilities[0][0] > 0.7 > 0.2 > probabilities[0][1]
    assert probabilities[1][0] < 0.1
    policy_context.begin_event(61_000.0)
    policy_context.decay.attempts_started = 1000
    assert detection.failure_probability(one, bad, (0.0, 0.0)) < 0.01


def test_concurrency_limit_rises_with_quick_responses_and_falls_with_slow_ones():
    concurrency, server, kind = (
        AdaptiveConcurrencyLimit(context()),
        Server(entry(1), 0.1),
        SETTINGS.classes[0],
    )
    concurrency.start(servers=10, gateways=2)
    assert concurrency.limit == 10.0
    assert not concurrency.is_reached()
    concurrency.attempts_within_threshold = {(str(n), 0) for n in range(10)}
    assert concurrency.is_reached()
    concurrency.on_response(server, kind, 0.1 * kind.latency_objective_ms)
    assert concurrency.limit == pytest.approx(10.035)
    assert 1 in concurrency.latencies.quick_servers[kind.name]
    concurrency.on_response(server, kind, 0.9 * kind.latency_objective_ms)
    assert concurrency.limit == pytest.approx(9.735)
    assert not concurrency.latencies.quick_servers[kind.name]


@pytest.mark.parametrize(
    ("idempotency", "scope", "age_ms", "may_have_run", "expected_group", "client_may_retry"),
    [
        (Idempotency.IDEMPOTENT, "all", 9e9, True, ServerGroup(), True),
        (Idempotency.NOT_IDEMPOTENT, "all", 0.0, True, None, False),
        (Idempotency.NOT_IDEMPOTENT, "all", 0.0, False, ServerGroup(), True),
        (Idempotency.WITH_KEY, "all", 100.0, True, ServerGroup(), True),
        (Idempotency.WITH_KEY, "zone", 100.0, True, ServerGroup("b"), False),
        (Idempotency.WITH_KEY, "cell", 100.0, True, ServerGroup("b", 7), False),
        (Idempotency.WITH_KEY, "zone", 3000.0, True, None, False),
        (Idempotency.WITH_KEY, "cell", 3000.0, False, ServerGroup(), True),
    ],
)
def test_retry_group_and_whether_the_client_may_retry(
    idempotency, scope, age_ms, may_have_run, expected_group, client_may_retry
):
    scopes = {item.idempotency_scope.value: item.idempotency_scope for item in SETTINGS.classes}
    request_class = RequestClass(
        "k", 1000.0, 4000.0, idempotency, idempotency_scope=scopes[scope], idempotency_window_ms=3000.0
    )
    request = pending(request_class)
    request.first_possible_run = Attempt(Server(entry(1, "b", cell=7), 0.0), 1000.0) if may_have_run else None
    assert retry_group(request, 1000.0 + age_ms) == expected_group
    assert is_client_retry_harmless(request) is client_may_retry


# ---- The indexes choose as a loop over the complete list would, and no decision walks the list


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 60), st.integers(0, 2**32), st.floats(0.0, 1.0, exclude_max=True))
def test_the_indexes_of_servers_find_what_a_loop_finds(size, seed, draw):
    made = Context(SETTINGS, seed, 4000.0)
    made.begin_event(5000.0)
    endpoints, slow_start = Endpoints(made.random), SlowStart(made)
    states = (ServerState.READY, ServerState.DRAINING)
    endpoints.update(
        ServerList(
            ListKind.COMPLETE,
            tuple(
                entry(
                    n,
                    "ab"[n % 2],
                    cell=n % 3,
                    started_ms=made.random.choice((0.0, 4000.0)),
                    state=made.random.choice(states),
                )
                for n in range(size)
            ),
        )
    )
    endpoints.refresh(lambda server: slow_start.capacity_ratio(server) < 1.0)
    asked = pending(SETTINGS.classes[0], draw=draw)
    ready = [s for s in endpoints.servers.values() if s.is_ready]
    tried = {n for n in range(size) if made.random.random() < 0.1}
    for key in [(), ("a",), ("b", 1), ("c",)]:
        wanted = [s for s in ready if s.id not in tried and key == (s.zone, s.cell)[: len(key)]]
        found = endpoints.ready_in_group(ServerGroup(*key), tried)
        assert list(found) == wanted
        assert len(found) == len(wanted)
        assert [s for s in endpoints.servers.values() if s in found] == wanted
    if ready:
        eligible = [s for s in endpoints.warming_up if slow_start.is_eligible(asked, s, len(ready))]
        near = endpoints.warming_up_in((1.0 - draw) % 1.0, slow_start.widest_share_ratio(len(ready)))
        assert [s for s in near if slow_start.is_eligible(asked, s, len(ready))] == eligible


class CountingList(list):
    """A list that counts, over all its instances, the items read from it."""

    items_read = 0

    def __iter__(self):
        for item in super().__iter__():
            type(self).items_read += 1
            yield item

    def __getitem__(self, position):
        type(self).items_read += 1
        return super().__getitem__(position)


@pytest.mark.parametrize("warming_every", [0, 2], ids=["warm", "half of them warming up"])
def test_no_decision_walks_the_list_of_servers(warming_every):
    items_read = []
    for size in (200, 20_000):
        rig = Rig(replace(SETTINGS, gateways=1))
        rig.servers(
            *(
                entry(
                    n,
                    "abc"[n % 3],
                    cell=n % 50,
                    started_ms=500.0 if warming_every and n % warming_every else 0.0,
                )
                for n in range(size)
            )
        )
        endpoints = rig.gateway.endpoints
        rig.finish(rig.ask(), Status.RESET)  # its server group is built once for each list
        CountingList.items_read = 0
        endpoints.ready, endpoints.warming_up = (
            CountingList(endpoints.ready),
            CountingList(endpoints.warming_up),
        )
        endpoints._groups = {
            key: GroupIndex(CountingList(found.servers), found.positions)
            for key, found in endpoints._groups.items()
        }
        for _ in range(40):
            name = rig.ask()
            rig.finish(name, Status.RESET)
            rig.finish(name)
        items_read.append(CountingList.items_read)
    assert 40 * 10 <= items_read[1] <= 40 * 45
    assert items_read[1] <= 1.5 * items_read[0] + 100


# ---- Corner cases


def test_a_customer_with_a_pending_request_is_not_forgotten():
    # Its row counts the attempts under the concurrency cap. If it were forgotten while a request is pending,
    # a new row would count from zero.
    rig = Rig(replace(SETTINGS, plans=(CAPPED, Plan("free")), gateways=1, meter_period_ms=100.0))
    request_ids = [rig.ask("only-cap", width=1) for _ in range(3)]  # queued, as there is no server yet
    rig.run(1000.0)  # by now its row holds nothing that a new row would not
    for name in "xyz":
        rig.ask(customer=name, width=1)
    request_ids += [rig.ask("only-cap", width=1) for _ in range(3)]
    rig.servers(*(entry(number) for number in range(9)), kind=ListKind.CACHED)
    assert sum(name in rig.sent for name in request_ids) == CAPPED.max_in_flight == 2


def test_idle_customers_are_forgotten_except_those_with_pending_requests():
    policy_context = context(now=0.0)
    book = Customers(policy_context, QuotaMeter(policy_context), RateCeiling(policy_context))
    for number in range(3000):
        policy_context.begin_event(100.0 * number)
        found = book.find_or_add(Request(str(number), "safe", "metered", f"c{number}", 1000.0, 1.0), METERED)
        # a customer whose request is pending for hours does not keep other customers from being forgotten
        found.pending_count = 1 if number % 1000 == 0 else 0
    names = [customer.key[1] for customer in book.rows.values() if customer.pending_count]
    assert sorted(names) == ["c0", "c1000", "c2000"]
    assert 40 <= len(book.rows) <= 48


def test_settings_change_between_two_attempts_keeps_the_request_s_class_and_the_lower_cap():
    kind = replace(SETTINGS.classes[2], idempotency_window_ms=3000.0)
    rig = Rig(replace(SETTINGS, classes=(SETTINGS.classes[0], kind), gateways=1))
    rig.servers(entry(1, "a"), entry(2, "a"), entry(3, "b"))
    name = rig.ask("only-cap", kind.name, width=1)
    zone = "b" if rig.sent[name] == [3] else "a"
    rig.handle(
        SettingsChanged(
            replace(
                rig.gateway.context.settings,
                classes=SETTINGS.classes[:1],
                plans=(replace(CAPPED, max_in_flight=9), Plan("free")),
            )
        )
    )
    # The retry follows the request's own class, which is gone from the settings: it stays in the zone where
    # its idempotency key is known.
    rig.finish(name, Status.RESET)
    assert len(rig.sent[name]) == 2
    assert (rig.sent[name][1] == 3) == (zone == "b")
    (customer,) = (c for c in rig.gateway.customers.rows.values() if c.key[0] == "only-cap")
    assert customer.transition_plan
    assert customer.transition_plan.max_in_flight == 2
    rig.finish(name)
    assert customer.transition_plan is None
    assert rig.answers[name] == "Ok"


def test_state_document_of_the_previous_version_is_loaded():
    document = json.loads((RECORDINGS / "handover-before-package.json").read_text())
    names = {name: number for number, name in enumerate(document["servers"])}
    plans = tuple(Plan(name, rate=1.0, burst=2.0) for name in {row[0]: 0 for row in document["customers"]})
    classes = tuple(RequestClass(name, 500.0, 4000.0, Idempotency.IDEMPOTENT) for name in document["latency"])
    rig = Rig(replace(SETTINGS, plans=plans, classes=classes, gateways=6))
    rig.servers(*(entry(number) for number in names.values()))
    state_document.load(rig.gateway, document, names)
    columns = {
        "excess": "excess_milliunits",
        "touched": "excess_updated_ms",
        "largest": "largest_request_units",
        "width": "serving_gateways",
        "used": "metered_use_ratio",
        "used_at": "metered_use_at_ms",
        "asked": "demand_units",
        "asked_at": "demand_updated_ms",
        "elsewhere": "peer_occupied_places",
    }
    positions = [state_document.CUSTOMER_COLUMNS.index(name) + 2 for name in columns]
    rows = {tuple(row[:2]): [row[position] for position in positions] for row in document["customers"]}
    found = rig.gateway.customers.rows
    assert {
        key: [getattr(customer, name) for name in columns.values()] for key, customer in found.items()
    } == rows
    assert list(rig.gateway.customers.rows) == [tuple(row[:2]) for row in document["customers"]]
    assert rig.gateway.concurrency_limit.limit == document["pool"]
    assert rig.gateway.concurrency_limit.latencies.mean_ms == document["latency"]
    saved_again = json.loads(
        json.dumps(state_document.save(rig.gateway, {n: name for name, n in names.items()}))
    )
    for row in (*saved_again["servers"].values(), *document["servers"].values()):
        # the list of servers says it, except for a server that an operator put back in use
        del row["started"]
    assert saved_again["servers"] == document["servers"]
    assert saved_again["marks"] == document["marks"]


def test_servers_warming_up_are_eligible_at_once_after_a_hot_restart():
    # Their phases come with the state document. In a long list they are found by an index of such servers.
    old, new = Rig(seed=1), Rig(seed=2)
    names = {number: f"s-{number}" for number in range(60)}
    for rig in (old, new):
        rig.servers(*(entry(number, started_ms=900.0) for number in names), kind=ListKind.CACHED)
    old.handle(HotRestartBegun())
    state_document.load(
        new.gateway, state_document.save(old.gateway, names), {name: number for number, name in names.items()}
    )
    slow_start, endpoints = new.gateway.slow_start, new.gateway.endpoints
    for draw in (number / 500 for number in range(500)):
        asked = pending(SETTINGS.classes[0], draw=draw)
        eligible = [server for server in endpoints.warming_up if slow_start.is_eligible(asked, server, 60)]
        near = endpoints.warming_up_in((1.0 - draw) % 1.0, slow_start.widest_share_ratio(60))
        assert [server for server in near if slow_start.is_eligible(asked, server, 60)] == eligible
