"""Final answers: exactly one for each request in hand, before its deadline."""

from math import inf

from quota_gateway.api import Cancel, ClientDisconnected, Fail, Plan, Reject, ShutdownBegun
from quota_gateway.policy.concurrency_limit import ConcurrencyLimit
from quota_gateway.policy.hot_restart import Handover
from quota_gateway.policy.retry_policy import harmless
from quota_gateway.state import Context, Customer, OutcomeCounters, PendingRequest

ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
TALLY_MS = 5000.0  # between two lines that tell what was given up, and why


class Responses:
    """Owns when this gateway ends, and the count of what is given up."""

    def __init__(self, context: Context, concurrency_limit: ConcurrencyLimit, handover: Handover) -> None:
        self.context = context
        self.concurrency_limit = concurrency_limit
        self.handover = handover
        self.in_flight = handover.in_flight
        self.customers = handover.customers
        self.meter = handover.customers.meter
        self.ends_at = inf  # of this gateway
        self.tally = OutcomeCounters(TALLY_MS)

    def refuse(self, request_id: str, advice_ms: float) -> None:
        """Refuse, with the advice to come again after so long, where the settings allow to give any."""
        limits = self.context.limits
        advised = min(limits.max_retry_after_ms, advice_ms) if limits.can_advise_retry else 0.0
        self.context.actions.append(Reject(request_id, advised))

    def limit(self, pending: PendingRequest) -> None:
        """Arm the final answer: before the client's deadline, and before this gateway is ended."""
        pending.deadline_ms = min(pending.deadline_ms, self.ends_at)
        last = pending.deadline_ms - self.context.now - ANSWER_TICKS * self.context.settings.tick_ms
        self.context.arm(max(0.0, last), self._on_deadline, pending)

    def stop(self, event: ShutdownBegun) -> None:
        """Guards against losing requests whose clients would wait longer than this gateway will live."""
        self.ends_at = self.context.now + event.within_ms
        for pending in list(self.in_flight.pending_requests.values()):
            if not pending.answered and pending.deadline_ms > self.ends_at:
                self.limit(pending)

    def _on_deadline(self, pending: PendingRequest) -> None:
        if not pending.streaming:
            self.give_up(pending, "deadline")

    def count(self, why: str, plan: Plan) -> None:
        """Count what is given up; a line every few seconds tells it."""
        if text := self.tally.add(why, plan.name, self.context.now, self.context.since):
            concurrency_limit = self.concurrency_limit
            self.context.log(
                f"given up: {text}; pool {concurrency_limit.size:.1f}, out {len(concurrency_limit.young)}, "
                f"parked {len(self.in_flight.parked)}"
            )

    def give_up(self, pending: PendingRequest, why: str) -> None:
        """The final answer: a refusal where a retry is proven harmless, else a failure."""
        if pending.answered:
            return
        pending.answered = True
        self.count(why, pending.plan)
        if harmless(pending):
            self.refuse(pending.request.request_id, self._come_back(pending))
        else:
            self.context.actions.append(Fail(pending.request.request_id))
        self.let_go(pending)

    def _come_back(self, pending: PendingRequest) -> float:
        """When it may come again: the quota has room then, and those that wait here now have had a turn."""
        turns = self.concurrency_limit.turns_ms(pending.request_class, len(self.in_flight.parked))
        return max(turns, self.meter.advice(pending.customer, pending.plan, 0.0, self.context.now))

    def gone(self, event: ClientDisconnected) -> None:
        """The client has left: nothing is owed any more."""
        pending = self.in_flight.pending_requests.get(event.request_id)
        if pending and not pending.answered:
            pending.answered = True
            self.let_go(pending)

    def let_go(self, pending: PendingRequest) -> None:
        """It is over. What was never sent on leaves no excess: guards against holds of clients that left."""
        if pending.attempts_started == 0:
            self.settle(pending.customer, pending.request.units, 0.0)
        if self.context.limits.can_cancel:
            request_id = pending.request.request_id
            self.context.actions.extend(Cancel(request_id, number) for number in pending.attempts_in_flight)
        self.drop_if_done(pending)

    def settle(self, customer: Customer, guess: float, true: float) -> None:
        """Put a guess of units right."""
        units = self.meter.correction(guess, true)
        self.meter.charge(customer, units)
        self.handover.tell(customer, units)

    def drop_if_done(self, pending: PendingRequest) -> None:
        """Forget a request that has its answer and no attempt out."""
        if not pending.answered:
            return
        if self.in_flight.drop(pending):
            self.customers.ended(pending)
        self.handover.tell(pending.customer, 0.0)
