"""Retry rules: where a request may be sent again, and whether its client may safely retry.

All of them follow from the request's class and from the first of its attempts that may have had an effect.
"""

from __future__ import annotations

from quota_gateway.api import Idempotency, IdempotencyScope
from quota_gateway.policy.retry_budget import RetryBudget
from quota_gateway.state import PendingRequest, ServerGroup

ALL_SERVERS = ServerGroup()


def may_retry(pending: PendingRequest, max_attempts: int, retry_budget: RetryBudget) -> bool:
    """Whether the number of attempts and the retry budget allow another one."""
    return pending.attempts_started < max_attempts and retry_budget.allows_retry()


def idempotency_window_left_ms(pending: PendingRequest, now_ms: float) -> float | None:
    """Time in which a retry with the request's idempotency key has to arrive; 0 or less if it has passed.

    None where nothing bounds it: no attempt may have run yet, or the class has no idempotency key.
    """
    if pending.first_possible_run is None:
        return None
    if pending.request_class.idempotency is not Idempotency.WITH_KEY:
        return None
    return pending.first_possible_run.started_ms + pending.request_class.idempotency_window_ms - now_ms


def retry_group(pending: PendingRequest, now_ms: float) -> ServerGroup | None:
    """The servers to which the request may be sent again; None if there are none.

    A request that may have run goes again only where a repeat has no second effect: anywhere if it is
    idempotent; with an idempotency key, within its window, to the servers that share knowledge of the key.
    """
    request_class = pending.request_class
    if pending.first_possible_run is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return ALL_SERVERS
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return None
    window_left_ms = idempotency_window_left_ms(pending, now_ms)
    if window_left_ms is not None and window_left_ms <= 0.0:
        return None
    first_server = pending.first_possible_run.server
    if request_class.idempotency_scope is IdempotencyScope.ALL:
        return ALL_SERVERS
    if request_class.idempotency_scope is IdempotencyScope.ZONE:
        return ServerGroup(first_server.zone)
    return ServerGroup(first_server.zone, first_server.cell)


def is_client_retry_harmless(pending: PendingRequest) -> bool:
    """Whether a retry by the client is proven to have no second effect, so that rejecting is allowed."""
    request_class = pending.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    with_key = request_class.idempotency is Idempotency.WITH_KEY
    if with_key and request_class.idempotency_scope is IdempotencyScope.ALL:
        return True
    return pending.first_possible_run is None and not pending.attempts_in_flight
