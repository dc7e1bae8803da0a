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
    """The request waits; above 0 is the time until the rate ceiling has units for it."""

    rate_ceiling_wait_ms: float


class GiveUp(NamedTuple):
    """The request gets its final answer from this gateway."""

    reason: GiveUpReason


QUEUE = Queue(0.0)
GIVE_UP_OVER_RATE_CEILING = GiveUp(GiveUpReason.OVER_RATE_CEILING)

# Looked up once, as these are compared whenever a queued request is tried again.
HELD = RequestState.HELD
QUEUED = RequestState.QUEUED


class Admission:
    """Decides on new and queued requests, and carries the decisions out.

    The methods that return a decision change nothing but the random numbers that their docstrings name.
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

        It ends with the client's timeout, with this gateway, and with the useful wait, which is scaled by the
        class's priority weight. Without the scaling priorities would invert at a customer over its quota: its
        excess settles where the class with the longest objective is still held, and classes with shorter
        objectives, maybe of more weight, would always be rejected. The weight alone scales it, as only
        requests of one customer, and so of one price, compete here; in the queue those of all customers
        compete for the servers' time, so ``queue_priority`` counts price, units and latency as well.
        """
        highest_weight = self.context.highest_priority_weight
        useful_ms = max(0.0, self.useful_wait_ms(request_class)) * request_class.priority_weight
        remaining_ms = self.responses.shutdown_at_ms - self.context.now_ms
        return min(request.client_timeout_ms, remaining_ms, useful_ms / highest_weight)

    def _exceeded_limit(self, request: Request, customer: Customer, plan: Plan) -> GiveUpReason | None:
        """A limit other than the quota for which a new request is rejected; may draw a random number."""
        if request.is_retry and self.quota_meter.has_share_below_one_request(customer, plan):
            return GiveUpReason.THIN_SHARE_RETRY
        if self.concurrency_cap.rejects_for_overuse(customer, plan, self.context.now_ms):
            return GiveUpReason.OVER_CONCURRENCY_CAP
        return None

    def quota_decision(
        self, request: Request, request_class: RequestClass, customer: Customer, plan: Plan
    ) -> Admit | Hold | RejectOverQuota:
        """The quota meter's decision, but for holds that would last too long: these are rejected."""
        decision = self.quota_meter.decide(customer, plan, request.units, self.context.now_ms)
        if not isinstance(decision, Hold):
            return decision
        if decision.delay_ms >= self.longest_hold_ms(request, request_class):
            return REJECT_OVER_QUOTA
        return decision

    def _reject(self, request: Request, customer: Customer, plan: Plan, reason: GiveUpReason) -> None:
        """Reject a new request, with the time after which its customer's quota share has room for it.

        Without a quota a late reading of the concurrency cap has rejected it: the next reading may not.
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
        """Take a request; it is sent or queued at once, or at the end of its hold."""
        self.pending_requests.add(pending)
        self.responses.peer_usage.report(pending.customer, pending.request.units)
        self.responses.arm_deadline(pending)
        if isinstance(decision, Hold):
            self.pending_requests.hold(pending)
            self.context.arm(decision.delay_ms, self._on_hold_ended, pending)
        else:
            self._send_or_queue(pending)

    def _on_hold_ended(self, pending: PendingRequest) -> None:
        if pending.state is HELD:
            self._send_or_queue(pending)

    # ---- Requests that were admitted

    def placement(self, pending: PendingRequest) -> Server | Queue | GiveUp:
        """The server for a request's first attempt, or why there is none; the choice of a server draws."""
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
        return self.server_selection.first(pending) or QUEUE

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
            self.context.arm(useful_ms, self._on_useful_wait_ended, pending)
            self.pending_requests.enqueue(pending)
        shed = self.request_to_shed()
        if shed:
            self.responses.reject_or_fail(shed, GiveUpReason.QUEUE_FULL)
        # At most one timer for each request: whenever an attempt ends, all that are queued are tried again.
        if rate_ceiling_wait_ms and pending.state is QUEUED and not pending.rate_ceiling_timer_armed:
            pending.rate_ceiling_timer_armed = True
            delay_ms = rate_ceiling_wait_ms + self.context.settings.tick_ms
            self.context.arm(delay_ms, self._on_rate_ceiling_wait_ended, pending)

    def request_to_shed(self) -> PendingRequest | None:
        """The queued request of least priority, if more are queued than may be in flight at once.

        A longer queue would outlast the latency objective of what waits in it. Without any listed server
        there is nothing to measure it by; with servers that are listed and not ready it stays bounded.
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
        """A response could no longer be within the objective.

        As long as no server is ready, whether some are listed or not, the request waits on: giving it up
        would not let another one be served.
        """
        if pending.state is QUEUED and self.server_selection.endpoints.ready:
            self.responses.reject_or_fail(pending, self.queued_reason(pending))

    def queued_reason(self, pending: PendingRequest) -> GiveUpReason:
        """What a queued request waits for, as the reason for which it is given up."""
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
