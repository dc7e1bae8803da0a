"""Admission: what goes out at once, is held, is parked, or is refused, and with what advice.

The customer's meter says send, hold or refuse; after a hold, or at once, cap, ceiling and pool let a request
out to a server; else it is parked, and tried again whenever an attempt ends or the list changes.
"""

from quota_gateway.api import Plan, Request, RequestClass
from quota_gateway.policy.attempts import Attempts
from quota_gateway.policy.customers import Customers
from quota_gateway.state import Context, Customer, Flight


class Admission:
    """Owns who waits for the end of a hold, and who is parked (``Hand.parked``)."""

    def __init__(self, context: Context, customers: Customers, attempts: Attempts) -> None:
        self.context = context
        self.customers = customers
        self.attempts = attempts
        self.meter = customers.meter
        self.ceilings = customers.ceilings
        self.answers = attempts.answers
        self.pressure = attempts.pressure
        self.choice = attempts.choice
        self.hand = self.answers.hand

    def _useful(self, kind: RequestClass) -> float:
        """How long a hold may last for the answer to come within the aim: what comes later earns nothing, or
        little. Harm: a class that earns much after its aim is refused what it could have had."""
        return kind.latency_objective_ms - self.pressure.latencies.mean[kind.name]

    def _longest_hold(self, kind: RequestClass) -> float:
        """How long a hold may last: what is useful to the class worth most, less for one worth less.

        Guards against inversion: at a customer over its quota the excess settles where the class with the
        longest aim is still held, and classes with shorter aims, maybe worth more, find it beyond theirs.
        Harm: a burst of what is worth little is refused though its hold would have ended within the aim."""
        return max(0.0, self._useful(kind)) * kind.priority_weight / self.context.highest_priority_weight

    def request(self, event: Request, kind: RequestClass, plan: Plan) -> None:
        """A new request: the customer's meter says send, hold or refuse."""
        now = self.context.now
        answers = self.answers
        customer = self.customers.find(event, plan)
        if event.is_retry and self.meter.thin(customer, plan):
            self._refuse(event, customer, plan, "thin")
            return
        if self.ceilings.overused(customer, plan, now):
            self._refuse(event, customer, plan, "cap")
            return
        turn = self.context.random.random()
        epoch = self.customers.epochs.epoch
        flight = Flight(event, kind, plan, customer, now, turn, epoch)
        before = customer.excess, customer.touched
        hold = self.meter.take(customer, plan, event.units, now)
        if hold and hold >= min(event.client_timeout_ms, answers.ends_at - now, self._longest_hold(kind)):
            customer.excess, customer.touched = before
            self._refuse(event, customer, plan, "quota")
            return
        self.hand.take(flight)
        answers.handover.tell(customer, event.units)
        answers.limit(flight)
        if hold > 0.0:
            flight.waiting = True
            self.context.arm(hold, self._end_hold, flight)
        else:
            self._release(flight)

    def _refuse(self, event: Request, customer: Customer, plan: Plan, why: str) -> None:
        self.answers.count(why, plan)
        advice = self.meter.advice(customer, plan, event.units, self.context.now)
        self.answers.refuse(event.request_id, advice if plan.rate else self.context.settings.meter_period_ms)

    def _end_hold(self, flight: Flight) -> None:
        flight.waiting = False
        if not flight.closed and flight.sends == 0:
            self._release(flight)

    def _release(self, flight: Flight) -> None:
        """First send: within the in-flight cap and the ceiling, to a server; else parked until it may go."""
        now = self.context.now
        wait = self.ceilings.wait(flight, now)
        if wait >= flight.deadline - now:
            self.answers.give_up(flight, "ceiling")
            return
        held = wait or self.ceilings.capped(flight, now) or self.pressure.full(flight.turn)
        server = None if held else self.choice.first(flight)
        if server:
            self.hand.parked.pop(flight.request.request_id, None)
            self.attempts.send(flight, server)
        else:
            self._park(flight, wait)

    def _park(self, flight: Flight, wait: float) -> None:
        """Hold what can't go now; the least worth for its work is refused when more wait than go at once: a
        queue must not outlast the aim. Harm: a short burst over few servers is refused needlessly."""
        parked = self.hand.parked
        if flight.request.request_id not in parked:
            last = flight.arrived + self._useful(flight.kind) - self.context.now
            self.context.arm(max(0.0, last), self._end_park, flight)
        parked[flight.request.request_id] = flight
        if self.choice.fleet.servers and len(parked) > max(1.0, self.pressure.size):
            self.answers.give_up(min(parked.values(), key=self.pressure.value), "crowded")
        if wait and not flight.closed and not flight.waiting:
            flight.waiting = True  # one timer each: every outcome tries all that are parked again
            self.context.arm(wait + self.context.settings.tick_ms, self._end_hold, flight)

    def _end_park(self, flight: Flight) -> None:
        if flight.sends == 0 and self.choice.fleet.ready:
            now = self.context.now
            capped = self.ceilings.capped(flight, now)
            short = self.ceilings.wait(flight, now) > 0.0
            cause = "cap" if capped else "ceiling" if short else "pool"
            self.answers.give_up(flight, f"waited: {cause}")

    def retry_parked(self) -> None:
        """Whatever waits may go now: try it, what is worth most first."""
        if not self.hand.parked:
            return
        for flight in sorted(self.hand.parked.values(), key=self.pressure.value, reverse=True):
            if not flight.closed:
                self._release(flight)
