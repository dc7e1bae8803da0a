"""Customers: who is remembered, and by which settings each is brought up to date.

A change makes an epoch. By what held until then a customer is brought up to it: at once with something in
hand, else when it is met next, or in small steps, so that a change never holds the loop for thousands.
"""

from collections import OrderedDict

from quota_gateway.api import Plan, Request
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.state import Context, Customer, CustomerKey, Epochs, PendingRequest

MOST_PAST = 32  # changes that customers may lag behind
MOST_RETIRED = 64  # plans that are gone, but remembered for their customers


class Customers:
    """Owns the customers known, as last touched, and the epochs with their plans and numbers of gateways."""

    def __init__(self, context: Context, meter: QuotaMeter, ceiling: RateCeiling) -> None:
        self.context = context
        self.meter = meter
        self.ceiling = ceiling
        self.known: OrderedDict[CustomerKey, Customer] = OrderedDict()
        self.epochs = Epochs(context.settings.plans, context.settings.gateways, MOST_RETIRED)

    def find(self, request: Request, plan: Plan) -> Customer:
        """The request's customer, as the last touched; the longest untouched may be forgotten for it."""
        key = (request.plan, request.customer)
        now = self.context.now
        epoch = self.epochs.epoch
        customer = self.known.get(key)
        if customer is None:
            fresh = self.ceiling.unseen_level_units(plan, request.gateway_span, now)
            self.known[key] = customer = Customer(key, now, fresh, epoch)
        else:
            self.known.move_to_end(key)
            if customer.settings_epoch != epoch:
                self.catch_up(customer)
        customer.requested_gateways = request.gateway_span
        customer.serving_gateways = min(request.gateway_span, self.epochs.gateways)
        customer.largest_request_units = max(customer.largest_request_units, request.units)
        self._forget_one(now)
        return customer

    def _forget_one(self, now: float) -> None:
        """Keeps the state bounded: each request brings one customer at most and may take one away."""
        for _ in range(2):
            key = next(iter(self.known))
            old = self.known[key]
            plan = self.epochs.plan(key[0])
            if old.settings_epoch != self.epochs.epoch:
                self.catch_up(old)
            if old.pending_count or old.peer_in_flight:
                self.known.move_to_end(key)  # its row holds the cap; those behind it need not wait for it
                continue
            if plan is None:  # gone for so long that it is forgotten
                del self.known[key]
                return
            full = self.ceiling.level_units(old, plan, now) >= self.ceiling.unseen_level_units(
                plan, old.serving_gateways, now
            )
            if not full or not self.meter.is_as_new(old, plan, now):
                return
            if len(self.known) > 1:
                del self.known[key]

    def catch_up(self, customer: Customer) -> None:
        """Bring a customer up to the last change, through each that it lags behind."""
        name = customer.key[0]
        for past, gateways in self.epochs.behind(customer.settings_epoch):
            if plan := past.plans.get(name):
                self.meter.drain_until(customer, plan, past.until, past.news_ms)
                if past.until > customer.ceiling_updated_ms:
                    self.ceiling.refill(customer, customer.transition_plan or plan, past.until)
            customer.serving_gateways = max(1, min(customer.requested_gateways, gateways))
        customer.settings_epoch = self.epochs.epoch
        if plan := self.epochs.plan(name):
            customer.ceiling_level_units = min(
                customer.ceiling_level_units, plan.ceiling_burst / customer.serving_gateways
            )

    def turn(self, plans: dict[str, Plan], gateways: int) -> None:
        """Begin a new epoch, in which these plans and this number of gateways hold."""
        if len(self.epochs.past) >= MOST_PAST:
            self.step(len(self.epochs.lagging))
        self.epochs.turn(self.context.now, plans, gateways, self.meter.reading_lifetime_ms, self.known)
        self.ceiling.begin_epoch(self.epochs, self.context.now)

    def step(self, count: int) -> None:
        """Bring some of those up to date that lag behind."""
        for key in self.epochs.lagging[-count:]:
            customer = self.known.get(key)
            if customer and customer.settings_epoch != self.epochs.epoch:
                self.catch_up(customer)
            if customer and self.epochs.plan(key[0]) is None and not customer.pending_count:
                del self.known[key]
        self.epochs.caught_up(count)

    def ended(self, pending: PendingRequest) -> None:
        """A request has left: with the last one taken before a change its customer's strict bounds go too."""
        customer = pending.customer
        if customer.transition_plan is None or pending.settings_epoch >= customer.transition_epoch:
            return
        customer.pending_before_transition -= 1
        if customer.pending_before_transition <= 0:
            self.ceiling.refill(customer, customer.transition_plan, self.context.now)
            customer.transition_plan = None
