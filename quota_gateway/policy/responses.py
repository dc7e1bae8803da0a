"""Final answers: exactly one for each request in hand, before its deadline."""

from math import inf

from quota_gateway.api import Cancel, ClientDisconnected, Fail, Plan, Reject, ShutdownBegun
from quota_gateway.policy.concurrency_limit import Pressure
from quota_gateway.policy.hot_restart import PeerUsageExchange
from quota_gateway.policy.retry_policy import harmless
from quota_gateway.state import Context, Customer, OutcomeCounters, PendingRequest

ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
TALLY_MS = 5000.0  # between two lines that tell what was given up, and why


class Answers:
    """Owns when this gateway ends, and the count of what is given up."""

    def __init__(self, context: Context, pressure: Pressure, peer_usage: PeerUsageExchange) -> None:
        self.context = context
        self.pressure = pressure
        self.peer_usage = peer_usage
        self.hand = peer_usage.hand
        self.customers = peer_usage.customers
        self.meter = peer_usage.customers.meter
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
        for pending in list(self.hand.pending_requests.values()):
            if not pending.answered and pending.deadline_ms > self.ends_at:
                self.limit(pending)

    def _on_deadline(self, pending: PendingRequest) -> None:
        if not pending.streaming:
            self.give_up(pending, "deadline")

    def count(self, why: str, plan: Plan) -> None:
        """Count what is given up; a line every few seconds tells it."""
        if text := self.tally.add(why, plan.name, self.context.now, self.context.since):
            pressure = self.pressure
            self.context.log(
                f"given up: {text}; pool {pressure.size:.1f}, out {len(pressure.young)}, "
                f"parked {len(self.hand.parked)}"
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
        turns = self.pressure.turns_ms(pending.request_class, len(self.hand.parked))
        return max(turns, self.meter.retry_after_ms(pending.customer, pending.plan, 0.0, self.context.now))

    def gone(self, event: ClientDisconnected) -> None:
        """The client has left: nothing is owed any more."""
        pending = self.hand.pending_requests.get(event.request_id)
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
        units = self.meter.correction_units(guess, true)
        self.meter.charge(customer, units)
        self.peer_usage.report(customer, units)

    def drop_if_done(self, pending: PendingRequest) -> None:
        """Forget a request that has its answer and no attempt out."""
        if not pending.answered:
            return
        if self.hand.drop(pending):
            self.customers.request_ended(pending)
        self.peer_usage.report(pending.customer, 0.0)
