"""Reasons for which this gateway closes a client's connection."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why this gateway closes a client's connection; the value is the text in the log and in the counters.

    Only a close ``IN_ORDER`` leaves no reply owed; the others may leave requests without an answer.
    """

    IN_ORDER = "in order"  # between requests, or after the error reply that ends the connection
    VALUE_BROKE_OFF = "a long value broke off"  # only the close tells the client that the value is incomplete
    STALLED = "the client takes no replies"
    PROCESS_END = "the process ends"
