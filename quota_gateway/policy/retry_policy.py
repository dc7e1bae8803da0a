"""What may be sent again, by its class: where to, and what a client may be told of it. Owns nothing."""

from quota_gateway.api import Idempotency, IdempotencyScope
from quota_gateway.state import Group, PendingRequest

EVERYWHERE: Group = ()


def window(pending: PendingRequest, now: float) -> float:
    """Milliseconds in which a repeat has to arrive; 0: nothing has run that bounds it."""
    if pending.first_possible_run is None or pending.request_class.idempotency is not Idempotency.WITH_KEY:
        return 0.0
    return pending.first_possible_run[1] + pending.request_class.idempotency_window_ms - now


def group(pending: PendingRequest, now: float) -> Group | None:
    """The servers that the request may go to at this time (ms), by what may have run already; None: none."""
    if pending.first_possible_run is None or pending.request_class.idempotency is Idempotency.IDEMPOTENT:
        return EVERYWHERE
    if pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT or window(pending, now) <= 0.0:
        return None
    first = pending.first_possible_run[0]
    scope = pending.request_class.idempotency_scope
    if scope is IdempotencyScope.ALL:
        return EVERYWHERE
    return (first.zone,) if scope is IdempotencyScope.ZONE else (first.zone, first.cell)


def harmless(pending: PendingRequest) -> bool:
    """Whether a client's retry is proven harmless: the request may be answered as refused."""
    unproven = pending.first_possible_run is not None or bool(pending.attempts_in_flight)
    keyed_all = (
        pending.request_class.idempotency is Idempotency.WITH_KEY
        and pending.request_class.idempotency_scope is IdempotencyScope.ALL
    )
    return pending.request_class.idempotency is Idempotency.IDEMPOTENT or keyed_all or not unproven
