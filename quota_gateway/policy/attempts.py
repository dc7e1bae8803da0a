"""Attempts: sent, judged when they end or become slow, sent again as class, budget and time allow."""

from quota_gateway.api import AttemptEnded, Cancel, Idempotency, Send, Status, StreamStarted
from quota_gateway.policy.concurrency_limit import SLOW
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.policy.responses import Answers
from quota_gateway.policy.retry_policy import window
from quota_gateway.policy.server_selection import Choice
from quota_gateway.state import Context, PendingRequest, Server

RETRY_SHARE = 0.2  # further attempts per first one, over time: bounds what failures can add to the load
RETRY_STORE = 10.0  # further attempts saved up at most
NEVER_RAN = (Status.OVERLOADED, Status.CONNECT_FAILED, Status.NOT_SENT)


class Attempts:
    """Owns the budget of further attempts; moves requests from attempt to attempt to the answer."""

    def __init__(self, context: Context, ceiling: RateCeiling, choice: Choice, answers: Answers) -> None:
        self.context = context
        self.ceiling = ceiling
        self.pressure = answers.pressure
        self.choice = choice
        self.health = choice.health
        self.answers = answers
        self.hand = answers.hand
        self.retries = RETRY_STORE

    def send(self, pending: PendingRequest, server: Server) -> None:
        """Send an attempt; its server, its customer and the budgets are charged."""
        request_id = pending.request.request_id
        now = self.context.now
        if pending.attempts_started == 0:
            self.ceiling.consume(pending, now)
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
        else:
            self.retries -= 1.0
        number = self.hand.send(pending, server, now)
        self.context.decay.sends += 1
        self.pressure.young.add((request_id, number))
        self.context.actions.append(Send(request_id, server.id, begin_within_ms=window(pending, now)))
        self.context.arm(SLOW * pending.request_class.latency_objective_ms, self._on_slow, (pending, number))

    def may_resend(self, pending: PendingRequest) -> bool:
        """Whether the number of attempts and the budget allow a further one."""
        return pending.attempts_started < self.context.limits.max_attempts and self.retries >= 1.0

    def ended(self, event: AttemptEnded) -> bool:
        """An attempt has ended: judge it, then answer or send again. False if nobody knows it."""
        known = self.hand.end(event)
        if known is None:
            return False
        pending, server, sent = known
        self.pressure.young.discard((event.request_id, event.attempt))
        self.health.judge(pending, server, event.status)
        served = event.status is Status.OK
        self.choice.reports.take(server, event.load)
        if event.metered_use_percent is not None:
            self.answers.meter.record_reading(pending.customer, event.metered_use_percent, self.context.now)
            self.answers.peer_usage.report(pending.customer, 0.0, event.metered_use_percent)
        if served and not pending.streaming:
            self.pressure.answered(server, pending.request_class, event.latency_ms)
        if served and event.final_units is not None and not pending.answered:
            self.answers.settle(pending.customer, pending.request.units, event.final_units)
        pending.answered = pending.answered or event.closed or served
        if not pending.answered:
            self._again(pending, event.status, (server, sent))
        self.answers.drop_if_done(pending)
        return True

    def _again(self, pending: PendingRequest, status: Status, attempt: tuple[Server, float]) -> None:
        """After a failed attempt: another one where class, budget and time allow it, else the answer."""
        if status not in NEVER_RAN and pending.first_possible_run is None:
            pending.first_possible_run = attempt
        if pending.attempts_in_flight or pending.streaming:
            return
        in_time = status is not Status.NOT_SENT and self.context.now < pending.deadline_ms
        server = self.choice.again(pending) if in_time and self.may_resend(pending) else None
        if server:
            self.send(pending, server)
        else:
            self.answers.give_up(pending, status.value)

    def streams(self, event: StreamStarted) -> bool:
        """A long answer has begun: the server has done its work, what the rest takes is the client's pace,
        and tells nothing of it. False if nobody knows the attempt, or it has begun before.
        """
        pending = self.hand.pending_requests.get(event.request_id)
        if pending is None or pending.streaming or event.attempt not in pending.attempts_in_flight:
            return False
        pending.streaming = True
        server, _ = pending.attempts_in_flight[event.attempt]
        self.pressure.young.discard((event.request_id, event.attempt))
        self.pressure.answered(server, pending.request_class, event.latency_ms)
        return True

    def _on_slow(self, which: tuple[PendingRequest, int]) -> None:
        """An attempt still out when it is slow tells so before its answer does; it may be taken elsewhere."""
        pending, number = which
        request_id = pending.request.request_id
        self.pressure.young.discard((request_id, number))
        if number not in pending.attempts_in_flight or pending.streaming:
            return
        server, sent = pending.attempts_in_flight[number]
        self.health.mark(server, pending.failure_keys[1], failed=True, why="silent")
        doubted = self.health.doubted(server, pending.failure_keys[1])
        if (
            pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
            or pending.answered
            or len(pending.attempts_in_flight) > 1
            or not doubted
        ):
            return
        if pending.first_possible_run is None:
            pending.first_possible_run = (server, sent)
        if not self.may_resend(pending) or self.pressure.full():
            return
        other = self.choice.again(pending)
        if other and other is not server and self.context.limits.may_duplicate:
            self.send(pending, other)
        elif other and self.context.limits.can_cancel:
            self.context.actions.append(Cancel(request_id, number))
