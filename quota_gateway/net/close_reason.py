"""Why this gateway ends a connection of a client."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why this gateway ends a client's connection; the value is the text of the log and of the counters.

    Only ``IN_ORDER`` leaves no reply owed: the others may end requests without an answer.
    """

    IN_ORDER = "in order"  # between requests, or behind the error that ends the connection
    VALUE_BROKE_OFF = "a long value broke off"  # nothing else tells the client that it is incomplete
    STALLED = "the client takes no replies"
    UNSENT_BUDGET = "too many unsent bytes of replies"  # over all clients; this one held most
    PROCESS_END = "the process ends"
