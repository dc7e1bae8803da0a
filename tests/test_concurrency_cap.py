"""The concurrency cap: a gateway's share of a customer's attempts in flight, and caps too small to share.

A customer has a hard limit on its attempts in flight, and several gateways serve it. The cap must not be
exceeded, nor reject requests that it allows: each gateway keeps to its share and, where shares are below one
attempt, to the late reading of the cap's use.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from conftest import SETTINGS, entry, rig_with

from quota_gateway import Limits, Plan, Reject, Request
from quota_gateway.policy.concurrency_cap import READING_LIFETIME_FACTOR, CustomerConcurrencyCap
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.state import Context, Customer, PendingRequest

READING_LIFETIME_MS = 4.0 * SETTINGS.meter_period_ms


class Draws:
    """A random source that returns given numbers; raises StopIteration after the last one."""

    def __init__(self, *numbers: float) -> None:
        self.numbers: Iterator[float] = iter(numbers)

    def random(self) -> float:
        return next(self.numbers)


def cap(*draws: float) -> CustomerConcurrencyCap:
    context = Context(SETTINGS, 1, 4000.0)
    context.random = Draws(*draws)
    return CustomerConcurrencyCap(context, QuotaMeter(context))


def customer(gateways: int, **columns: float) -> Customer:
    row = Customer(("p", "c"), 0.0, 0.0, 0)
    row.serving_gateways = gateways
    for name, value in columns.items():
        setattr(row, name, value)
    return row


def is_reached(row: Customer, max_in_flight: int) -> bool:
    plan = Plan("p", max_in_flight=max_in_flight)
    request = Request("r", "safe", "p", "c", 4000.0)
    return cap().is_reached(PendingRequest(request, SETTINGS.classes[0], plan, row, 0.0, 0.5, 0), 0.0)


@pytest.mark.parametrize(
    ("gateways", "max_in_flight", "in_flight", "reached"),
    [
        (2, 8, 3, False),
        (2, 8, 4, True),
        (2, 9, 4, True),  # a share of 4.5
        (60, 2, 0, False),  # at least one each
        (60, 2, 1, True),
        (2, 0, 1000, False),  # no cap
    ],
)
def test_share_of_the_cap_is_even_and_at_least_one(gateways, max_in_flight, in_flight, reached):
    assert is_reached(customer(gateways, attempts_in_flight=in_flight), max_in_flight) is reached


def test_places_occupied_at_the_previous_process_count():
    assert is_reached(customer(2, attempts_in_flight=2, peer_occupied_places=2), 8)
    assert not is_reached(customer(2, attempts_in_flight=2, peer_occupied_places=1), 8)


def test_stricter_cap_of_a_transition_counts():
    row = customer(2, attempts_in_flight=1)
    row.transition_plan = Plan("p", max_in_flight=2)
    assert is_reached(row, 8)


SMALL_CAP = Plan("p", max_in_flight=2, overuse_cost=1.0)


@pytest.mark.parametrize(
    ("use_ratio", "draw", "rejected"),
    [
        (1.0, 0.999, False),  # within the cap nothing is rejected, whatever the draw
        (2.0, 0.125, False),  # one in eight is let through: two cubed
        (2.0, 0.126, True),
        (4.0, 0.0156, False),
        (4.0, 0.0157, True),
    ],
)
def test_rejection_is_likelier_the_higher_the_reading(use_ratio, draw, rejected):
    row = customer(60, metered_use_ratio=use_ratio, metered_use_at_ms=0.0)
    assert cap(draw).rejects_for_overuse(row, SMALL_CAP, 1000.0) is rejected


@pytest.mark.parametrize(
    ("plan", "gateways", "age_ms"),
    [
        (Plan("p", max_in_flight=2), 60, 0.0),  # overuse costs nothing
        (Plan("p", overuse_cost=1.0), 60, 0.0),  # no cap
        (Plan("p", rate=1.0, burst=1.0, max_in_flight=2, overuse_cost=1.0), 60, 0.0),  # read as a quota
        (SMALL_CAP, 2, 0.0),  # a cap that shares can keep
        (SMALL_CAP, 60, READING_LIFETIME_FACTOR * READING_LIFETIME_MS + 1.0),  # a reading that is too old
    ],
)
def test_nothing_is_drawn_or_rejected_where_the_reading_does_not_count(plan, gateways, age_ms):
    row = customer(gateways, metered_use_ratio=100.0, metered_use_at_ms=0.0)
    assert cap().rejects_for_overuse(row, plan, age_ms) is False


# ---- Through a whole gateway


CAPS = (
    Plan("cap", max_in_flight=2, overuse_cost=1.0),
    Plan("costs-nothing", max_in_flight=2),
    Plan("both", rate=1e6, burst=1e6, max_in_flight=2, overuse_cost=1.0),
)


def count_sent(plan: str, used: float | None, width: int = 60, age_ms: float = 0.0) -> int:
    """How many of 400 requests are sent, one at a time, at a gateway with a reading of this use."""
    rig = rig_with(plans=CAPS, gateways=60)
    rig.servers(entry(1), entry(2))
    rig.finish(rig.ask(plan, width=width), used=used)
    (customer,) = rig.gateway.customers.rows.values()
    rig.run(age_ms)
    reading, sent_count = (customer.metered_use_ratio, customer.metered_use_at_ms), 0
    for _ in range(400):
        name = rig.ask(plan, width=width)
        if name in rig.sent:
            sent_count += 1
            rig.finish(name, latency=1.0)
        else:
            assert rig.answers[name] == "Reject"  # at once, and nothing of it is kept
        customer.metered_use_ratio, customer.metered_use_at_ms = reading
    assert not rig.gateway.pending_requests.by_id
    return sent_count


def test_cap_below_one_for_each_gateway_rejects_more_the_higher_the_late_reading():
    counts = [count_sent("cap", used) for used in (None, 40.0, 100.0, 150.0, 200.0, 400.0)]
    assert counts[:3] == [400] * 3
    assert 400 > counts[3] > counts[4] > counts[5] > 0  # some pass always: else no new reading would come
    assert 80 < counts[3] < 160
    assert counts[5] < 20


def test_nothing_is_rejected_by_an_old_reading_or_where_shares_can_keep_the_cap():
    lifetime_ms = 4.0 * SETTINGS.meter_period_ms
    assert count_sent("cap", 400.0, age_ms=1.9 * lifetime_ms) < 20
    assert count_sent("cap", 400.0, age_ms=2.1 * lifetime_ms) == 400
    assert count_sent("cap", 400.0, width=2) == 400  # the cap is one for each gateway
    assert count_sent("costs-nothing", 400.0) == 400
    assert count_sent("both", 400.0, width=60) == 400


def test_rejection_for_overuse_of_a_cap_advises_to_retry_after_the_next_reading():
    limits = Limits(can_advise_retry=True, max_retry_after_ms=5000.0)
    rig = rig_with(plans=CAPS, gateways=60, limits=limits)
    rig.servers(entry(1), entry(2))
    rig.finish(rig.ask("cap", width=60), used=10_000.0)
    (rejection,) = [
        a for a in rig.handle(Request("r", "safe", "cap", "c", 4000.0, 1, 60)) if isinstance(a, Reject)
    ]
    assert rejection.retry_after_ms == SETTINGS.meter_period_ms
