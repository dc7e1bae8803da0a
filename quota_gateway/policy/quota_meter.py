"""Quota meter: decides whether a request is within its customer's quota, without asking the other gateways.

Each gateway keeps a leaky bucket for each customer and drains it by its share of the customer's rate. The
shares are even; a late reading of the customer's use over all gateways may add a bonus to them. Readings come
with the outcomes of attempts and show the use of some time before, so they are called late.

Excess is the bucket's level in milliunits, so that a rate in units a second is also one in milliunits a
millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from quota_gateway.api import Plan
from quota_gateway.state import Context, Customer

MILLIUNITS_PER_UNIT = 1000.0
REJECT_BURSTS = 2.0  # excess in bursts beyond which a request is rejected; between one and this it is held
READING_LIFETIME_PERIODS = 4.0  # meter periods: a period, the delay of the reading, a gap in traffic
UNUSED_QUOTA_BONUS_RATIO = 0.2  # low: readings are late, and all gateways raise their shares by the same one
# Requests by which the burst of a thin share (see ``has_share_below_one_request``) grows while the customer's
# quota is wholly unused.
THIN_BURST_BONUS_REQUESTS = 2.0
THIN_BURST_BONUS_REQUESTS_IF_OVERUSE_COSTS = 1.0


class Admit(NamedTuple):
    """The request is within the customer's burst. ``excess_milliunits`` is None if its plan has no quota."""

    excess_milliunits: float | None


class Hold(NamedTuple):
    """The request may be sent once the excess has drained to the burst."""

    delay_ms: float
    excess_milliunits: float


@dataclass(frozen=True, slots=True)
class RejectOverQuota:
    """The excess would be too large for the request to be held."""


QuotaDecision = Admit | Hold | RejectOverQuota

ADMIT_WITHOUT_QUOTA = Admit(None)
REJECT_OVER_QUOTA = RejectOverQuota()


