"""The quota meter, tested through a whole gateway: quota shares, holds, rejections and thin shares.

Customers send more than their quota through several gateways that do not talk to each other. One far beyond
its quota must not make others wait, and one within it must not be rejected: the burst bounds the excess, and
rejected requests add nothing to it. Comments show how the expected figures were worked out.
"""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry, rig_with

from quota_gateway import ClientDisconnected, Plan, Request, Status


@pytest.fixture
def equal_weights_rig() -> Rig:
    """A gateway whose classes have the same priority weight, so that none is held for a shorter time."""
    rig = rig_with(classes=tuple(replace(item, priority_weight=1.0) for item in SETTINGS.classes))
    rig.servers(entry(1), entry(2))
    return rig


def is_served(rig, name) -> bool:
    """Whether a request was sent; if so, it is answered at once."""
    if name in rig.sent:
        rig.finish(name)
    return name in rig.sent


def test_burst_is_sent_then_as_much_again_is_held_then_the_rest_is_rejected(equal_weights_rig):
    # rate 5/s and burst 4 for each of two gateways; the first request leaves an excess of one unit
    names = [equal_weights_rig.ask("metered") for _ in range(10)]
    assert [name in equal_weights_rig.sent for name in names] == [True] * 4 + [False] * 6
    assert [name in equal_weights_rig.answers for name in names] == [False] * 8 + [True] * 2


def test_hold_lasts_until_the_excess_has_drained_to_the_burst(rig):
    for _ in range(4):
        rig.ask("metered")
    held = rig.ask("metered")  # excess 5000, burst 4000: 1000 milliunits at 5 units a second are 200 ms
    rig.run(199.0)
    assert held not in rig.sent
    rig.run(1.0)
    assert held in rig.sent


def test_rejected_requests_add_no_excess(equal_weights_rig):
    for _ in range(20):
        equal_weights_rig.ask("metered")
    customer = equal_weights_rig.gateway.customers.rows["metered", "c"]
    assert customer.excess_milliunits == 8000.0


def test_excess_drains_at_the_rate_and_not_below_zero(rig):
    rig.ask("metered", units=3)
    rig.run(400.0)  # 5 units a second: 2000 milliunits drained, 1000 added
    rig.ask("metered")
    assert rig.gateway.customers.rows["metered", "c"].excess_milliunits == 2000.0
    rig.run(5000.0)
    rig.ask("metered")
    assert rig.gateway.customers.rows["metered", "c"].excess_milliunits == 0.0


def test_request_whose_hold_would_outlast_its_deadline_is_rejected_and_adds_no_excess(rig):
    for _ in range(4):
        rig.ask("metered")
    assert rig.answers.get(rig.ask("metered", client_timeout_ms=200.0)) == "Reject"
    assert rig.gateway.customers.rows["metered", "c"].excess_milliunits == 4000.0


def test_burst_is_at_least_the_largest_request(rig):
    assert rig.ask("metered", units=6) in rig.sent  # the share's burst is 4


def test_burst_is_divided_by_three_gateways_and_whole_at_one():
    rig = rig_with(gateways=3)
    rig.servers(entry(1), entry(2), entry(3))
    sent = [rig.ask("metered", width=3) in rig.sent for _ in range(4)]
    assert sent == [True, True, False, False]  # 8 / 3 = 2.67
    assert [is_served(rig, rig.ask("metered", customer="one", width=1)) for _ in range(9)] == [True] * 8 + [
        False
    ]


def test_share_grows_by_unused_quota_and_is_even_again_without_a_reading(rig):
    def share(customer):
        return rig.gateway.quota_meter.quota_share(customer, rig.now)

    rig.finish(rig.ask("metered"), used=40.0)
    customer = rig.gateway.customers.rows["metered", "c"]
    assert share(customer) == (1.0 + 0.2 * 0.6) / 2
    rig.finish(rig.ask("metered"), used=120.0)
    assert share(customer) == 0.5
    rig.finish(rig.ask("metered"), used=0.0)
    assert share(customer) == 0.6
    rig.run(4001.0)  # no reading for more than four meter periods
    rig.ask("free")
    assert share(customer) == 0.5


