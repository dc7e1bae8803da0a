"""Hard bounds of a customer over all gateways: the ceiling on units, the cap on attempts out."""

from math import inf

from quota_gateway.api import Plan
from quota_gateway.policy.quota_meter import Meter
from quota_gateway.state import Context, Customer, Epochs, PendingRequest

CAP_NEWS = 2.0  # times that a rate's reading is news: few gateways hear of one customer's attempts twice
CAP_POWER = 3.0  # of the overuse: gateways without a reading let theirs out all the same


class Ceilings:
    """Owns customers' shares of the ceilings' stores. Times are milliseconds, levels are units."""

    def __init__(self, context: Context, meter: Meter) -> None:
        self.context = context
        self.meter = meter
        # Of each plan's ceiling, what a customer may have that was not seen: the level at the last change.
        self.fresh: dict[str, tuple[float, float]] = {}

    def fresh_level(self, plan: Plan, width: int, now: float) -> float:
        """The ceiling's share of a customer not seen since the start: unknown history starts at nought."""
        level, at = self.fresh.get(plan.name, (0.0, self.context.since))
        return min(plan.ceiling_burst, level + plan.ceiling_rate * (now - at) / 1000.0) / width

    def turn(self, epochs: Epochs, now: float) -> None:
        """A new epoch: unseen customers keep what they may have; plans that are added begin with nothing."""
        before = epochs.past[-1].plans
        fresh = {
            name: (self.fresh_level(plan, 1, now), now) for name, plan in before.items() if epochs.plan(name)
        }
        self.fresh = fresh | {name: (0.0, now) for name in epochs.plans if name not in before}

    def level(self, customer: Customer, plan: Plan, at: float) -> float:
        """Units in this gateway's share of the ceiling's store."""
        refill = plan.ceiling_rate / customer.serving_gateways * (at - customer.ceiling_updated_ms) / 1000.0
        return min(plan.ceiling_burst / customer.serving_gateways, customer.ceiling_level_units + refill)

    def wait(self, pending: PendingRequest, now: float) -> float:
        """Milliseconds until this gateway's share of the ceiling holds the request's units, or inf."""
        customer = pending.customer
        units = pending.request.units
        plan = customer.transition_plan or pending.plan
        if not plan.ceiling_rate:
            return 0.0
        if units > plan.ceiling_burst / customer.serving_gateways:
            return inf
        short = units - self.level(customer, plan, now)
        return max(0.0, short) * 1000.0 * customer.serving_gateways / plan.ceiling_rate

    def draw(self, pending: PendingRequest, now: float) -> None:
        """The request is sent on: its units leave the store."""
        plan = pending.customer.transition_plan or pending.plan
        if plan.ceiling_rate:
            self.bring(pending.customer, plan, now)
            pending.customer.ceiling_level_units -= pending.request.units

    def bring(self, customer: Customer, plan: Plan, at: float) -> None:
        """Bring a customer's share up to a moment by this plan."""
        customer.ceiling_level_units = self.level(customer, plan, at)
        customer.ceiling_updated_ms = at

    def capped(self, pending: PendingRequest, now: float) -> bool:
        """Whether this gateway's slice of the customer's attempts at once, at least one, is out."""
        customer = pending.customer
        cap = (customer.transition_plan or pending.plan).max_in_flight
        if not cap:
            return False
        return customer.attempts_in_flight + customer.peer_in_flight >= max(
            1, int(cap * self.meter.share(customer, now))
        )

    def overused(self, customer: Customer, plan: Plan, now: float) -> bool:
        """Whether a request stays in by the late reading of a cap: by chance, the likelier the more is out.

        Guards against a cap below one for each gateway, which slices can't keep: a customer whom all of them
        serve is beyond it with nearly all it asks. Harm: a peak that is over holds a few back.
        """
        thin = not plan.rate and plan.overuse_cost and 0 < plan.max_in_flight < customer.serving_gateways
        if not thin or now - customer.metered_use_at_ms > CAP_NEWS * self.meter.news_ms:
            return False
        return self.context.random.random() * float(customer.metered_use_ratio**CAP_POWER) > 1.0
