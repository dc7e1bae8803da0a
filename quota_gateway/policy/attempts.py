"""Attempts: sent, judged when they end or become slow, sent again as class, budget and time allow."""

from quota_gateway.api import AttemptEnded, Cancel, Idempotency, Send, Status, StreamStarted
from quota_gateway.policy.concurrency_limit import SLOW
from quota_gateway.policy.rate_ceiling import Ceilings
from quota_gateway.policy.responses import Answers
from quota_gateway.policy.retry_policy import window
from quota_gateway.policy.server_selection import Choice
from quota_gateway.state import Context, Flight, Server

RETRY_SHARE = 0.2  # further attempts per first one, over time: bounds what failures can add to the load
RETRY_STORE = 10.0  # further attempts saved up at most
NEVER_RAN = (Status.OVERLOADED, Status.CONNECT_FAILED, Status.NOT_SENT)


class Attempts:
    """Owns the budget of further attempts; moves requests from attempt to attempt to the answer."""

    def __init__(self, context: Context, ceilings: Ceilings, choice: Choice, answers: Answers) -> None:
        self.context = context
        self.ceilings = ceilings
        self.pressure = answers.pressure
        self.choice = choice
        self.health = choice.health
        self.answers = answers
        self.hand = answers.hand
        self.retries = RETRY_STORE

    def send(self, flight: Flight, server: Server) -> None:
        """Send an attempt; its server, its customer and the budgets are charged."""
        request_id = flight.request.request_id
        now = self.context.now
        if flight.sends == 0:
            self.ceilings.draw(flight, now)
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
        else:
            self.retries -= 1.0
        number = self.hand.send(flight, server, now)
        self.context.decay.sends += 1
        self.pressure.young.add((request_id, number))
        self.context.actions.append(Send(request_id, server.id, begin_within_ms=window(flight, now)))
        self.context.arm(SLOW * flight.kind.latency_objective_ms, self._on_slow, (flight, number))

    def may_resend(self, flight: Flight) -> bool:
        """Whether the number of attempts and the budget allow a further one."""
        return flight.sends < self.context.limits.max_attempts and self.retries >= 1.0

    def ended(self, event: AttemptEnded) -> bool:
        """An attempt has ended: judge it, then answer or send again. False if nobody knows it."""
        known = self.hand.end(event)
        if known is None:
            return False
        flight, server, sent = known
        self.pressure.young.discard((event.request_id, event.attempt))
        self.health.judge(flight, server, event.status)
        served = event.status is Status.OK
        self.choice.reports.take(server, event.load)
        if event.metered_use_percent is not None:
            self.answers.meter.read(flight.customer, event.metered_use_percent, self.context.now)
            self.answers.handover.tell(flight.customer, 0.0, event.metered_use_percent)
        if served and not flight.streaming:
            self.pressure.answered(server, flight.kind, event.latency_ms)
        if served and event.final_units is not None and not flight.closed:
            self.answers.settle(flight.customer, flight.request.units, event.final_units)
        flight.closed = flight.closed or event.closed or served
        if not flight.closed:
            self._again(flight, event.status, (server, sent))
        self.answers.drop_if_done(flight)
        return True

    def _again(self, flight: Flight, status: Status, attempt: tuple[Server, float]) -> None:
        """After a failed attempt: another one where class, budget and time allow it, else the answer."""
        if status not in NEVER_RAN and flight.maybe_ran is None:
            flight.maybe_ran = attempt
        if flight.out or flight.streaming:
            return
        in_time = status is not Status.NOT_SENT and self.context.now < flight.deadline
        server = self.choice.again(flight) if in_time and self.may_resend(flight) else None
        if server:
            self.send(flight, server)
        else:
            self.answers.give_up(flight, status.value)

    def streams(self, event: StreamStarted) -> bool:
        """A long answer has begun: the server has done its work, what the rest takes is the client's pace,
        and tells nothing of it. False if nobody knows the attempt, or it has begun before."""
        flight = self.hand.flights.get(event.request_id)
        if flight is None or flight.streaming or event.attempt not in flight.out:
            return False
        flight.streaming = True
        server, _ = flight.out[event.attempt]
        self.pressure.young.discard((event.request_id, event.attempt))
        self.pressure.answered(server, flight.kind, event.latency_ms)
        return True

    def _on_slow(self, which: tuple[Flight, int]) -> None:
        """An attempt still out when it is slow tells so before its answer does; it may be taken elsewhere."""
        flight, number = which
        request_id = flight.request.request_id
        self.pressure.young.discard((request_id, number))
        if number not in flight.out or flight.streaming:
            return
        server, sent = flight.out[number]
        self.health.mark(server, flight.keys[1], failed=True, why="silent")
        doubted = self.health.doubted(server, flight.keys[1])
        if (
            flight.kind.idempotency is Idempotency.NOT_IDEMPOTENT
            or flight.closed
            or len(flight.out) > 1
            or not doubted
        ):
            return
        if flight.maybe_ran is None:
            flight.maybe_ran = (server, sent)
        if not self.may_resend(flight) or self.pressure.full():
            return
        other = self.choice.again(flight)
        if other and other is not server and self.context.limits.may_duplicate:
            self.send(flight, other)
        elif other and self.context.limits.can_cancel:
            self.context.actions.append(Cancel(request_id, number))
