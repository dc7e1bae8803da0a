"""Hedged requests: what to do about a silent attempt, one without a response at its latency threshold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from quota_gateway.api import Idempotency
from quota_gateway.policy.concurrency_limit import AdaptiveConcurrencyLimit
from quota_gateway.policy.outlier_detection import OutlierDetection
from quota_gateway.policy.retry_budget import RetryBudget
from quota_gateway.policy.retry_policy import may_retry
from quota_gateway.policy.server_selection import ServerSelection
from quota_gateway.state import Context, PendingRequest, Server


@dataclass(frozen=True, slots=True)
class KeepWaiting:
    """The attempt goes on without a second one."""


class SendHedge(NamedTuple):
    """A second attempt goes to this server while the first one goes on."""

    server: Server


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """The attempt is cancelled; once it has ended, the request is retried."""


KEEP_WAITING = KeepWaiting()
CANCEL_ATTEMPT = CancelAttempt()
HedgeDecision = KeepWaiting | SendHedge | CancelAttempt


class Hedging:
    """Decides whether a silent attempt is hedged, or cancelled to be retried elsewhere."""

    def __init__(
        self,
        context: Context,
        concurrency_limit: AdaptiveConcurrencyLimit,
        outlier_detection: OutlierDetection,
        server_selection: ServerSelection,
        retry_budget: RetryBudget,
    ) -> None:
        self.context = context
        self.concurrency_limit = concurrency_limit
        self.outlier_detection = outlier_detection
        self.server_selection = server_selection
        self.retry_budget = retry_budget

    def is_candidate(self, pending: PendingRequest, server: Server) -> bool:
        """Whether a request that is silent at this server may run a second time, elsewhere.

        It may if it is unanswered, has no second attempt in flight, can be repeated without a second effect,
        and the server is a suspected outlier: on a good server the response is most likely on its way.
        """
        if pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        if pending.state.is_answered or len(pending.attempts_in_flight) > 1:
            return False
        return self.outlier_detection.is_suspected(server, pending.failure_keys.request_class)

    def decide(self, pending: PendingRequest, server: Server) -> HedgeDecision:
        """What to do with a candidate's attempt; choosing another server draws random numbers."""
        if not may_retry(pending, self.context.limits.max_attempts, self.retry_budget):
            return KEEP_WAITING
        if self.concurrency_limit.is_reached():
            return KEEP_WAITING
        other = self.server_selection.for_retry(pending)
        if other is None:
            return KEEP_WAITING
        if other is not server and self.context.limits.may_duplicate:
            return SendHedge(other)
        return CANCEL_ATTEMPT if self.context.limits.can_cancel else KEEP_WAITING
