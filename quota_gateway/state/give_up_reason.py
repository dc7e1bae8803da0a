"""Why a request was given up: rejected or failed by this gateway, without a server's successful response."""

from __future__ import annotations

from enum import StrEnum

from quota_gateway.api import Status


class GiveUpReason(StrEnum):
    """Reasons as they appear in the log line and as keys of ``reasons`` in the admin endpoint's figures.

    Operators' scripts read the values: a member may be renamed, its value may not.
    """

    # One of the customer's limits, when the request arrived or was about to be sent.
    THIN_SHARE_RETRY = "thin"  # a retry of a customer whose quota share is below one request
    OVER_QUOTA = "quota"
    OVER_CONCURRENCY_CAP = "cap"
    OVER_RATE_CEILING = "ceiling"

    # Given up while it was queued.
    QUEUE_FULL = "crowded"
    QUEUED_FOR_CONCURRENCY_CAP = "waited: cap"
    QUEUED_FOR_RATE_CEILING = "waited: ceiling"
    QUEUED_FOR_CONCURRENCY_LIMIT = "waited: pool"  # or for a server that it may go to

    # This gateway was drained, or the request's deadline passed.
    GATEWAY_DRAINED = "drained"
    DEADLINE_EXCEEDED = "deadline"

    # The status with which its last attempt ended.
    ATTEMPT_ERROR = "error"
    ATTEMPT_OVERLOADED = "full"
    ATTEMPT_TIMEOUT = "timeout"
    ATTEMPT_CONNECT_FAILED = "connect_failed"
    ATTEMPT_RESET = "reset"
    ATTEMPT_CANCELLED = "cancelled"
    ATTEMPT_NOT_SENT = "not_sent"

    @classmethod
    def of_attempt(cls, status: Status) -> GiveUpReason:
        """Reason for a request whose last attempt ended with this status; ValueError for ``Status.OK``."""
        return cls(status.value)
