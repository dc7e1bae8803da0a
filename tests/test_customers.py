"""Customers' rows: which are evicted, and how they are brought through changes of settings.

What happens: customers come and go by the hundred thousand, and settings change while they do. What a user
would lose: a row that is forgotten too early is a fresh burst, one that is brought through a change by the
wrong settings has a quota that is too large or too small. What must hold instead: only rows that say nothing
are evicted, and each epoch counts by what held in it.
"""

from __future__ import annotations

import pytest
from conftest import SETTINGS

from quota_gateway import Plan, Request
from quota_gateway.policy.customers import MAX_PAST_EPOCHS, MAX_RETIRED_PLANS, Customers
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.policy.settings_change import has_same_limits, with_stricter_limits
from quota_gateway.state import Context, Customer
from quota_gateway.state.settings_epochs import SettingsEpochs

PLAN = Plan("metered", rate=10.0, burst=8.0)
IDLE_MS = 4.0 * SETTINGS.meter_period_ms  # after which a reading counts no more


class World:
    """Customers and their clock."""

    def __init__(self) -> None:
        self.context = Context(SETTINGS, 1, 4000.0)
        self.context.begin_event(0.0)
        self.customers = Customers(self.context, QuotaMeter(self.context), RateCeiling(self.context))

    def ask(self, name: str, at_ms: float, units: float = 1.0, plan: Plan = PLAN) -> Customer:
        self.context.begin_event(at_ms)
        request = Request("r", "safe", plan.name, name, 1000.0, units, requested_gateways=2)
        return self.customers.find_or_add(request, plan)

    def names(self) -> list[str]:
        return [name for _, name in self.customers.rows]


# ---- Rows that are evicted


def test_row_says_who_asked_last_and_for_how_much():
    world = World()
    world.ask("a", 0.0, units=3.0)
    row = world.ask("a", 1.0, units=2.0)
    assert row.largest_request_units == 3.0
    assert (row.requested_gateways, row.serving_gateways) == (2, 2)
    world.ask("b", 2.0)
    world.ask("a", 3.0)
    assert world.names() == ["b", "a"]  # least recently used first


def test_idle_rows_are_evicted_two_a_request_and_never_the_one_that_asks():
    world = World()
    for name in "abcde":
        world.ask(name, 0.0)
    world.ask("x", IDLE_MS)
    assert world.names() == ["c", "d", "e", "x"]
    world.ask("x", IDLE_MS)
    assert world.names() == ["e", "x"]
    world.ask("x", 3 * IDLE_MS)
    assert world.names() == ["x"]


@pytest.mark.parametrize(
    "column",
    ["excess_milliunits", "metered_use_at_ms"],
)
def test_row_that_still_says_something_is_kept_and_those_behind_it(column):
    world = World()
    row = world.ask("a", 0.0)
    setattr(row, column, 1e6)
    world.ask("b", 0.0)
    world.ask("x", IDLE_MS)
    assert world.names() == ["a", "b", "x"]


def test_row_whose_ceiling_is_not_refilled_is_kept():
    limited = Plan("limited", ceiling_rate=1.0, ceiling_burst=1000.0)
    world = World()
    world.customers.begin_epoch({PLAN.name: PLAN, limited.name: limited}, 2)
    world.ask("a", 0.0, plan=limited).ceiling_level_units = -5.0
    world.ask("x", IDLE_MS)
    assert world.names() == ["a", "x"]


@pytest.mark.parametrize("column", ["pending_count", "peer_occupied_places"])
def test_row_with_something_in_flight_is_kept_but_not_those_behind_it(column):
    world = World()
    setattr(world.ask("a", 0.0), column, 1)
    for name in "bc":
        world.ask(name, 0.0)
    world.ask("x", IDLE_MS)
    assert world.names() == ["c", "x", "a"]  # moved, and counted as one of the two that are checked
    world.ask("x", IDLE_MS)
    assert world.names() == ["x", "a"]


# ---- Changes of settings


def test_row_drains_through_each_epoch_by_the_plan_of_that_epoch():
    world = World()
    row = world.ask("a", 0.0)
    row.excess_milliunits = 10_000.0
    for at_ms, rate in ((1000.0, 4.0), (2000.0, 2.0), (3000.0, 10.0)):
        world.context.begin_event(at_ms)
        world.customers.begin_epoch({PLAN.name: Plan(PLAN.name, rate=rate, burst=8.0)}, 2)
    assert len(world.customers.epochs.past_epochs) == 3
    world.customers.catch_up(row)
    # of two gateways: 10, 4 and 2 units a second, a second each
    assert row.excess_milliunits == 10_000.0 - 5000.0 - 2000.0 - 1000.0
    assert row.excess_updated_ms == 3000.0
    assert row.settings_epoch == 3


