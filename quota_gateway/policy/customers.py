"""Customers: keeps a row for each recent customer, and brings rows up to date after changes of settings.

A change of settings begins an epoch, and every row lags behind it. Rows with pending requests are brought up
to date at once, the others when their next request comes or in small steps: tens of thousands at once would
block the event loop.
"""

from __future__ import annotations

from collections import OrderedDict

from quota_gateway.api import Plan, Request
from quota_gateway.policy.quota_meter import QuotaMeter
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.state import Context, Customer, CustomerKey, PendingRequest, SettingsEpochs

MAX_PAST_EPOCHS = 32  # changes that rows may lag behind
MAX_RETIRED_PLANS = 64  # plans no longer in the settings, remembered for their customers
EVICTION_CHECKS_PER_REQUEST = 2  # above 1, so that rows are evicted faster than requests add them


class Customers:
    """Owns customers' rows, least recently used first, and the epochs of settings."""

    def __init__(self, context: Context, quota_meter: QuotaMeter, rate_ceiling: RateCeiling) -> None:
        self.context = context
        self.quota_meter = quota_meter
        self.rate_ceiling = rate_ceiling
        self.rows: OrderedDict[CustomerKey, Customer] = OrderedDict()
        self.epochs = SettingsEpochs(context.settings.plans, context.settings.gateways, MAX_RETIRED_PLANS)

    def find_or_add(self, request: Request, plan: Plan) -> Customer:
        """The row of a request's customer, up to date; it becomes the most recently used one."""
        key = (request.plan, request.customer)
        now_ms = self.context.now_ms
        customer = self.rows.get(key)
        if customer is None:
            level_units = self.rate_ceiling.unseen_level_units(plan, request.requested_gateways, now_ms)
            customer = Customer(key, now_ms, level_units, self.epochs.epoch)
            self.rows[key] = customer
        else:
            self.rows.move_to_end(key)
            self._catch_up_if_lagging(customer)
        customer.requested_gateways = request.requested_gateways
        customer.serving_gateways = min(request.requested_gateways, self.epochs.gateways)
        customer.largest_request_units = max(customer.largest_request_units, request.units)
        self._evict_idle(now_ms)
        return customer

    def request_ended(self, pending: PendingRequest) -> None:
        """Note a finished request; the last one from before a change of limits ends the transition."""
        customer = pending.customer
        if customer.transition_plan is None or pending.settings_epoch >= customer.transition_epoch:
            return
        customer.pending_before_transition -= 1
        if customer.pending_before_transition <= 0:
            self.rate_ceiling.refill(customer, customer.transition_plan, self.context.now_ms)
            customer.transition_plan = None

    # ---- Eviction

    def _evict_idle(self, now_ms: float) -> None:
        """Evict the least recently used rows that are no longer needed, a bounded number for each request."""
        for _ in range(EVICTION_CHECKS_PER_REQUEST):
            key = next(iter(self.rows))
            customer = self.rows[key]
            self._catch_up_if_lagging(customer)
            if customer.pending_count or customer.peer_occupied_places:
                # The row counts towards the concurrency cap. Moved, so that rows behind it can be evicted.
                self.rows.move_to_end(key)
                continue
            plan = self.epochs.plan(key[0])
            if plan is None:  # the plan was retired so long ago that it is forgotten
                del self.rows[key]
                return
            if not self._can_evict(customer, plan, now_ms):
                return
            if len(self.rows) > 1:  # the only row left is the one that was asked for
                del self.rows[key]

    def _can_evict(self, customer: Customer, plan: Plan, now_ms: float) -> bool:
        """Whether a new row for the customer would lead to the same decisions."""
        unseen_units = self.rate_ceiling.unseen_level_units(plan, customer.serving_gateways, now_ms)
        if self.rate_ceiling.level_units(customer, plan, now_ms) < unseen_units:
            return False
        return self.quota_meter.can_forget(customer, plan, now_ms)

    # ---- Changes of settings

    def begin_epoch(self, plans: dict[str, Plan], gateways: int) -> None:
        """Begin an epoch in which these plans and this number of gateways hold."""
        if len(self.epochs.past_epochs) >= MAX_PAST_EPOCHS:
            self.catch_up_last(len(self.epochs.lagging_customers))
        now_ms = self.context.now_ms
        self.epochs.begin(now_ms, plans, gateways, self.quota_meter.reading_lifetime_ms, self.rows)
        self.rate_ceiling.begin_epoch(self.epochs, now_ms)

    def catch_up(self, customer: Customer) -> None:
        """Bring a row up to the last change of settings, through each that it has missed."""
        plan_name = customer.key[0]
        for past in self.epochs.missed_epochs(customer.settings_epoch):
            if plan := past.plans.get(plan_name):
                self.quota_meter.drain_until(customer, plan, past.until_ms, past.reading_lifetime_ms)
                if past.until_ms > customer.ceiling_updated_ms:
                    self.rate_ceiling.refill(customer, customer.transition_plan or plan, past.until_ms)
            customer.serving_gateways = max(1, min(customer.requested_gateways, past.gateways_after))
        customer.settings_epoch = self.epochs.epoch
        if plan := self.epochs.plan(plan_name):
            capacity_units = plan.ceiling_burst / customer.serving_gateways
            customer.ceiling_level_units = min(customer.ceiling_level_units, capacity_units)

    def catch_up_last(self, count: int) -> None:
        """Bring the last ``count`` lagging rows up to date; delete idle ones of forgotten plans."""
        for key in self.epochs.lagging_customers[-count:]:
            customer = self.rows.get(key)
            if customer is None:
                continue
            self._catch_up_if_lagging(customer)
            if self.epochs.plan(key[0]) is None and not customer.pending_count:
                del self.rows[key]
        self.epochs.note_caught_up(count)

    def _catch_up_if_lagging(self, customer: Customer) -> None:
        if customer.settings_epoch != self.epochs.epoch:
            self.catch_up(customer)
