"""State machines: an enum of states, one table of transitions, and one place that checks against it.

An illegal transition is a fault of this program. Tests have it raised; in service it is carried out, logged
once for each pair of states and counted, as a request or a connection in an odd state is better than none.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from quota_gateway.errors import IllegalTransitionError

log = logging.getLogger(__name__)

State = TypeVar("State", bound=Enum)
Transitions = Mapping[State, frozenset[State]]


class IllegalTransitions:
    """What happens to transitions that no table has; one object for the process."""

    def __init__(self) -> None:
        self.raises = False  # tests set it
        self.counts: Counter[tuple[str, Enum, Enum]] = Counter()  # by owner, state and requested state

    def report(self, owner: str, state: Enum, requested: Enum) -> None:
        """Count it and log the first. Raises IllegalTransitionError in tests."""
        error = IllegalTransitionError(owner, state, requested)
        if self.raises:
            raise error
        self.counts[owner, state, requested] += 1
        if self.counts[owner, state, requested] == 1:
            log.error("%s; it is carried out all the same", error)


illegal_transitions = IllegalTransitions()


def transition(owner: str, table: Transitions[State], state: State, requested: State) -> State:
    """The requested state, checked against the owner's table of transitions."""
    if requested not in table[state]:
        illegal_transitions.report(owner, state, requested)
    return requested
