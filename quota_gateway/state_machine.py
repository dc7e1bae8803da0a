"""State machines: an enum of states, a table of legal transitions, and one function that checks against it.

An illegal transition is a bug in this program. In tests it raises IllegalTransitionError. In service it is
made anyway, counted, and logged once for each pair of states, as a request or a connection in an
unexpected state is better than a lost one.
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
    """Handles transitions that a table does not have. There is one instance for the process."""

    def __init__(self) -> None:
        self.raises = False  # whether `report` raises; set in tests
        self.counts: Counter[tuple[str, Enum, Enum]] = Counter()  # by owner, state and requested state

    def report(self, owner: str, state: Enum, requested: Enum) -> None:
        """Count a transition, and log the first of its kind. Raises IllegalTransitionError in tests."""
        error = IllegalTransitionError(owner, state, requested)
        if self.raises:
            raise error
        self.counts[owner, state, requested] += 1
        if self.counts[owner, state, requested] == 1:
            log.error("%s; the transition is made anyway, and repetitions are counted, not logged", error)


illegal_transitions = IllegalTransitions()


def transition(owner: str, table: Transitions[State], state: State, requested: State) -> State:
    """The requested state, checked against the table of transitions of its owner, such as "request".

    Raises IllegalTransitionError in tests if the table has no such transition.
    """
    if requested not in table[state]:
        illegal_transitions.report(owner, state, requested)
    return requested
