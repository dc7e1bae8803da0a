"""Settings that change while the gateway serves: a part of the decisions, and the only one that may.

A change is one event. What is in hand keeps its class and its plan. A customer's state is brought up to
each change by the settings that held until then: at once for whoever has something in hand, for the others
when they are met next, or in small steps, so that a change never holds the loop for thousands of them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from brackenloft.interface import NewSettings, Plan

if TYPE_CHECKING:
    from brackenloft.logic import Customer, Flight, Gateway

SETTLE_MS = 4000.0  # the platform gives a change of configuration so long: others may go by the old one
LEAST_POOL = 0.3  # attempts out: a pool below it sees too few answers to recover
STEP = 100  # customers brought up to date in a step
MOST_PAST = 32  # changes that customers may lag behind
BOUNDS = ("max_in_flight", "ceiling_rate", "ceiling_burst")
MOST_RETIRED = 64  # plans that are gone, but remembered for their customers


@dataclass(frozen=True, slots=True)
class Past:
    """What held until a change: by it customers are brought up to the change."""

    until: float
    plans: dict[str, Plan]
    gateways: int
    news_ms: float  # how long a reading of the meter was news


def stricter(one: Plan, other: Plan) -> Plan:
    """The first plan, with the lower of both ceilings and caps; nought is none."""
    def low(a: float, b: float) -> float:
        return min(a, b) if a and b else a or b

    rate = low(one.ceiling_rate, other.ceiling_rate)
    burst = low(one.ceiling_burst, other.ceiling_burst) if rate else 0.0
    return replace(one, max_in_flight=int(low(one.max_in_flight, other.max_in_flight)),
                   ceiling_rate=rate, ceiling_burst=burst)


class Changes:
    """Takes new settings over and brings customers up to them."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.epoch = 0  # changes so far
        self.past: list[Past] = []  # the last of them, for customers that lag behind
        self.lagging: list[tuple[str, str]] = []
        self.retired: dict[str, Plan] = {}  # plans that are gone
        # Of each plan's ceiling, what a customer may have that was not seen: the level at the last change.
        self.fresh: dict[str, tuple[float, float]] = {}

    # ---- The change

    def on_settings(self, event: NewSettings) -> None:
        """Take them over. All that may fail comes before the first thing that is altered.

        A larger number of gateways holds at once, as shares shrink. A smaller one holds once the others must
        have heard of it too: until then this gateway's share grows by nothing.
        """
        gateway, settings = self.gateway, event.settings
        plans = {item.name: item for item in settings.plans}
        classes = {item.name: item for item in settings.classes}
        kinds = classes | {flight.kind.name: flight.kind for flight in gateway.flights.values()}
        latency = {name: gateway.latency.get(name, gateway.first_latency(kind))
                   for name, kind in kinds.items()}
        quick = {name: gateway.quick.get(name, {}) for name in kinds}
        gateways = max(gateway.gateways, settings.gateways)
        bounds = self._bounds(plans)
        # From here on nothing fails.
        self._turn(plans, gateways)
        gateway.settings, gateway.classes, gateway.plans = settings, classes, plans
        gateway.latency, gateway.quick = latency, quick
        gateway.most_worth = max(item.worth for item in settings.classes) or 1.0
        self._forget_marks()
        self._keep_in_hand(bounds)
        gateway.relist()
        if settings.gateways < gateways:
            gateway.arm(SETTLE_MS, self._settled, self.epoch)
        gateway.retry_parked()

    def _settled(self, epoch: int) -> None:
        """The smaller number of gateways holds from now on, unless there was another change."""
        gateway = self.gateway
        if epoch == self.epoch:
            self._turn(gateway.plans, gateway.settings.gateways)
            self._keep_in_hand({})
            gateway.retry_parked()

    def _turn(self, plans: dict[str, Plan], gateways: int) -> None:
        """Begin a new epoch."""
        gateway = self.gateway
        if len(self.past) >= MOST_PAST:
            self._step(len(self.lagging))
        before = self.retired | gateway.plans
        self.past.append(Past(gateway.now, before, gateway.gateways, gateway.news_ms()))
        self.epoch += 1
        self.retired = {name: plan for name, plan in before.items() if name not in plans}
        for name in list(self.retired)[:-MOST_RETIRED]:
            del self.retired[name]
        self.fresh = {name: (gateway.fresh_ceiling(plan, 1), gateway.now) for name, plan in before.items()
                      if name in plans or name in self.retired}
        for name in plans.keys() - before.keys():
            self.fresh[name] = (0.0, gateway.now)
        gateway.pool = max(LEAST_POOL, gateway.pool * gateway.gateways / gateways)
        gateway.gateways = gateways
        self.lagging = list(gateway.customers)
        if self.lagging:
            gateway.arm(gateway.settings.tick_ms, self._sweep, self.epoch)

    def _forget_marks(self) -> None:
        """Keeps health bounded however many classes and plans come and go."""
        gateway = self.gateway
        known = {f"class {kind}" for kind in gateway.classes}
        known |= {f"class {kind} of plan {plan}" for kind in gateway.classes for plan in gateway.plans}
        for marks in [gateway.marks, *(server.marks for server in gateway.servers.values())]:
            for key in [key for key in marks if key.startswith("class ") and key not in known]:
                del marks[key]

    # ---- What is in hand

    def _bounds(self, plans: dict[str, Plan]) -> dict[tuple[str, str], Plan]:
        """For customers with something in hand whose ceiling or cap changes: the stricter of old and new."""
        bounds: dict[tuple[str, str], Plan] = {}
        for flight in self.gateway.flights.values():
            old, customer = flight.plan, flight.customer
            new, strict = plans.get(old.name, old), bounds.get(customer.key) or customer.strict
            bound = stricter(new, stricter(old, strict or old))
            if strict or any(getattr(bound, name) != getattr(plan, name)
                             for name in BOUNDS for plan in (old, new)):
                bounds[customer.key] = bound
        return bounds

    def _keep_in_hand(self, bounds: dict[tuple[str, str], Plan]) -> None:
        """Bring up to date whoever has something in hand; until that has ended the stricter bounds hold."""
        for flight in self.gateway.flights.values():
            self.catch_up(flight.customer)
            if flight.customer.key in bounds:
                flight.customer.older = 0
        for flight in self.gateway.flights.values():
            customer = flight.customer
            if customer.key in bounds:
                customer.strict, customer.strict_epoch = bounds[customer.key], self.epoch
                customer.older += 1

    def ended(self, flight: Flight) -> None:
        """A request has left: with the last one taken before a change its bounds go too."""
        customer = flight.customer
        if customer.strict is None or flight.epoch >= customer.strict_epoch:
            return
        customer.older -= 1
        if customer.older <= 0:
            customer.ceiling = self.gateway.ceiling_level(customer, customer.strict, self.gateway.now)
            customer.ceiling_at, customer.strict = self.gateway.now, None

    # ---- Customers

    def plan(self, name: str) -> Plan | None:
        """A customer's plan, if it is remembered."""
        return self.gateway.plans.get(name) or self.retired.get(name)

    def catch_up(self, customer: Customer) -> None:
        """Bring a customer up to the last change, through each that it lags behind."""
        for number in range(customer.epoch - self.epoch, 0):
            past = self.past[number]
            plan = past.plans.get(customer.key[0])
            if plan:
                self._drain(customer, plan, past)
            gateways = self.past[number + 1].gateways if number < -1 else self.gateway.gateways
            customer.width = max(1, min(customer.span, gateways))
        customer.epoch = self.epoch
        plan = self.plan(customer.key[0])
        if plan:
            customer.ceiling = min(customer.ceiling, plan.ceiling_burst / customer.width)

    def _drain(self, customer: Customer, plan: Plan, past: Past) -> None:
        at = past.until
        if at > customer.touched:
            rate = plan.rate * self.gateway.share(customer, at, past.news_ms)
            customer.excess = max(0.0, customer.excess - rate * (at - customer.touched))
            customer.touched = at
        if at > customer.asked_at:
            drained = plan.rate * (at - customer.asked_at) / customer.width / 1000.0
            customer.asked, customer.asked_at = max(0.0, customer.asked - drained), at
        if at > customer.ceiling_at:
            customer.ceiling = self.gateway.ceiling_level(customer, customer.strict or plan, at)
            customer.ceiling_at = at

    def _sweep(self, epoch: int) -> None:
        if epoch == self.epoch:
            self._step(STEP)
            if self.lagging:
                self.gateway.arm(self.gateway.settings.tick_ms, self._sweep, epoch)

    def _step(self, count: int) -> None:
        """Bring some up to date; once all are, nothing of the past is needed any more."""
        customers = self.gateway.customers
        for key in self.lagging[-count:]:
            customer = customers.get(key)
            if customer and customer.epoch < self.epoch:
                self.catch_up(customer)
            if customer and self.plan(key[0]) is None and not customer.out:
                del customers[key]
        del self.lagging[-count:]
        if not self.lagging:
            self.past.clear()

    def hand_over(self) -> None:
        """Bring all up to this moment: the next process may go by other settings from here on."""
        self._turn(self.gateway.plans, self.gateway.gateways)
        self._keep_in_hand({})
        self._step(len(self.lagging))