def test_charge_is_corrected_by_the_units_that_the_response_reports(rig):
    name = rig.ask("metered", units=2)
    rig.finish(name, units=3.0)
    assert rig.gateway.customers.rows["metered", "c"].excess_milliunits == 3000.0


def test_units_that_a_response_reports_count_up_to_the_largest_of_the_settings(rig):
    rig.finish(rig.ask("metered", units=2), units=1e9)
    assert rig.gateway.customers.rows["metered", "c"].excess_milliunits == 4000.0  # the settings' largest


def test_held_request_whose_client_left_gives_its_units_back(rig):
    names = [rig.ask("metered") for _ in range(6)]
    rig.handle(ClientDisconnected(names[5]))
    assert rig.gateway.customers.rows["metered", "c"].excess_milliunits == 5000.0
    rig.run(4000.0)
    assert names[5] not in rig.sent


def test_each_gateway_has_a_share_of_the_concurrency_cap_and_queues_requests_beyond_it(rig):
    names = [rig.ask("capped") for _ in range(3)]
    assert [name in rig.sent for name in names] == [True, True, False]
    rig.finish(names[0])
    assert names[2] in rig.sent


def test_share_of_the_concurrency_cap_is_at_least_one():
    rig = rig_with(gateways=4)
    rig.servers(entry(1))
    assert rig.ask("only-cap", width=4) in rig.sent
    assert rig.ask("only-cap", width=4) not in rig.sent


def test_plan_without_limits_is_not_held(rig):
    assert all(is_served(rig, rig.ask("free")) for _ in range(50))


def test_request_of_an_unknown_plan_or_class_is_rejected(rig):
    first = [rig.ask("nope"), rig.ask("nope"), rig.ask("free", class_name="nope")]
    assert [rig.answers[name] for name in first] == ["Reject"] * 3


def test_idle_customers_are_forgotten(rig):
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, Status.OK)
        rig.run(10.0)
    assert len(rig.gateway.customers.rows) < 600
    assert len(rig.gateway.pending_requests.by_id) == 0


def test_request_whose_hold_would_outlast_the_latency_objective_is_rejected(equal_weights_rig):
    # objective 500 ms, first mean latency 100 ms: a hold may last 400 ms, two units at 5 a second
    for _ in range(4):
        equal_weights_rig.ask("metered")
    assert equal_weights_rig.ask("metered", "brief", units=2) in equal_weights_rig.answers
    assert equal_weights_rig.ask("metered", "brief", units=1) not in equal_weights_rig.answers


def test_classes_of_less_weight_are_held_for_a_shorter_time(rig):
    # "safe" has a third of the weight of "unsafe": it is held (2000 - 400) / 3 = 533 ms at most, though its
    # objective is longer
    names = [rig.ask("metered") for _ in range(10)]
    assert [name in rig.answers for name in names] == [False] * 6 + [True] * 4
    heavier = rig.ask("metered", "unsafe")
    assert heavier not in rig.answers
    assert heavier not in rig.sent
    rig.run(600.0)
    assert heavier in rig.sent


# Thin shares: with rate 10 and burst 8 over 60 gateways, each has a burst of 0.13 of a one-unit request and
# drains one in 6 s


def thin_rig(width: int = 60, settings=SETTINGS) -> Rig:
    rig = Rig(replace(settings, gateways=60))
    rig.servers(entry(1), entry(2))
    rig.width = width
    return rig


def ask_thin(rig, **more) -> str:
    rig.count += 1
    name = f"r{rig.count}"
    rig.handle(Request(name, "safe", "metered", "c", 4000.0, 1, rig.width, **more))
    return name


