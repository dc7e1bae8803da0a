"""Admission: which requests are sent at once, held, queued, rejected or shed.

A new request first meets its customer's limits: it is rejected, held until the quota share has room, or
admitted. An admitted request then needs a place under the concurrency cap, units of the rate ceiling, room
under the concurrency limit and a server; until it has all of these it is queued, and tried again whenever an
attempt ends or the endpoint list changes.
"""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.api import Plan, Request, RequestClass
from quota_gateway.policy.attempts import Attempts
from quota_gateway.policy.concurrency_cap import CustomerConcurrencyCap
from quota_gateway.policy.customers import Customers
from quota_gateway.policy.quota_meter import REJECT_OVER_QUOTA, Admit, Hold, RejectOverQuota
from quota_gateway.state import Context, Customer, GiveUpReason, PendingRequest, RequestState, Server


class Queue(NamedTuple):
    """The request waits in the queue.

    ``rate_ceiling_wait_ms`` is the time until the rate ceiling has units for it; 0 if it waits for something
    else.
    """

    rate_ceiling_wait_ms: float


class GiveUp(NamedTuple):
    """The request gets its final answer from this gateway."""

    reason: GiveUpReason


QUEUE = Queue(0.0)
GIVE_UP_OVER_RATE_CEILING = GiveUp(GiveUpReason.OVER_RATE_CEILING)

# Looked up once, as they are compared whenever a queued request is tried again and an enum lookup is slow.
HELD = RequestState.HELD
QUEUED = RequestState.QUEUED