class QuotaMeter:
    """Owns customers' excess, their demand at this gateway and the late readings of their use.

    For each request ``record_demand`` comes first, as ``decide`` relies on it. If the request is taken,
    ``store_excess`` stores its excess; a request over quota counts in the demand only.
    """

    def __init__(self, context: Context) -> None:
        self.context = context

    @property
    def reading_lifetime_ms(self) -> float:
        """How long a late reading of a customer's use counts."""
        return READING_LIFETIME_PERIODS * self.context.settings.meter_period_ms

    # ---- The admission rule

    def decide(self, customer: Customer, plan: Plan, units: float, now_ms: float) -> QuotaDecision:
        """Whether a request of so many units is within quota. Stores nothing: see ``store_excess``.

        Its demand must have been recorded before (``record_demand``). Up to a burst of excess the request is
        admitted, up to ``REJECT_BURSTS`` of them it is held until the excess has drained to one burst.
        """
        if not plan.rate:
            return ADMIT_WITHOUT_QUOTA
        drain_milliunits_per_ms = self._drain_milliunits_per_ms(customer, plan, now_ms)
        burst_milliunits = self._burst_milliunits(customer, plan, units, now_ms)
        excess_milliunits = max(0.0, self._excess_with(customer, drain_milliunits_per_ms, units, now_ms))
        if excess_milliunits > REJECT_BURSTS * burst_milliunits:
            return REJECT_OVER_QUOTA
        delay_ms = max(0.0, excess_milliunits - burst_milliunits) / drain_milliunits_per_ms
        return Hold(delay_ms, excess_milliunits) if delay_ms else Admit(excess_milliunits)

    def store_excess(self, customer: Customer, decision: Admit | Hold, now_ms: float) -> None:
        """Store the excess that results from a request that is taken."""
        if decision.excess_milliunits is not None:
            customer.excess_milliunits = decision.excess_milliunits
            customer.excess_updated_ms = now_ms

    def record_demand(self, customer: Customer, plan: Plan, units: float, now_ms: float) -> None:
        """Count a request's units as demand, whether the request is rejected or not."""
        if plan.rate:
            customer.demand_units = self._demand_units(customer, plan, now_ms) + units
            customer.demand_updated_ms = now_ms

    def retry_after_ms(self, customer: Customer, plan: Plan, units: float, now_ms: float) -> float:
        """Time until a request of so many units would be admitted if no other came.

        0 without a quota: then nothing here bounds the request.
        """
        if not plan.rate:
            return 0.0
        drain_milliunits_per_ms = self._drain_milliunits_per_ms(customer, plan, now_ms)
        burst_milliunits = self._even_burst_milliunits(customer, plan)
        excess_milliunits = self._excess_with(customer, drain_milliunits_per_ms, units, now_ms)
        return max(0.0, excess_milliunits - burst_milliunits) / drain_milliunits_per_ms

    # ---- The share of the quota

    def quota_share(
        self, customer: Customer, at_ms: float, reading_lifetime_ms: float | None = None
    ) -> float:
        """This gateway's share (0 to 1) of the quota: an even part, and a bonus for unused quota."""
        lifetime_ms = self.reading_lifetime_ms if reading_lifetime_ms is None else reading_lifetime_ms
        unused_ratio = self._unused_ratio(customer, at_ms, lifetime_ms)
        return min(1.0, (1.0 + UNUSED_QUOTA_BONUS_RATIO * unused_ratio) / customer.serving_gateways)

    def has_share_below_one_request(self, customer: Customer, plan: Plan) -> bool:
        """Whether the even share is less than a request, in its burst and over a reading's lifetime.

        Such a share is called thin. Each gateway lets a customer's first request pass; where the share is
        thin, these first requests add up to many times the quota, and no gateway gets requests of the
        customer often enough to notice. A customer gets far over its quota by trying the gateways in turn.

        So two rules hold for thin shares only. A request that is marked as a retry is rejected: most likely
        another gateway rejected it for quota, but a retry after a failure is rejected as well. And the last
        reading counts until the share has drained one request; see ``_thin_burst_milliunits``.
        """
        burst_is_below_one = plan.burst < customer.largest_request_units * customer.serving_gateways
        return burst_is_below_one and self._request_drain_ms(customer, plan) > self.reading_lifetime_ms

    def _unused_ratio(self, customer: Customer, at_ms: float, lifetime_ms: float) -> float:
        """Part of the customer's quota that its late reading shows unused; 0 if the reading is too old."""
        if at_ms - customer.metered_use_at_ms > lifetime_ms:
            return 0.0
        return max(0.0, 1.0 - customer.metered_use_ratio)

    def _request_drain_ms(self, customer: Customer, plan: Plan) -> float:
        """How long the even share takes to drain the customer's largest request."""
        if not plan.rate:
            return 0.0
        return customer.largest_request_units * customer.serving_gateways * MILLIUNITS_PER_UNIT / plan.rate

    # ---- The leaky bucket

    def _drain_milliunits_per_ms(
        self, customer: Customer, plan: Plan, at_ms: float, reading_lifetime_ms: float | None = None
    ) -> float:
        """Speed at which the customer's excess drains here: its quota share of the plan's rate."""
        return plan.rate * self.quota_share(customer, at_ms, reading_lifetime_ms)

    def _excess_with(
        self, customer: Customer, drain_milliunits_per_ms: float, units: float, at_ms: float
    ) -> float:
        """Excess in milliunits with a request added; negative where more has drained than there was."""
        drained_milliunits = drain_milliunits_per_ms * (at_ms - customer.excess_updated_ms)
        return customer.excess_milliunits - drained_milliunits + MILLIUNITS_PER_UNIT * units

    def _burst_milliunits(self, customer: Customer, plan: Plan, units: float, now_ms: float) -> float:
        """Excess up to which a request of so many units is admitted at once."""
        if self.has_share_below_one_request(customer, plan):
            return self._thin_burst_milliunits(customer, plan, units, now_ms)
        return self._even_burst_milliunits(customer, plan)

    def _even_burst_milliunits(self, customer: Customer, plan: Plan) -> float:
        """An even part of the plan's burst, but never less than the customer's largest request."""
        burst_units = max(plan.burst / customer.serving_gateways, customer.largest_request_units)
        return burst_units * MILLIUNITS_PER_UNIT

    def _thin_burst_milliunits(self, customer: Customer, plan: Plan, units: float, now_ms: float) -> float:
        """Burst of a thin share, which unused quota raises by up to a few requests.

        It is raised only while the customer's demand here is no more than its share and the bonus: a low
        reading of a customer that is being rejected does not show unused quota. The bonus is smaller where
        overuse costs, as two requests that pass by chance add up over the gateways.

        The least burst is the customer's largest request. It is only the request's own units where overuse
        costs, no quota is unused and the plan's burst is less than a unit for each gateway, so that small
        requests don't pass within the allowance of a large one.
        """
        overuse_costs = plan.overuse_cost > 0.0
        bonus_requests = (
            THIN_BURST_BONUS_REQUESTS_IF_OVERUSE_COSTS if overuse_costs else THIN_BURST_BONUS_REQUESTS
        )
        unused_ratio = 0.0
        if customer.demand_units <= bonus_requests * customer.largest_request_units:
            lifetime_ms = self._request_drain_ms(customer, plan)
            unused_ratio = self._unused_ratio(customer, now_ms, lifetime_ms)
        least_units = customer.largest_request_units
        if overuse_costs and not unused_ratio and plan.burst < customer.serving_gateways:
            least_units = units
        burst_units = max(plan.burst / customer.serving_gateways, least_units)
        return burst_units * (1.0 + bonus_requests * unused_ratio) * MILLIUNITS_PER_UNIT

    def _demand_units(self, customer: Customer, plan: Plan, at_ms: float) -> float:
        """What is left of the customer's demand here once its even share has drained it."""
        drained_milliunits = plan.rate * (at_ms - customer.demand_updated_ms) / customer.serving_gateways
        return max(0.0, customer.demand_units - drained_milliunits / MILLIUNITS_PER_UNIT)

    # ---- Readings, corrections and draining

    def record_reading(self, customer: Customer, metered_use_percent: float, now_ms: float) -> None:
        """Store a late reading of the customer's use over all gateways.

        It is in percent of its rate, or of its cap where it has no rate.
        """
        customer.metered_use_ratio = metered_use_percent / 100.0
        customer.metered_use_at_ms = now_ms

    def charge(self, customer: Customer, units: float) -> None:
        """Add units to the customer's excess, or take some off if negative."""
        customer.excess_milliunits = max(0.0, customer.excess_milliunits + MILLIUNITS_PER_UNIT * units)

    def correction_units(self, estimated_units: float, final_units: float) -> float:
        """Units to charge when a response reports what a request really cost.

        A response may report more units than a request can have; if one such value were charged as it is, the
        customer would be rejected for hours. So it counts only up to the largest request in the settings.
        """
        return min(final_units, max(estimated_units, self.context.settings.largest_units)) - estimated_units

    def drain_until(
        self, customer: Customer, plan: Plan, until_ms: float, reading_lifetime_ms: float
    ) -> None:
        """Drain excess and demand up to a moment, by the plan and reading lifetime in force until then."""
        if until_ms > customer.excess_updated_ms:
            drain_milliunits_per_ms = self._drain_milliunits_per_ms(
                customer, plan, until_ms, reading_lifetime_ms
            )
            drained_milliunits = drain_milliunits_per_ms * (until_ms - customer.excess_updated_ms)
            customer.excess_milliunits = max(0.0, customer.excess_milliunits - drained_milliunits)
            customer.excess_updated_ms = until_ms
        if until_ms > customer.demand_updated_ms:
            customer.demand_units = self._demand_units(customer, plan, until_ms)
            customer.demand_updated_ms = until_ms

    def can_forget(self, customer: Customer, plan: Plan, now_ms: float) -> bool:
        """Whether forgetting the customer changes nothing: its excess has drained, its reading is too old."""
        idle_ms = now_ms - max(customer.excess_updated_ms, customer.metered_use_at_ms)
        even_drain_milliunits = plan.rate / customer.serving_gateways * idle_ms
        return customer.excess_milliunits <= even_drain_milliunits and idle_ms >= self.reading_lifetime_ms
