"""The rate ceiling's token bucket by itself, and how a change of settings affects it.

A rate ceiling is a hard limit over all gateways, so no unit may be granted twice when settings change or when
a customer comes that was not seen yet: a change never adds units to a bucket, and an unseen customer starts
with the units that were certainly refilled.
"""

from math import inf

import pytest
from conftest import SETTINGS

from quota_gateway import Plan, Request
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.policy.rate_ceiling import BucketLevel, RateCeiling
from quota_gateway.state import Context, Customer, PendingRequest

PLAN = Plan("limited", ceiling_rate=10.0, ceiling_burst=20.0)


def context(now_ms: float = 0.0) -> Context:
    new_context = Context(SETTINGS, 1, 4000.0)
    new_context.begin_event(now_ms)
    return new_context


def customer(gateways: int, level_units: float, now_ms: float = 0.0) -> Customer:
    row = Customer((PLAN.name, "c"), now_ms, level_units, 0)
    row.serving_gateways = gateways
    return row


def pending(row: Customer, units: float, plan: Plan = PLAN) -> PendingRequest:
    request = Request("r", "safe", plan.name, row.key[1], 4000.0, units)
    return PendingRequest(request, SETTINGS.classes[0], plan, row, 0.0, 0.5, 0)


@pytest.mark.parametrize(("gateways", "level"), [(1, 5.0), (2, 2.5), (4, 1.25)])
def test_each_gateway_refills_an_even_share(gateways, level):
    assert RateCeiling(context()).level_units(customer(gateways, 0.0), PLAN, 500.0) == level


def test_share_never_holds_more_than_its_part_of_the_burst():
    assert RateCeiling(context()).level_units(customer(2, 9.0), PLAN, 60_000.0) == 10.0


@pytest.mark.parametrize(
    ("units", "wait_ms"), [(4.0, 0.0), (5.0, 200.0), (10.0, 1200.0), (10.1, inf)], ids=str
)
def test_wait_lasts_until_the_share_holds_the_units_and_is_endless_above_its_burst(units, wait_ms):
    assert RateCeiling(context()).wait_ms(pending(customer(2, 4.0), units), 0.0) == pytest.approx(wait_ms)


def test_plan_without_a_ceiling_neither_waits_nor_consumes():
    ceiling = RateCeiling(context())
    row = customer(2, 4.0)
    without_ceiling = pending(row, 1000.0, Plan(PLAN.name))
    assert ceiling.wait_ms(without_ceiling, 0.0) == 0.0
    ceiling.consume(without_ceiling, 100.0)
    assert (row.ceiling_level_units, row.ceiling_updated_ms) == (4.0, 0.0)


def test_consumed_units_are_refilled_at_the_rate():
    ceiling = RateCeiling(context())
    row = customer(2, 10.0)
    ceiling.consume(pending(row, 10.0), 0.0)
    assert ceiling.level_units(row, PLAN, 0.0) == 0.0
    assert ceiling.wait_ms(pending(row, 1.0), 0.0) == 200.0
    assert ceiling.level_units(row, PLAN, 200.0) == 1.0


def test_stricter_plan_of_a_transition_bounds_the_wait():
    row = customer(2, 10.0)
    row.transition_plan = Plan(PLAN.name, ceiling_rate=10.0, ceiling_burst=4.0)
    ceiling = RateCeiling(context())
    assert ceiling.wait_ms(pending(row, 2.0), 0.0) == 0.0
    assert ceiling.wait_ms(pending(row, 3.0), 0.0) == inf


def test_unseen_customer_has_at_most_the_units_refilled_since_the_gateway_started():
    ceiling = RateCeiling(context(now_ms=1000.0))
    assert ceiling.unseen_level_units(PLAN, 2, 1000.0) == 0.0
    assert ceiling.unseen_level_units(PLAN, 2, 1500.0) == 2.5
    assert ceiling.unseen_level_units(PLAN, 2, 9000.0) == 10.0


def test_unseen_customer_keeps_its_level_over_a_change_and_one_of_a_new_plan_starts_at_zero():
    settings_context = context(now_ms=1000.0)
    ceiling = RateCeiling(settings_context)
    customers = Customers(settings_context, QuotaMeter(settings_context), ceiling)
    customers.begin_epoch({PLAN.name: PLAN}, 2)
    assert ceiling.unseen_levels[PLAN.name] == BucketLevel(0.0, 1000.0)  # new
    settings_context.begin_event(1500.0)
    faster = Plan(PLAN.name, ceiling_rate=100.0, ceiling_burst=200.0)
    customers.begin_epoch({PLAN.name: faster, "added": faster}, 2)
    assert ceiling.unseen_levels[PLAN.name] == BucketLevel(5.0, 1500.0)  # at the rate before the change
    assert ceiling.unseen_levels["added"] == BucketLevel(0.0, 1500.0)
    assert ceiling.unseen_level_units(faster, 1, 1600.0) == 15.0
