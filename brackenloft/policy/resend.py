"""What may be sent again, by its class: where to, and what a client may be told of it. Owns nothing."""

from math import inf

from brackenloft.interface import Effect, KeyScope
from brackenloft.tables import Flight, Group

EVERYWHERE: Group = ()


def window(flight: Flight, now: float) -> float:
    """Milliseconds in which a further attempt has to arrive; nought or less: it may not be sent any more."""
    if flight.maybe_ran is None or flight.kind.effect is Effect.SAFE:
        return inf
    sent = flight.maybe_ran[1]
    return sent + flight.kind.key_memory_ms - now if flight.kind.effect is Effect.KEYED else 0.0


def group(flight: Flight, now: float) -> Group | None:
    """The servers that the request may go to at this time (ms), by what may have run already; None: none."""
    if flight.maybe_ran is None or flight.kind.effect is Effect.SAFE:
        return EVERYWHERE
    if window(flight, now) <= 0.0:
        return None
    first, scope = flight.maybe_ran[0], flight.kind.key_scope
    if scope is KeyScope.ALL:
        return EVERYWHERE
    return (first.zone,) if scope is KeyScope.ZONE else (first.zone, first.cell)


def harmless(flight: Flight) -> bool:
    """Whether a client's retry is proven harmless: the request may be answered as refused."""
    unproven = flight.maybe_ran is not None or bool(flight.out)
    keyed_all = flight.kind.effect is Effect.KEYED and flight.kind.key_scope is KeyScope.ALL
    return flight.kind.effect is Effect.SAFE or keyed_all or not unproven
