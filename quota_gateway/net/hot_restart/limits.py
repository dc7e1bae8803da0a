"""Limits on sizes and times of a hot restart, for both processes."""

from __future__ import annotations

MAX_MESSAGE_BYTES = 64 * 1024
STATE_PIECE_BYTES = 32 * 1024  # the part of the state that one message carries
MAX_STATE_BYTES = 16 * 1024 * 1024
MAX_QUEUED_MESSAGES = 8192  # waiting to be sent, as the peer process does not read them
MAX_MESSAGES_PER_TURN = 64  # received in one callback, so that the event loop can run others
HELLO_TIMEOUT_S = 1.0  # a predecessor that hangs must not keep the next process from starting
STATE_TIMEOUT_S = 3.0  # for all of the state; the platform expects a new process to serve within 6 s
OVERRIDES_TIMEOUT_S = 0.5  # for the peer process to apply changed overrides
TRANSFER_INTERVAL_S = 0.02  # between attempts to transfer connections that were busy
EXIT_POLL_INTERVAL_S = 0.02  # between checks whether a killed process has ended
