"""The concurrency cap: a gateway's share of a customer's attempts in flight, and caps too small to share.

What happens: a customer has a hard limit on its attempts in flight, and several gateways serve it. What a
user would lose: a cap that is exceeded breaks a rule, one that is too strict rejects what was paid for.
What must hold instead: each gateway keeps to its share, and where shares are below one attempt, to the late
reading of the use.
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
    """Random numbers that are given; one too many raises StopIteration."""

    def __init__(self, *numbers: float) -> None:
        self.numbers: Iterator[float] = iter(numbers)

    def random(self) -> float:
        return next(self.numbers)


def cap(*draws: float) -> CustomerConcurrencyCap:
    context = Context(SETTINGS, 1, 4000.0)
    context.random = Draws(*draws)
    return CustomerConcurrencyCap(context, QuotaMeter(context))


def customer(gateways: int, **columns: float) -> Customer:
    made = Customer(("p", "c"), 0.0, 0.0, 0)
    made.serving_gateways = gateways
    for name, value in columns.items():
        setattr(made, name, value)
    return made


def is_reached(of: Customer, max_in_flight: int) -> bool:
    plan = Plan("p", max_in_flight=max_in_flight)
    request = Request("r", "safe", "p", "c", 4000.0)
    return cap().is_reached(PendingRequest(request, SETTINGS.classes[0], plan, of, 0.0, 0.5, 0), 0.0)


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
def test_even_share_of_the_cap_and_at_least_one(gateways, max_in_flight, in_flight, reached):
    assert is_reached(customer(gateways, attempts_in_flight=in_flight), max_in_flight) is reached


def test_what_the_process_before_has_in_flight_counts():
    assert is_reached(customer(2, attempts_in_flight=2, peer_occupied_places=2), 8)
    assert not is_reached(customer(2, attempts_in_flight=2, peer_occupied_places=1), 8)


def test_stricter_cap_of_a_transition_counts():
    of = customer(2, attempts_in_flight=1)
    of.transition_plan = Plan("p", max_in_flight=2)
    assert is_reached(of, 8)


THIN = Plan("p", max_in_flight=2, overuse_cost=1.0)


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
def test_rejection_by_the_reading_is_likelier_the_higher_it_is(use_ratio, draw, rejected):
    of = customer(60, metered_use_ratio=use_ratio, metered_use_at_ms=0.0)
    assert cap(draw).rejects_for_overuse(of, THIN, 1000.0) is rejected


@pytest.mark.parametrize(
    ("plan", "gateways", "age_ms"),
    [
        (Plan("p", max_in_flight=2), 60, 0.0),  # overuse costs nothing
        (Plan("p", overuse_cost=1.0), 60, 0.0),  # no cap
        (Plan("p", rate=1.0, burst=1.0, max_in_flight=2, overuse_cost=1.0), 60, 0.0),  # read as a quota
        (THIN, 2, 0.0),  # a cap that shares can keep
        (THIN, 60, READING_LIFETIME_FACTOR * READING_LIFETIME_MS + 1.0),  # a reading that is too old
    ],
)
def test_nothing_is_drawn_or_rejected_where_the_reading_does_not_count(plan, gateways, age_ms):
    of = customer(gateways, metered_use_ratio=100.0, metered_use_at_ms=0.0)
    assert cap().rejects_for_overuse(of, plan, age_ms) is False


# ---- Through a whole gateway


CAPS = (
    Plan("cap", max_in_flight=2, overuse_cost=1.0),
    Plan("costs-nothing", max_in_flight=2),
    Plan("both", rate=1e6, burst=1e6, max_in_flight=2, overuse_cost=1.0),
)


def let_out(plan: str, used: float | None, width: int = 60, age_ms: float = 0.0) -> int:
    """How many of 400 go out, one at a time, at a gateway that has heard of such a use."""
    rig = rig_with(plans=CAPS, gateways=60)
    rig.servers(entry(1), entry(2))
    rig.finish(rig.ask(plan, width=width), used=used)
    (customer,) = rig.gateway.customers.rows.values()
    rig.run(age_ms)
    heard, out = (customer.metered_use_ratio, customer.metered_use_at_ms), 0
    for _ in range(400):
        name = rig.ask(plan, width=width)
        if name in rig.sent:
            out += 1
            rig.finish(name, latency=1.0)
        else:
            assert rig.answers[name] == "Reject"  # at once, and nothing is left of it
        customer.metered_use_ratio, customer.metered_use_at_ms = heard
    assert not rig.gateway.pending_requests.by_id
    return out


def test_cap_below_one_for_each_gateway_is_kept_by_the_late_reading_and_the_more_the_higher_it_is():
    outs = [let_out("cap", used) for used in (None, 40.0, 100.0, 150.0, 200.0, 400.0)]
    assert outs[:3] == [400] * 3
    assert 400 > outs[3] > outs[4] > outs[5] > 0  # some go always: else nobody would hear when it is over
    assert 80 < outs[3] < 160
    assert outs[5] < 20


def test_reading_of_a_cap_that_is_old_or_a_cap_that_shares_can_keep_holds_nothing_back():
    lifetime_ms = 4.0 * SETTINGS.meter_period_ms
    assert let_out("cap", 400.0, age_ms=1.9 * lifetime_ms) < 20
    assert let_out("cap", 400.0, age_ms=2.1 * lifetime_ms) == 400
    assert let_out("cap", 400.0, width=2) == 400  # one each is the cap
    assert let_out("costs-nothing", 400.0) == 400
    assert let_out("both", 400.0, width=60) == 400


def test_rejection_for_a_cap_that_is_overused_advises_to_retry_with_the_next_reading():
    limits = Limits(can_advise_retry=True, max_retry_after_ms=5000.0)
    rig = rig_with(plans=CAPS, gateways=60, limits=limits)
    rig.servers(entry(1), entry(2))
    rig.finish(rig.ask("cap", width=60), used=10_000.0)
    (rejection,) = [
        a for a in rig.do(Request("r", "safe", "cap", "c", 4000.0, 1, 60)) if isinstance(a, Reject)
    ]
    assert rejection.retry_after_ms == SETTINGS.meter_period_ms
