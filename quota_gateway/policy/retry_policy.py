"""What may be sent again, by its class: where to, and what a client may be told of it. Owns nothing."""

from quota_gateway.api import Idempotency, IdempotencyScope
from quota_gateway.state import Flight, Group

EVERYWHERE: Group = ()


def window(flight: Flight, now: float) -> float:
    """Milliseconds in which a repeat has to arrive; 0: nothing has run that bounds it."""
    if flight.maybe_ran is None or flight.kind.idempotency is not Idempotency.WITH_KEY:
        return 0.0
    return flight.maybe_ran[1] + flight.kind.idempotency_window_ms - now


def group(flight: Flight, now: float) -> Group | None:
    """The servers that the request may go to at this time (ms), by what may have run already; None: none."""
    if flight.maybe_ran is None or flight.kind.idempotency is Idempotency.IDEMPOTENT:
        return EVERYWHERE
    if flight.kind.idempotency is Idempotency.NOT_IDEMPOTENT or window(flight, now) <= 0.0:
        return None
    first = flight.maybe_ran[0]
    scope = flight.kind.idempotency_scope
    if scope is IdempotencyScope.ALL:
        return EVERYWHERE
    return (first.zone,) if scope is IdempotencyScope.ZONE else (first.zone, first.cell)


def harmless(flight: Flight) -> bool:
    """Whether a client's retry is proven harmless: the request may be answered as refused."""
    unproven = flight.maybe_ran is not None or bool(flight.out)
    keyed_all = (
        flight.kind.idempotency is Idempotency.WITH_KEY
        and flight.kind.idempotency_scope is IdempotencyScope.ALL
    )
    return flight.kind.idempotency is Idempotency.IDEMPOTENT or keyed_all or not unproven