@pytest.mark.parametrize(("width", "answer"), [(60, "Reject"), (2, None)])
def test_request_marked_as_a_retry_is_rejected_under_a_thin_share_only(width, answer):
    rig = thin_rig(width)
    assert rig.answers.get(ask_thin(rig, is_retry=True)) == answer


def test_unused_quota_raises_the_burst_of_a_thin_share_until_one_request_has_drained():
    rig = thin_rig()
    rig.finish(ask_thin(rig), used=40.0)  # burst 1 x (1 + 2 x 0.6) = 2.2 of the drained share
    rig.run(5000.0)  # older than four meter periods, not than one drained request
    assert ask_thin(rig) in rig.sent
    rig.run(100.0)
    assert rig.answers[ask_thin(rig)] == "Reject", "three asked: more than the share and two requests"


@pytest.mark.parametrize(("overuse_cost", "passed"), [(0.0, 1), (0.2, 0)])
def test_unused_quota_raises_a_thin_share_less_where_overuse_costs(overuse_cost, passed):
    plans = tuple(replace(plan, overuse_cost=overuse_cost) for plan in SETTINGS.plans)
    rig = thin_rig(settings=replace(SETTINGS, plans=plans))
    rig.finish(ask_thin(rig), used=0.0)
    rig.run(1000.0)
    for _ in range(3):
        ask_thin(rig)
    assert len(rig.sent) - 1 == passed


def test_a_thin_share_over_quota_or_without_a_reading_has_the_even_burst():
    for used, wait in ((100.0, 500.0), (40.0, 6100.0)):
        rig = thin_rig()
        rig.finish(ask_thin(rig), used=used)
        rig.run(wait)
        second, third = ask_thin(rig), ask_thin(rig)
        assert rig.answers[third] == "Reject"
        assert (second in rig.sent) == (wait > 6000.0)  # the first has drained by then


def test_all_gateways_together_admit_little_of_a_customer_far_over_its_quota():
    # 60 gateways get the requests of 600 s' quota in 20 s; each rejected one is retried at another gateway
    admitted = 0
    for index in range(60):
        rig = Rig(replace(SETTINGS, gateways=60, index=index), seed=index)
        rig.servers(entry(1), entry(2))
        rig.width = 60
        for step in range(100):
            name = ask_thin(rig, is_retry=step % 2 == 1)
            if name in rig.sent:
                rig.finish(name, used=300.0)
            rig.run(200.0)
        admitted += len(rig.sent)
    # each gateway: one at first, and what 10 / 60 a second drains in 20 s
    assert admitted <= 60 * (1 + 20 * 10 / 60 + 1)


@pytest.mark.parametrize(
    ("overuse_cost", "sent"), [(0.0, [True, False, True, True]), (1.0, [True, False, False, False])]
)
def test_small_requests_do_not_pass_within_the_burst_of_a_large_one_where_overuse_costs(overuse_cost, sent):
    plan = Plan("thin", rate=1.0, burst=4.0, overuse_cost=overuse_cost)  # of 60 gateways
    rig = rig_with(plans=(plan,), gateways=60)
    rig.servers(entry(1), entry(2))
    names = [rig.ask("thin", units=units, width=60) for units in (1, 4, 1, 1)]
    assert [name in rig.sent for name in names] == sent
    fresh_rig = rig_with(plans=(plan,), gateways=60)
    fresh_rig.servers(entry(1), entry(2))
    assert fresh_rig.ask("thin", units=4, width=60) in fresh_rig.sent  # the first one goes, however large
    for width in (1, 3, 4):  # at least a unit of burst for each gateway: the burst is its largest request
        width_rig = rig_with(plans=(plan,), gateways=60)
        width_rig.servers(entry(1), entry(2))
        asked = [width_rig.ask("thin", units=units, width=width) for units in (1, 4, 1)]
        assert [name in width_rig.sent for name in asked] == [True, False, True]
