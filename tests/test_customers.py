"""Customers' rows: which are evicted, and how they are brought through changes of settings.

Hundreds of thousands of customers come and go while settings change. A row that is evicted too early grants a
fresh burst, and one that is brought up to date by the wrong settings gets too large or too small a quota. So
only rows that no decision needs any more are evicted, and each epoch counts by the settings in force then.
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
IDLE_MS = 4.0 * SETTINGS.meter_period_ms  # a reading counts no longer than this


class CustomersHarness:
    """Customers' rows with a scripted clock."""

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


def test_row_stores_the_largest_request_and_becomes_the_most_recently_used():
    harness = CustomersHarness()
    harness.ask("a", 0.0, units=3.0)
    row = harness.ask("a", 1.0, units=2.0)
    assert row.largest_request_units == 3.0
    assert (row.requested_gateways, row.serving_gateways) == (2, 2)
    harness.ask("b", 2.0)
    harness.ask("a", 3.0)
    assert harness.names() == ["b", "a"]  # least recently used first


def test_each_request_evicts_up_to_two_idle_rows_but_never_its_own():
    harness = CustomersHarness()
    for name in "abcde":
        harness.ask(name, 0.0)
    harness.ask("x", IDLE_MS)
    assert harness.names() == ["c", "d", "e", "x"]
    harness.ask("x", IDLE_MS)
    assert harness.names() == ["e", "x"]
    harness.ask("x", 3 * IDLE_MS)
    assert harness.names() == ["x"]


@pytest.mark.parametrize(
    "column",
    ["excess_milliunits", "metered_use_at_ms"],
)
def test_row_with_excess_or_a_reading_is_kept_and_so_are_those_behind_it(column):
    harness = CustomersHarness()
    row = harness.ask("a", 0.0)
    setattr(row, column, 1e6)
    harness.ask("b", 0.0)
    harness.ask("x", IDLE_MS)
    assert harness.names() == ["a", "b", "x"]


def test_row_whose_rate_ceiling_is_not_refilled_is_kept():
    limited = Plan("limited", ceiling_rate=1.0, ceiling_burst=1000.0)
    harness = CustomersHarness()
    harness.customers.begin_epoch({PLAN.name: PLAN, limited.name: limited}, 2)
    harness.ask("a", 0.0, plan=limited).ceiling_level_units = -5.0
    harness.ask("x", IDLE_MS)
    assert harness.names() == ["a", "x"]


@pytest.mark.parametrize("column", ["pending_count", "peer_occupied_places"])
def test_row_with_requests_pending_is_kept_but_not_those_behind_it(column):
    harness = CustomersHarness()
    setattr(harness.ask("a", 0.0), column, 1)
    for name in "bc":
        harness.ask(name, 0.0)
    harness.ask("x", IDLE_MS)
    assert harness.names() == ["c", "x", "a"]  # moved, and counted as one of the two that are checked
    harness.ask("x", IDLE_MS)
    assert harness.names() == ["x", "a"]


# ---- Changes of settings


def test_row_drains_through_each_epoch_by_the_plan_of_that_epoch():
    harness = CustomersHarness()
    row = harness.ask("a", 0.0)
    row.excess_milliunits = 10_000.0
    for at_ms, rate in ((1000.0, 4.0), (2000.0, 2.0), (3000.0, 10.0)):
        harness.context.begin_event(at_ms)
        harness.customers.begin_epoch({PLAN.name: Plan(PLAN.name, rate=rate, burst=8.0)}, 2)
    assert len(harness.customers.epochs.past_epochs) == 3
    harness.customers.catch_up(row)
    # of two gateways: 10, 4 and 2 units a second, a second each
    assert row.excess_milliunits == 10_000.0 - 5000.0 - 2000.0 - 1000.0
    assert row.excess_updated_ms == 3000.0
    assert row.settings_epoch == 3


def test_row_catches_up_with_the_number_of_gateways_of_each_epoch():
    harness = CustomersHarness()
    row = harness.ask("a", 0.0)
    row.excess_milliunits = 10_000.0
    row.requested_gateways = 4
    for at_ms, gateways in ((1000.0, 4), (2000.0, 1)):
        harness.context.begin_event(at_ms)
        harness.customers.begin_epoch({PLAN.name: PLAN}, gateways)
    harness.customers.catch_up(row)
    assert row.serving_gateways == 1
    assert row.excess_milliunits == 10_000.0 - 5000.0 - 2500.0  # a second of two gateways, one of four


def test_past_epochs_are_forgotten_once_no_row_lags_behind():
    harness = CustomersHarness()
    for name in "abc":
        harness.ask(name, 0.0)
    harness.customers.begin_epoch({PLAN.name: PLAN}, 2)
    harness.customers.catch_up_last(2)
    rows = harness.customers.rows.values()
    assert [row.settings_epoch for row in rows] == [0, 1, 1]
    assert len(harness.customers.epochs.past_epochs) == 1
    harness.customers.catch_up_last(2)
    assert [row.settings_epoch for row in rows] == [1, 1, 1]
    assert not harness.customers.epochs.past_epochs


def test_past_epochs_are_bounded_however_often_settings_change():
    harness = CustomersHarness()
    harness.ask("a", 0.0)
    for number in range(3 * MAX_PAST_EPOCHS):
        harness.context.begin_event(float(number))
        harness.customers.begin_epoch({PLAN.name: PLAN}, 2)
        assert len(harness.customers.epochs.past_epochs) <= MAX_PAST_EPOCHS


def test_rows_of_a_forgotten_plan_are_deleted_unless_requests_are_pending():
    harness = CustomersHarness()
    harness.ask("a", 0.0)
    harness.ask("b", 0.0).pending_count = 1
    harness.customers.epochs.max_retired_plans = 1
    for name in ("one", "two", "three"):
        harness.customers.begin_epoch({name: Plan(name)}, 2)
    harness.customers.catch_up_last(2)
    assert harness.names() == ["b"]


def test_retired_plans_are_the_newest_ones_up_to_the_bound():
    epochs = SettingsEpochs([PLAN], 2, MAX_RETIRED_PLANS)
    for number in range(MAX_RETIRED_PLANS + 3):
        epochs.begin(float(number), {str(number): Plan(str(number))}, 2, 4000.0, [])
    assert len(epochs.retired_plans) == MAX_RETIRED_PLANS
    assert epochs.plan(PLAN.name) is None
    assert epochs.plan(str(MAX_RETIRED_PLANS)) is not None


def test_missed_epochs_begin_with_the_epoch_of_the_row():
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


def test_quota_and_price_do_not_count_as_limits_of_a_transition():
    assert has_same_limits(LIMITED, Plan("p", 1.0, 2.0, 4, 7.0, ceiling_rate=10.0, ceiling_burst=20.0))
    for changed in (
        Plan("p", max_in_flight=5, ceiling_rate=10.0, ceiling_burst=20.0),
        Plan("p", max_in_flight=4, ceiling_rate=11.0, ceiling_burst=20.0),
        Plan("p", max_in_flight=4, ceiling_rate=10.0, ceiling_burst=21.0),
    ):
        assert not has_same_limits(LIMITED, changed)
