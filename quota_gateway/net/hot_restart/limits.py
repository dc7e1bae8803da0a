"""Bounds on size and time of a hot restart, which both processes keep to."""

from __future__ import annotations

MAX_MESSAGE_BYTES = 64 * 1024
STATE_PIECE_BYTES = 32 * 1024  # of the state in one message
MAX_STATE_BYTES = 16 * 1024 * 1024
MAX_QUEUED_MESSAGES = 8192  # not taken by the peer yet
MAX_MESSAGES_PER_TURN = 64  # read before the event loop has its turn again
HELLO_TIMEOUT_S = 1.0  # a predecessor that hangs must not keep the next process from starting
STATE_TIMEOUT_S = 3.0  # for all of the state: the platform expects a new process to serve within 6 s
WISHES_TIMEOUT_S = 0.5  # for the peer to apply what operators wish
TRANSFER_INTERVAL_S = 0.02  # between two attempts to transfer the connections that were busy before
EXIT_POLL_INTERVAL_S = 0.02  # between two looks at a process that was killed
