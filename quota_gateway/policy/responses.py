"""Final answers: exactly one for each request that was taken, before its deadline."""

from __future__ import annotations

from math import inf

from quota_gateway.api import Cancel, ClientDisconnected, Fail, Plan, Reject, ShutdownBegun
from quota_gateway.policy.concurrency_limit import AdaptiveConcurrencyLimit
from quota_gateway.policy.peer_usage import PeerUsageExchange
from quota_gateway.policy.retry_policy import is_client_retry_harmless
from quota_gateway.state import Context, Customer, GiveUpReason, OutcomeCounters, PendingRequest

# Before the deadline: one tick for the timer to fire, one to spare. The network's time is already subtracted
# from the client's timeout (CLIENT_MARGIN_MS in net/clients/commands.py).
FINAL_ANSWER_TICKS = 2.0
COUNTERS_LOG_INTERVAL_MS = 5000.0


class Responses:
    """Gives the final answers that come from this gateway and counts them by reason."""

    def __init__(
        self, context: Context, concurrency_limit: AdaptiveConcurrencyLimit, peer_usage: PeerUsageExchange
    ) -> None:
        self.context = context
        self.concurrency_limit = concurrency_limit
        self.peer_usage = peer_usage
        self.pending_requests = peer_usage.pending_requests
        self.customers = peer_usage.customers
        self.quota_meter = peer_usage.customers.quota_meter
        self.shutdown_at_ms = inf  # when this gateway will shut down
        self.outcome_counters = OutcomeCounters(COUNTERS_LOG_INTERVAL_MS)

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Reject a request; the time to retry after is left out or bounded as the settings demand."""
        limits = self.context.limits
        allowed_ms = min(limits.max_retry_after_ms, retry_after_ms) if limits.can_advise_retry else 0.0
        self.context.actions.append(Reject(request_id, allowed_ms))

    def arm_deadline(self, pending: PendingRequest) -> None:
        """Set the timer of the final answer: before the client's deadline and this gateway's shutdown."""
        pending.deadline_ms = min(pending.deadline_ms, self.shutdown_at_ms)
        margin_ms = FINAL_ANSWER_TICKS * self.context.settings.tick_ms
        remaining_ms = pending.deadline_ms - self.context.now_ms - margin_ms
        self.context.arm_for(pending, max(0.0, remaining_ms), self._on_deadline, pending)

    def _on_deadline(self, pending: PendingRequest) -> None:
        if not pending.state.is_streaming:
            self.reject_or_fail(pending, GiveUpReason.DEADLINE_EXCEEDED)

    def on_shutdown_begun(self, event: ShutdownBegun) -> None:
        """Bring forward the deadlines of requests whose clients would wait beyond this gateway's shutdown.

        Their clients would otherwise lose the connection without an answer.
        """
        self.shutdown_at_ms = self.context.now_ms + event.within_ms
        for pending in list(self.pending_requests.by_id.values()):
            if not pending.state.is_answered and pending.deadline_ms > self.shutdown_at_ms:
                self.arm_deadline(pending)

    def count_given_up(self, reason: GiveUpReason, plan: Plan) -> None:
        """Count a request that this gateway answers itself; every few seconds the counts are logged."""
        text = self.outcome_counters.add(reason, plan.name, self.context.now_ms, self.context.started_ms)
        if text:
            limit = self.concurrency_limit
            self.context.log(
                f"given up: {text}; concurrency limit {limit.limit:.1f}, "
                f"attempts within threshold {len(limit.attempts_within_threshold)}, "
                f"queued {len(self.pending_requests.queued)}"
            )

    def reject_or_fail(self, pending: PendingRequest, reason: GiveUpReason) -> None:
        """Give the final answer, unless there is one: reject if a client's retry is harmless, else fail."""
        if pending.state.is_answered:
            return
        self.count_given_up(reason, pending.plan)
        if is_client_retry_harmless(pending):
            self.reject(pending.request.request_id, self.retry_after_ms(pending))
        else:
            self.context.actions.append(Fail(pending.request.request_id))
        self.pending_requests.answer(pending)
        self._abandon(pending)

    def retry_after_ms(self, pending: PendingRequest) -> float:
        """Time until the client may retry: the quota share has room and the present queue has been served."""
        queue_ms = self.concurrency_limit.queue_wait_ms(
            pending.request_class, len(self.pending_requests.queued)
        )
        # 0 units: those of the request were charged when it was taken.
        quota_ms = self.quota_meter.retry_after_ms(pending.customer, pending.plan, 0.0, self.context.now_ms)
        return max(queue_ms, quota_ms)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Note that the client has disconnected: the request needs no answer any more."""
        pending = self.pending_requests.by_id.get(event.request_id)
        if pending and not pending.state.is_answered:
            self.pending_requests.answer(pending)
            self._abandon(pending)

    def _abandon(self, pending: PendingRequest) -> None:
        """Cancel the attempts of an answered request; if none was sent, give its units back.

        Otherwise requests whose clients left while they were held would fill the quota share.
        """
        if pending.attempts_started == 0:
            self.settle_units(pending.customer, pending.request.units, 0.0)
        if self.context.limits.can_cancel:
            request_id = pending.request.request_id
            self.context.actions.extend(Cancel(request_id, number) for number in pending.attempts_in_flight)
        self.finish_if_idle(pending)

    def settle_units(self, customer: Customer, estimated_units: float, final_units: float) -> None:
        """Correct what a customer was charged for a request by the units that it really used."""
        correction_units = self.quota_meter.correction_units(estimated_units, final_units)
        self.quota_meter.charge(customer, correction_units)
        self.peer_usage.report(customer, correction_units)

    def finish_if_idle(self, pending: PendingRequest) -> None:
        """Forget an answered request that has no attempt in flight, and notify the next process."""
        if not pending.state.is_answered:
            return
        if self.pending_requests.finish(pending):
            self.context.disarm_all(pending)
            self.customers.request_ended(pending)
        self.peer_usage.report(pending.customer, 0.0)
