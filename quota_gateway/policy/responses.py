"""Final answers: exactly one for each request in hand, before its deadline."""

from math import inf

from quota_gateway.api import Cancel, ClientDisconnected, Fail, Plan, Reject, ShutdownBegun
from quota_gateway.policy.concurrency_limit import Pressure
from quota_gateway.policy.hot_restart import Handover
from quota_gateway.policy.retry_policy import harmless
from quota_gateway.state import Context, Customer, Flight, Tally

ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
TALLY_MS = 5000.0  # between two lines that tell what was given up, and why


class Answers:
    """Owns when this gateway ends, and the count of what is given up."""

    def __init__(self, context: Context, pressure: Pressure, handover: Handover) -> None:
        self.context = context
        self.pressure = pressure
        self.handover = handover
        self.hand = handover.hand
        self.customers = handover.customers
        self.meter = handover.customers.meter
        self.ends_at = inf  # of this gateway
        self.tally = Tally(TALLY_MS)

    def refuse(self, request_id: str, advice_ms: float) -> None:
        """Refuse, with the advice to come again after so long, where the settings allow to give any."""
        limits = self.context.limits
        advised = min(limits.max_retry_after_ms, advice_ms) if limits.can_advise_retry else 0.0
        self.context.actions.append(Reject(request_id, advised))

    def limit(self, flight: Flight) -> None:
        """Arm the final answer: before the client's deadline, and before this gateway is ended."""
        flight.deadline = min(flight.deadline, self.ends_at)
        last = flight.deadline - self.context.now - ANSWER_TICKS * self.context.settings.tick_ms
        self.context.arm(max(0.0, last), self._on_deadline, flight)

    def stop(self, event: ShutdownBegun) -> None:
        """Guards against losing requests whose clients would wait longer than this gateway will live."""
        self.ends_at = self.context.now + event.within_ms
        for flight in list(self.hand.flights.values()):
            if not flight.closed and flight.deadline > self.ends_at:
                self.limit(flight)

    def _on_deadline(self, flight: Flight) -> None:
        if not flight.streaming:
            self.give_up(flight, "deadline")

    def count(self, why: str, plan: Plan) -> None:
        """Count what is given up; a line every few seconds tells it."""
        if text := self.tally.add(why, plan.name, self.context.now, self.context.since):
            pressure = self.pressure
            self.context.log(
                f"given up: {text}; pool {pressure.size:.1f}, out {len(pressure.young)}, "
                f"parked {len(self.hand.parked)}"
            )

    def give_up(self, flight: Flight, why: str) -> None:
        """The final answer: a refusal where a retry is proven harmless, else a failure."""
        if flight.closed:
            return
        flight.closed = True
        self.count(why, flight.plan)
        if harmless(flight):
            self.refuse(flight.request.request_id, self._come_back(flight))
        else:
            self.context.actions.append(Fail(flight.request.request_id))
        self.let_go(flight)

    def _come_back(self, flight: Flight) -> float:
        """When it may come again: the quota has room then, and those that wait here now have had a turn."""
        turns = self.pressure.turns_ms(flight.kind, len(self.hand.parked))
        return max(turns, self.meter.advice(flight.customer, flight.plan, 0.0, self.context.now))

    def gone(self, event: ClientDisconnected) -> None:
        """The client has left: nothing is owed any more."""
        flight = self.hand.flights.get(event.request_id)
        if flight and not flight.closed:
            flight.closed = True
            self.let_go(flight)

    def let_go(self, flight: Flight) -> None:
        """It is over. What was never sent on leaves no excess: guards against holds of clients that left."""
        if flight.sends == 0:
            self.settle(flight.customer, flight.request.units, 0.0)
        if self.context.limits.can_cancel:
            request_id = flight.request.request_id
            self.context.actions.extend(Cancel(request_id, number) for number in flight.out)
        self.drop_if_done(flight)

    def settle(self, customer: Customer, guess: float, true: float) -> None:
        """Put a guess of units right."""
        units = self.meter.correction(guess, true)
        self.meter.charge(customer, units)
        self.handover.tell(customer, units)

    def drop_if_done(self, flight: Flight) -> None:
        """Forget a request that has its answer and no attempt out."""
        if not flight.closed:
            return
        if self.hand.drop(flight):
            self.customers.ended(flight)
        self.handover.tell(flight.customer, 0.0)
