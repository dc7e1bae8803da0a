"""States of this gateway's drain and the transitions between them."""

from __future__ import annotations

from enum import Enum

from quota_gateway.state_machine import transition


class DrainState(Enum):
    """Progress of this gateway's drain."""

    SERVING = "serving"
    DRAINING = "draining"  # load balancers are notified; client connections close step by step
    DRAINED = "drained"  # no client should come any more; requests that still come are rejected


DRAIN_TRANSITIONS: dict[DrainState, frozenset[DrainState]] = {
    DrainState.SERVING: frozenset({DrainState.DRAINING}),
    DrainState.DRAINING: frozenset({DrainState.DRAINED, DrainState.SERVING}),
    DrainState.DRAINED: frozenset({DrainState.SERVING}),
}


def drain_transition(state: DrainState, requested: DrainState) -> DrainState:
    """The requested state, checked against the table as in `state_machine.transition`."""
    return transition("drain", DRAIN_TRANSITIONS, state, requested)
