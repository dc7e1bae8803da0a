"""The concurrency cap by itself: this gateway's share of a customer's attempts in flight."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from conftest import SETTINGS

from quota_gateway import Plan, Request
from quota_gateway.policy.concurrency_cap import READING_LIFETIME_FACTOR, ConcurrencyCap
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.state import Context, Customer, PendingRequest

READING_LIFETIME_MS = 4.0 * SETTINGS.meter_period_ms


class Draws:
    """Random numbers that are given; one too many raises StopIteration."""

    def __init__(self, *numbers: float) -> None:
        self.numbers: Iterator[float] = iter(numbers)

    def random(self) -> float:
        return next(self.numbers)


def cap(*draws: float) -> ConcurrencyCap:
    context = Context(SETTINGS, 1, 4000.0)
    context.random = Draws(*draws)
    return ConcurrencyCap(context, QuotaMeter(context))


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
    assert is_reached(customer(2, attempts_in_flight=2, peer_in_flight=2), 8)
    assert not is_reached(customer(2, attempts_in_flight=2, peer_in_flight=1), 8)


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
