"""Admission: what goes out at once, is held, is parked, or is refused, and with what advice.

The customer's meter says send, hold or refuse; after a hold, or at once, cap, ceiling and pool let a request
out to a server; else it is parked, and tried again whenever an attempt ends or the list changes.
"""

from quota_gateway.api import Plan, Request, RequestClass
from quota_gateway.policy.attempts import Attempts
from quota_gateway.policy.concurrency_cap import ConcurrencyCap
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.quota_meter import Hold, RejectOverQuota
from quota_gateway.state import Context, Customer, PendingRequest


class Admission:
    """Owns who waits for the end of a hold, and who is parked (``InFlightRequests.parked``)."""

    def __init__(
        self, context: Context, customers: Customers, cap: ConcurrencyCap, attempts: Attempts
    ) -> None:
        self.context = context
        self.customers = customers
        self.attempts = attempts
        self.meter = customers.meter
        self.ceiling = customers.ceiling
        self.cap = cap
        self.answers = attempts.answers
        self.pressure = attempts.pressure
        self.choice = attempts.choice
        self.hand = self.answers.hand

    def _useful(self, kind: RequestClass) -> float:
        """How long a hold may last for the answer to come within the aim: what comes later earns nothing, or
        little. Harm: a class that earns much after its aim is refused what it could have had.
        """
        return kind.latency_objective_ms - self.pressure.latencies.mean[kind.name]

    def _longest_hold(self, kind: RequestClass) -> float:
        """How long a hold may last: what is useful to the class worth most, less for one worth less.

        Guards against inversion: at a customer over its quota the excess settles where the class with the
        longest aim is still held, and classes with shorter aims, maybe worth more, find it beyond theirs.
        Harm: a burst of what is worth little is refused though its hold would have ended within the aim.
        """
        return max(0.0, self._useful(kind)) * kind.priority_weight / self.context.highest_priority_weight

    def request(self, event: Request, kind: RequestClass, plan: Plan) -> None:
        """A new request: the customer's meter says send, hold or refuse."""
        now = self.context.now
        answers = self.answers
        customer = self.customers.find_or_add(event, plan)
        if event.is_retry and self.meter.has_thin_share(customer, plan):
            self._refuse(event, customer, plan, "thin")
            return
        if self.cap.rejects_for_overuse(customer, plan, now):
            self._refuse(event, customer, plan, "cap")
            return
        turn = self.context.random.random()
        epoch = self.customers.epochs.epoch
        pending = PendingRequest(event, kind, plan, customer, now, turn, epoch)
        self.meter.record_demand(customer, plan, event.units, now)
        decision = self.meter.decide(customer, plan, event.units, now)
        if isinstance(decision, RejectOverQuota) or (
            isinstance(decision, Hold) and self._is_too_long(decision, event, kind)
        ):
            self._refuse(event, customer, plan, "quota")
            return
        self.meter.apply(customer, decision, now)
        self.hand.take(pending)
        answers.peer_usage.report(customer, event.units)
        answers.limit(pending)
        if isinstance(decision, Hold):
            pending.release_timer_armed = True
            self.context.arm(decision.delay_ms, self._end_hold, pending)
        else:
            self._release(pending)

    def _is_too_long(self, hold: Hold, event: Request, kind: RequestClass) -> bool:
        """Whether a hold outlasts the client, this gateway or its use."""
        gateway_left_ms = self.answers.ends_at - self.context.now
        return hold.delay_ms >= min(event.client_timeout_ms, gateway_left_ms, self._longest_hold(kind))

    def _refuse(self, event: Request, customer: Customer, plan: Plan, why: str) -> None:
        self.answers.count(why, plan)
        advice = self.meter.retry_after_ms(customer, plan, event.units, self.context.now)
        self.answers.refuse(event.request_id, advice if plan.rate else self.context.settings.meter_period_ms)

    def _end_hold(self, pending: PendingRequest) -> None:
        pending.release_timer_armed = False
        if not pending.answered and pending.attempts_started == 0:
            self._release(pending)

    def _release(self, pending: PendingRequest) -> None:
        """First send: within the in-flight cap and the ceiling, to a server; else parked until it may go."""
        now = self.context.now
        wait = self.ceiling.wait_ms(pending, now)
        if wait >= pending.deadline_ms - now:
            self.answers.give_up(pending, "ceiling")
            return
        held = wait or self.cap.is_reached(pending, now) or self.pressure.full(pending.slow_start_draw)
        server = None if held else self.choice.first(pending)
        if server:
            self.hand.parked.pop(pending.request.request_id, None)
            self.attempts.send(pending, server)
        else:
            self._park(pending, wait)

    def _park(self, pending: PendingRequest, wait: float) -> None:
        """Hold what can't go now; the least worth for its work is refused when more wait than go at once: a
        queue must not outlast the aim. Harm: a short burst over few servers is refused needlessly.
        """
        parked = self.hand.parked
        if pending.request.request_id not in parked:
            last = pending.arrived_ms + self._useful(pending.request_class) - self.context.now
            self.context.arm(max(0.0, last), self._end_park, pending)
        parked[pending.request.request_id] = pending
        if self.choice.fleet.servers and len(parked) > max(1.0, self.pressure.size):
            self.answers.give_up(min(parked.values(), key=self.pressure.value), "crowded")
        if wait and not pending.answered and not pending.release_timer_armed:
            pending.release_timer_armed = (
                True  # one timer each: every outcome tries all that are parked again
            )
            self.context.arm(wait + self.context.settings.tick_ms, self._end_hold, pending)

    def _end_park(self, pending: PendingRequest) -> None:
        if pending.attempts_started == 0 and self.choice.fleet.ready:
            now = self.context.now
            capped = self.cap.is_reached(pending, now)
            short = self.ceiling.wait_ms(pending, now) > 0.0
            cause = "cap" if capped else "ceiling" if short else "pool"
            self.answers.give_up(pending, f"waited: {cause}")

    def retry_parked(self) -> None:
        """Whatever waits may go now: try it, what is worth most first."""
        if not self.hand.parked:
            return
        for pending in sorted(self.hand.parked.values(), key=self.pressure.value, reverse=True):
            if not pending.answered:
                self._release(pending)
