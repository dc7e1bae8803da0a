"""What may be sent again, by its class: where to, and what a client may be told of it. Owns nothing."""

from brackenloft.interface import Effect, KeyScope
from brackenloft.tables import Flight, Server


def in_group(flight: Flight, server: Server, now: float) -> bool:
    """Whether the request may go to this server at this time (ms), by what may have run already."""
    if flight.maybe_ran is None or flight.kind.effect is Effect.SAFE:
        return True
    if flight.kind.effect is Effect.UNSAFE:
        return False
    first, sent = flight.maybe_ran
    if now - sent >= flight.kind.key_memory_ms:
        return False
    scope = flight.kind.key_scope
    return scope is KeyScope.ALL or (
        server.zone == first.zone and (scope is KeyScope.ZONE or server.cell == first.cell))


def harmless(flight: Flight) -> bool:
    """Whether a client's retry is proven harmless: the request may be answered as refused."""
    unproven = flight.maybe_ran is not None or bool(flight.out)
    keyed_all = flight.kind.effect is Effect.KEYED and flight.kind.key_scope is KeyScope.ALL
    return flight.kind.effect is Effect.SAFE or keyed_all or not unproven
