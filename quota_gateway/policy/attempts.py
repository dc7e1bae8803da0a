"""Attempts: each is sent, watched until its latency threshold, and judged when it ends.

A failed attempt leads to a retry or to the final answer.
"""

from __future__ import annotations

from quota_gateway.api import AttemptEnded, Cancel, Send, Status, StreamStarted
from quota_gateway.policy.concurrency_limit import LATENCY_THRESHOLD_RATIO
from quota_gateway.policy.hedging import CancelAttempt, Hedging, SendHedge
from quota_gateway.policy.rate_ceiling import RateCeiling
from quota_gateway.policy.responses import Responses
from quota_gateway.policy.retry_budget import RetryBudget
from quota_gateway.policy.retry_policy import idempotency_window_left_ms, may_retry
from quota_gateway.policy.server_selection import ServerSelection
from quota_gateway.state import Attempt, Context, GiveUpReason, PendingRequest, Server


class Attempts:
    """Owns the retry budget; makes the attempts of each request until it has its final answer."""

    def __init__(
        self,
        context: Context,
        rate_ceiling: RateCeiling,
        server_selection: ServerSelection,
        responses: Responses,
    ) -> None:
        self.context = context
        self.rate_ceiling = rate_ceiling
        self.concurrency_limit = responses.concurrency_limit
        self.server_selection = server_selection
        self.outlier_detection = server_selection.outlier_detection
        self.responses = responses
        self.pending_requests = responses.pending_requests
        self.retry_budget = RetryBudget()
        self.hedging = Hedging(
            context,
            self.concurrency_limit,
            self.outlier_detection,
            server_selection,
            self.retry_budget,
        )

    def send(self, pending: PendingRequest, server: Server) -> None:
        """Send an attempt; a first one is charged to the rate ceiling, a further one to the retry budget."""
        request_id = pending.request.request_id
        now_ms = self.context.now_ms
        if pending.attempts_started == 0:
            self.rate_ceiling.consume(pending, now_ms)
            self.retry_budget.on_first_attempt()
        else:
            self.retry_budget.on_retry()
        number = self.pending_requests.start_attempt(pending, server, now_ms)
        self.context.decay.attempts_started += 1
        self.concurrency_limit.add(request_id, number)
        begin_within_ms = idempotency_window_left_ms(pending, now_ms) or 0.0  # 0: no bound
        self.context.actions.append(Send(request_id, server.id, begin_within_ms=begin_within_ms))
        # Both the hedging delay and the time after which an attempt without a response counts as a failure.
        threshold_ms = LATENCY_THRESHOLD_RATIO * pending.request_class.latency_objective_ms
        self.context.arm_for(pending, threshold_ms, self._on_latency_threshold, (pending, number))

    def on_attempt_ended(self, event: AttemptEnded) -> bool:
        """Learn from an attempt that has ended, then retry or answer.

        Returns whether the attempt was known: then there may be capacity for queued requests.
        """
        pending = self.pending_requests.pending_with(event)
        if pending is None:
            return False
        attempt = self.pending_requests.end_attempt(pending, event.attempt)
        server = attempt.server
        succeeded = event.status is Status.OK
        self.concurrency_limit.remove(event.request_id, event.attempt)
        self.outlier_detection.on_attempt_ended(pending, server, event.status)
        self.server_selection.load_reports.record(server, event.load)
        if event.metered_use_percent is not None:
            self._record_metered_use(pending, event.metered_use_percent)
        if succeeded and not pending.state.is_streaming:
            self.concurrency_limit.on_response(server, pending.request_class, event.latency_ms)
        if succeeded and event.final_units is not None and not pending.state.is_answered:
            self.responses.settle_units(pending.customer, pending.request.units, event.final_units)
        if not pending.state.is_answered:
            if succeeded or event.request_answered:
                self.pending_requests.answer(pending)
            else:
                self._retry_or_answer(pending, event.status, attempt)
        self.responses.finish_if_idle(pending)
        return True

    def _record_metered_use(self, pending: PendingRequest, metered_use_percent: float) -> None:
        """Store a late reading of the customer's use over all gateways; report it to any next process."""
        self.responses.quota_meter.record_reading(pending.customer, metered_use_percent, self.context.now_ms)
        self.responses.peer_usage.report(pending.customer, 0.0, metered_use_percent)

    def _retry_or_answer(self, pending: PendingRequest, status: Status, failed: Attempt) -> None:
        """After a failed attempt, retry if class, budget and time allow it, else give the final answer.

        While another attempt is in flight, or a response streams, the outcome of that one decides instead.
        """
        if not status.is_certainly_not_run and pending.first_possible_run is None:
            pending.first_possible_run = failed
        if pending.attempts_in_flight or pending.state.is_streaming:
            return
        server = self._retry_server(pending, status)
        if server:
            self.send(pending, server)
        else:
            self.responses.reject_or_fail(pending, GiveUpReason.of_attempt(status))

    def _retry_server(self, pending: PendingRequest, status: Status) -> Server | None:
        """The server for a retry, or None if it is not allowed; choosing a server draws random numbers."""
        if status is Status.NOT_SENT:  # ``begin_within_ms`` passed before its first byte
            return None
        if self.context.now_ms >= pending.deadline_ms:
            return None
        if not may_retry(pending, self.context.limits.max_attempts, self.retry_budget):
            return None
        return self.server_selection.for_retry(pending)

    def on_stream_started(self, event: StreamStarted) -> bool:
        """Record that a response has begun to stream.

        The latency is measured here: what the rest of the response takes depends on the client's pace.
        Returns whether this was the first report of it: then there may be capacity for queued requests.
        """
        pending = self.pending_requests.pending_with(event)
        if pending is None or pending.state.is_streaming:
            return False
        self.pending_requests.begin_stream(pending)
        server = pending.attempts_in_flight[event.attempt].server
        self.concurrency_limit.remove(event.request_id, event.attempt)
        self.concurrency_limit.on_response(server, pending.request_class, event.latency_ms)
        return True

    def _on_latency_threshold(self, pending_and_number: tuple[PendingRequest, int]) -> None:
        """An attempt still without a response counts as a failure of its server, and may be hedged."""
        pending, number = pending_and_number
        self.concurrency_limit.remove(pending.request.request_id, number)
        attempt = pending.attempts_in_flight.get(number)
        if attempt is None or pending.state.is_streaming:
            return
        self.outlier_detection.record_failure(attempt.server, pending.failure_keys.request_class, "silent")
        if not self.hedging.is_candidate(pending, attempt.server):
            return
        # Set before the decision, as the silent attempt may be running: the retry rules then offer only
        # servers where a second run has no second effect.
        if pending.first_possible_run is None:
            pending.first_possible_run = attempt
        decision = self.hedging.decide(pending, attempt.server)
        if isinstance(decision, SendHedge):
            self.send(pending, decision.server)
        elif isinstance(decision, CancelAttempt):
            self.context.actions.append(Cancel(pending.request.request_id, number))