def test_row_has_the_number_of_gateways_that_came_after_each_epoch():
    world = World()
    row = world.ask("a", 0.0)
    row.excess_milliunits = 10_000.0
    row.requested_gateways = 4
    for at_ms, gateways in ((1000.0, 4), (2000.0, 1)):
        world.context.begin_event(at_ms)
        world.customers.begin_epoch({PLAN.name: PLAN}, gateways)
    world.customers.catch_up(row)
    assert row.serving_gateways == 1
    assert row.excess_milliunits == 10_000.0 - 5000.0 - 2500.0  # a second of two gateways, one of four


def test_past_epochs_are_forgotten_once_no_row_lags_behind():
    world = World()
    for name in "abc":
        world.ask(name, 0.0)
    world.customers.begin_epoch({PLAN.name: PLAN}, 2)
    world.customers.catch_up_last(2)
    rows = world.customers.rows.values()
    assert [row.settings_epoch for row in rows] == [0, 1, 1]
    assert len(world.customers.epochs.past_epochs) == 1
    world.customers.catch_up_last(2)
    assert [row.settings_epoch for row in rows] == [1, 1, 1]
    assert not world.customers.epochs.past_epochs


def test_past_epochs_are_bounded_however_often_settings_change():
    world = World()
    world.ask("a", 0.0)
    for number in range(3 * MAX_PAST_EPOCHS):
        world.context.begin_event(float(number))
        world.customers.begin_epoch({PLAN.name: PLAN}, 2)
        assert len(world.customers.epochs.past_epochs) <= MAX_PAST_EPOCHS


def test_rows_of_a_plan_that_is_forgotten_go_unless_something_is_pending():
    world = World()
    world.ask("a", 0.0)
    world.ask("b", 0.0).pending_count = 1
    world.customers.epochs.max_retired_plans = 1
    for name in ("one", "two", "three"):
        world.customers.begin_epoch({name: Plan(name)}, 2)
    world.customers.catch_up_last(2)
    assert world.names() == ["b"]


def test_retired_plans_are_the_newest_ones_up_to_the_bound():
    epochs = SettingsEpochs([PLAN], 2, MAX_RETIRED_PLANS)
    for number in range(MAX_RETIRED_PLANS + 3):
        epochs.begin(float(number), {str(number): Plan(str(number))}, 2, 4000.0, [])
    assert len(epochs.retired_plans) == MAX_RETIRED_PLANS
    assert epochs.plan(PLAN.name) is None
    assert epochs.plan(str(MAX_RETIRED_PLANS)) is not None


def test_epochs_missed_are_those_from_the_rows_own_on():
    epochs = SettingsEpochs([PLAN], 2, MAX_RETIRED_PLANS)
    for number in range(3):
        epochs.begin(float(number), {PLAN.name: PLAN}, number + 1, 4000.0, [("metered", "c")])
    assert [past.until_ms for past in epochs.missed_epochs(0)] == [0.0, 1.0, 2.0]
    assert [past.gateways_after for past in epochs.missed_epochs(1)] == [2, 3]
    assert epochs.missed_epochs(3) == []


# ---- Limits in transition


LIMITED = Plan("p", max_in_flight=4, ceiling_rate=10.0, ceiling_burst=20.0)


@pytest.mark.parametrize(
    ("other", "cap", "rate", "burst"),
    [
        (Plan("p"), 4, 10.0, 20.0),  # 0 means no limit
        (Plan("p", max_in_flight=2), 2, 10.0, 20.0),
        (Plan("p", max_in_flight=8, ceiling_rate=5.0, ceiling_burst=40.0), 4, 5.0, 20.0),
        (Plan("p", ceiling_rate=20.0, ceiling_burst=10.0), 4, 10.0, 10.0),
    ],
)
def test_stricter_limits_are_the_lower_of_both(other, cap, rate, burst):
    for plan, with_limits_of in ((LIMITED, other), (other, LIMITED)):
        strict = with_stricter_limits(plan, with_limits_of)
        assert (strict.max_in_flight, strict.ceiling_rate, strict.ceiling_burst) == (cap, rate, burst)
        assert strict.rate == plan.rate


def test_quota_and_price_are_no_limits_of_a_transition():
    assert has_same_limits(LIMITED, Plan("p", 1.0, 2.0, 4, 7.0, ceiling_rate=10.0, ceiling_burst=20.0))
    for changed in (
        Plan("p", max_in_flight=5, ceiling_rate=10.0, ceiling_burst=20.0),
        Plan("p", max_in_flight=4, ceiling_rate=11.0, ceiling_burst=20.0),
        Plan("p", max_in_flight=4, ceiling_rate=10.0, ceiling_burst=21.0),
    ):
        assert not has_same_limits(LIMITED, changed)