class Admission:
    """Decides on new and queued requests, and carries the decisions out.

    The methods that return a decision change no state, but some of them draw random numbers: their docstrings
    say so.
    """

    def __init__(
        self,
        context: Context,
        customers: Customers,
        concurrency_cap: CustomerConcurrencyCap,
        attempts: Attempts,
    ) -> None:
        self.context = context
        self.customers = customers
        self.attempts = attempts
        self.quota_meter = customers.quota_meter
        self.rate_ceiling = customers.rate_ceiling
        self.concurrency_cap = concurrency_cap
        self.responses = attempts.responses
        self.concurrency_limit = attempts.concurrency_limit
        self.server_selection = attempts.server_selection
        self.pending_requests = attempts.pending_requests

    # ---- New requests

    def on_request(self, request: Request, request_class: RequestClass, plan: Plan) -> None:
        """Admit, hold or reject a new request."""
        customer = self.customers.find_or_add(request, plan)
        if reason := self._exceeded_limit(request, customer, plan):
            self._reject(request, customer, plan, reason)
            return
        draw = self.context.random.random()
        now_ms = self.context.now_ms
        self.quota_meter.record_demand(customer, plan, request.units, now_ms)
        decision = self.quota_decision(request, request_class, customer, plan)
        if isinstance(decision, RejectOverQuota):
            self._reject(request, customer, plan, GiveUpReason.OVER_QUOTA)
            return
        self.quota_meter.store_excess(customer, decision, now_ms)
        epoch = self.customers.epochs.epoch
        pending = PendingRequest(request, request_class, plan, customer, now_ms, draw, epoch)
        self._admit(pending, decision)

    def useful_wait_ms(self, request_class: RequestClass) -> float:
        """How long a request may be held or queued and still be answered within its latency objective.

        A response later than that is worth little or nothing.
        """
        mean_latency_ms = self.concurrency_limit.latencies.mean_ms[request_class.name]
        return request_class.latency_objective_ms - mean_latency_ms

    def longest_hold_ms(self, request: Request, request_class: RequestClass) -> float:
        """The longest delay for which a new request is held rather than rejected.

        It is bounded by the client's timeout, by the time until this gateway shuts down, and by the useful
        wait, scaled by the class's priority weight. Without the scaling, priorities would invert for a
        customer over its quota: its excess settles at a level where the class with the longest objective is
        still held, and classes with shorter objectives, perhaps of more weight, would always be rejected.

        Only the weight scales the useful wait, as only requests of one customer, and so of one price, compete
        here. In the queue the requests of all customers compete for the servers' time, so ``queue_priority``
        counts price, units and latency as well.
        """
        highest_weight = self.context.highest_priority_weight
        useful_ms = max(0.0, self.useful_wait_ms(request_class)) * request_class.priority_weight
        remaining_ms = self.responses.shutdown_at_ms - self.context.now_ms
        return min(request.client_timeout_ms, remaining_ms, useful_ms / highest_weight)

    def _exceeded_limit(self, request: Request, customer: Customer, plan: Plan) -> GiveUpReason | None:
        """Why to reject a new request for a limit other than the quota, or None; may draw a random number."""
        if request.is_retry and self.quota_meter.has_share_below_one_request(customer, plan):
            return GiveUpReason.THIN_SHARE_RETRY
        if self.concurrency_cap.rejects_for_overuse(customer, plan, self.context.now_ms):
            return GiveUpReason.OVER_CONCURRENCY_CAP
        return None

    def quota_decision(
        self, request: Request, request_class: RequestClass, customer: Customer, plan: Plan
    ) -> Admit | Hold | RejectOverQuota:
        """The quota meter's decision; a hold that would last too long becomes a rejection."""
        decision = self.quota_meter.decide(customer, plan, request.units, self.context.now_ms)
        if not isinstance(decision, Hold):
            return decision
        if decision.delay_ms >= self.longest_hold_ms(request, request_class):
            return REJECT_OVER_QUOTA
        return decision

    def _reject(self, request: Request, customer: Customer, plan: Plan, reason: GiveUpReason) -> None:
        """Reject a new request and advise to retry once its customer's quota share has room for it.

        In a plan without a quota the request was rejected because of a late reading of the concurrency cap's
        use. The client may then retry after a meter period, as the next reading may let the request pass.
        """
        self.responses.count_given_up(reason, plan)
        if plan.rate:
            retry_after_ms = self.quota_meter.retry_after_ms(
                customer, plan, request.units, self.context.now_ms
            )
        else:
            retry_after_ms = self.context.settings.meter_period_ms
        self.responses.reject(request.request_id, retry_after_ms)

    def _admit(self, pending: PendingRequest, decision: Admit | Hold) -> None:
        """Take a request: send or queue it at once, or at the end of its hold."""
        self.pending_requests.add(pending)
        self.responses.peer_usage.report(pending.customer, pending.request.units)
        self.responses.arm_deadline(pending)
        if isinstance(decision, Hold):
            self.pending_requests.hold(pending)
            self.context.arm_for(pending, decision.delay_ms, self._on_hold_ended, pending)
        else:
            self._send_or_queue(pending)

    def _on_hold_ended(self, pending: PendingRequest) -> None:
        if pending.state is HELD:
            self._send_or_queue(pending)

    # ---- Admitted requests

    def placement(self, pending: PendingRequest) -> Server | Queue | GiveUp:
        """The server for the first attempt, or why there is none; choosing a server draws random numbers."""
        now_ms = self.context.now_ms
        wait_ms = self.rate_ceiling.wait_ms(pending, now_ms)
        if wait_ms >= pending.deadline_ms - now_ms:
            return GIVE_UP_OVER_RATE_CEILING
        if wait_ms:
            return Queue(wait_ms)
        if self.concurrency_cap.is_reached(pending, now_ms):
            return QUEUE
        if self.concurrency_limit.is_reached(pending.draw):
            return QUEUE
        return self.server_selection.for_first_attempt(pending) or QUEUE

    def _send_or_queue(self, pending: PendingRequest) -> None:
        """Carry out the placement of a request that waits for its first attempt."""
        decision = self.placement(pending)
        if isinstance(decision, Server):
            self.attempts.send(pending, decision)
        elif isinstance(decision, Queue):
            self._queue(pending, decision.rate_ceiling_wait_ms)
        else:
            self.responses.reject_or_fail(pending, decision.reason)

    def _queue(self, pending: PendingRequest, rate_ceiling_wait_ms: float) -> None:
        """Queue a request, or leave it in the queue, and shed one if too many are queued now."""
        if pending.state is not QUEUED:
            useful_until_ms = pending.arrived_ms + self.useful_wait_ms(pending.request_class)
            useful_ms = max(0.0, useful_until_ms - self.context.now_ms)
            self.context.arm_for(pending, useful_ms, self._on_useful_wait_ended, pending)
            self.pending_requests.enqueue(pending)
        shed = self.request_to_shed()
        if shed:
            self.responses.reject_or_fail(shed, GiveUpReason.QUEUE_FULL)
        # At most one timer for each request, as all queued requests are tried again whenever an attempt ends.
        if rate_ceiling_wait_ms and pending.state is QUEUED and not pending.rate_ceiling_timer_armed:
            pending.rate_ceiling_timer_armed = True
            delay_ms = rate_ceiling_wait_ms + self.context.settings.tick_ms
            self.context.arm_for(pending, delay_ms, self._on_rate_ceiling_wait_ended, pending)

    def request_to_shed(self) -> PendingRequest | None:
        """The queued request of least priority, if more are queued than may be in flight at once.

        Requests in a longer queue would wait beyond their latency objective. While no server is listed,
        nothing is shed, as there is no capacity to compare the queue with. While servers are listed but not
        ready, the queue stays bounded.
        """
        queued = self.pending_requests.queued
        if not self.server_selection.endpoints.servers:
            return None
        if len(queued) <= max(1.0, self.concurrency_limit.limit):
            return None
        return min(queued.values(), key=self.concurrency_limit.queue_priority)

    def _on_rate_ceiling_wait_ended(self, pending: PendingRequest) -> None:
        pending.rate_ceiling_timer_armed = False
        if pending.state is QUEUED:
            self._send_or_queue(pending)

    def _on_useful_wait_ended(self, pending: PendingRequest) -> None:
        """Give up a queued request whose response could no longer come within the latency objective.

        While no server is ready, whether some are listed or not, the request stays queued: giving it up would
        not let another request be served.
        """
        if pending.state is QUEUED and self.server_selection.endpoints.ready:
            self.responses.reject_or_fail(pending, self.queued_reason(pending))

    def queued_reason(self, pending: PendingRequest) -> GiveUpReason:
        """The reason to give up a queued request: what it waits for."""
        now_ms = self.context.now_ms
        if self.concurrency_cap.is_reached(pending, now_ms):
            return GiveUpReason.QUEUED_FOR_CONCURRENCY_CAP
        if self.rate_ceiling.wait_ms(pending, now_ms) > 0.0:
            return GiveUpReason.QUEUED_FOR_RATE_CEILING
        return GiveUpReason.QUEUED_FOR_CONCURRENCY_LIMIT

    def release_queued(self) -> None:
        """Try all queued requests again, those of highest priority first."""
        if not self.pending_requests.queued:
            return
        by_priority = sorted(
            self.pending_requests.queued.values(), key=self.concurrency_limit.queue_priority, reverse=True
        )
        for pending in by_priority:
            if pending.state is QUEUED:  # it may have been shed meanwhile
                self._send_or_queue(pending)
