"""The meter: each customer's excess (thousandths of a unit), and this gateway's slice of its quota."""

from math import inf

from quota_gateway.api import Plan
from quota_gateway.state import Context, Customer

THOUSANDTHS = 1000.0  # of a unit, the unit of the excess
GROWTH = 0.2  # share of the room that is given out: the meter is late, and all gateways rise on one figure
THIN_BURST = 2.0, 1.0  # requests by which an unused thin slice's burst grows; where going beyond costs
NEWS_PERIODS = 4.0  # meter periods a reading stays news: the period, its lateness, a gap in traffic


class Meter:
    """Owns the excess and the readings of customers' use."""

    def __init__(self, context: Context) -> None:
        self.context = context

    @property
    def news_ms(self) -> float:
        """How long a reading of the meter is news."""
        return NEWS_PERIODS * self.context.settings.meter_period_ms

    def _drain_ms(self, customer: Customer, plan: Plan) -> float:
        """How long the even slice takes to drain the customer's largest request."""
        return (
            customer.largest_request_units * customer.serving_gateways * THOUSANDTHS / plan.rate
            if plan.rate
            else 0.0
        )

    def _drain_asked(self, customer: Customer, plan: Plan, at: float) -> float:
        """What is left of all that the customer asked here, once the even slice has drained it."""
        drained = plan.rate * (at - customer.demand_updated_ms) / customer.serving_gateways / THOUSANDTHS
        return max(0.0, customer.demand_units - drained)

    def thin(self, customer: Customer, plan: Plan) -> bool:
        """Whether the even slice is less than a request, in its burst and in all the time that news lasts.

        There, what every gateway lets pass at first adds up to many times the quota, and none hears of the
        customer often enough to see it. So, there and only there: a marked retry is refused, as it was most
        likely refused elsewhere for being over quota; and the last reading stays news until a request has
        drained, its room growing the burst while the customer asks no more here than its slice and two
        requests: a low reading of one held back is no room. Guards against customers far over quota that
        try each gateway in turn. Harm: a retry after a failure is refused too.
        """
        thin = plan.burst < customer.largest_request_units * customer.serving_gateways
        return thin and self._drain_ms(customer, plan) > self.news_ms

    def read(self, customer: Customer, metered_use_percent: float, now: float) -> None:
        """A late reading of the customer's use by all gateways, in percent of its rate."""
        customer.metered_use_ratio = metered_use_percent / 100.0
        customer.metered_use_at_ms = now

    def _room(self, customer: Customer, at: float, lasts_ms: float) -> float:
        """The room that the late reading leaves; none at or over quota, or when it is no news any more."""
        return (
            max(0.0, 1.0 - customer.metered_use_ratio) if at - customer.metered_use_at_ms <= lasts_ms else 0.0
        )

    def share(self, customer: Customer, at: float, news_ms: float | None = None) -> float:
        """The slice of the quota: the even floor, and the even part of the room that fresh news leaves."""
        room = self._room(customer, at, self.news_ms if news_ms is None else news_ms)
        return min(1.0, (1.0 + GROWTH * room) / customer.serving_gateways)

    def take(self, customer: Customer, plan: Plan, units: float, now: float) -> float:
        """Milliseconds to hold the request, inf to refuse it; the excess is stored unless it is refused."""
        if not plan.rate:
            return 0.0
        rate = plan.rate * self.share(customer, now)
        customer.demand_units = self._drain_asked(customer, plan, now) + units
        customer.demand_updated_ms = now
        # under one each: by the request
        thin = self.thin(customer, plan)
        costs = plan.overuse_cost > 0.0
        grows = THIN_BURST[costs]  # by chance two are no abuse, but chance adds up
        few = thin and customer.demand_units <= grows * customer.largest_request_units
        room = self._room(customer, now, self._drain_ms(customer, plan)) if few else 0.0
        one = (
            units
            if thin and costs and not room and plan.burst < customer.serving_gateways
            else customer.largest_request_units
        )
        burst = max(plan.burst / customer.serving_gateways, one) * (1.0 + grows * room) * THOUSANDTHS
        excess = max(
            0.0, customer.excess_milliunits - rate * (now - customer.excess_updated_ms) + THOUSANDTHS * units
        )
        if excess > 2.0 * burst:
            return inf
        customer.excess_milliunits = excess
        customer.excess_updated_ms = now
        return max(0.0, excess - burst) / rate

    def advice(self, customer: Customer, plan: Plan, units: float, now: float) -> float:
        """Milliseconds until the bucket has drained for a request of so many units."""
        if not plan.rate:
            return 0.0
        rate = plan.rate * self.share(customer, now)
        burst = max(plan.burst / customer.serving_gateways, customer.largest_request_units) * THOUSANDTHS
        excess = customer.excess_milliunits - rate * (now - customer.excess_updated_ms) + THOUSANDTHS * units
        return max(0.0, excess - burst) / rate

    def charge(self, customer: Customer, units: float) -> None:
        """Add units to what the customer has used here, or take some off."""
        customer.excess_milliunits = max(0.0, customer.excess_milliunits + THOUSANDTHS * units)

    def correction(self, guess: float, true: float) -> float:
        """Units to charge once an answer has told the true ones.

        Guards against an answer that tells more than a request can count: one such figure would refuse
        the customer for hours.
        """
        return min(true, max(guess, self.context.settings.largest_units)) - guess

    def drain(self, customer: Customer, plan: Plan, until: float, news_ms: float) -> None:
        """Bring a customer up to a moment by the plan, and the life of news, that held until then."""
        if until > customer.excess_updated_ms:
            rate = plan.rate * self.share(customer, until, news_ms)
            customer.excess_milliunits = max(
                0.0, customer.excess_milliunits - rate * (until - customer.excess_updated_ms)
            )
            customer.excess_updated_ms = until
        if until > customer.demand_updated_ms:
            customer.demand_units = self._drain_asked(customer, plan, until)
            customer.demand_updated_ms = until

    def as_new(self, customer: Customer, plan: Plan, now: float) -> bool:
        """Whether forgetting the customer alters nothing: its excess has drained, its reading is old."""
        idle = now - max(customer.excess_updated_ms, customer.metered_use_at_ms)
        return (
            customer.excess_milliunits <= plan.rate / customer.serving_gateways * idle
            and idle >= self.news_ms
        )
