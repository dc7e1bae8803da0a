"""Actions: what the driver carries out for the decisions, in order."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.api.enums import AttemptMessage, RequestMessage, ServerMessage
from quota_gateway.api.events import PeerUsage


@dataclass(frozen=True, slots=True)
class Send(RequestMessage):
    """Start an attempt at a server. Attempts of a request count from 0.

    A ``timeout_ms`` of 0 means as long as the client waits. With ``begin_within_ms`` above 0 an earlier
    attempt may have been executed, and the server recognises the repeat only if it arrives within this time:
    an attempt that has not been written by then is given up.
    """

    server: int
    timeout_ms: float = 0.0
    begin_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject(RequestMessage):
    """Final answer: nothing was executed, and a retry is safe, after ``retry_after_ms`` if above 0."""

    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail(RequestMessage):
    """Final answer: the request failed, and it may have been executed."""


@dataclass(frozen=True, slots=True)
class Cancel(AttemptMessage):
    """Stop an attempt; its ``AttemptEnded`` must still follow."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after a delay; timers are never cancelled."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to discovery's changes, or end the subscription."""

    active: bool = True


# The next three are in the simulator's protocol; no decision emits them.
@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class HealthCheck(ServerMessage):
    """Check a server's health, which costs it work."""


@dataclass(frozen=True, slots=True)
class CloseIdle(ServerMessage):
    """Close the idle connections to a server."""


@dataclass(frozen=True, slots=True)
class SetServerUsable(ServerMessage):
    """Allow or forbid the use of connections to a server, whatever the endpoint list says."""

    usable: bool


@dataclass(frozen=True, slots=True)
class SetServing:
    """Tell the load balancer in front whether to send clients here, and when to close their connections.

    A ``linger_ms`` of inf keeps connections open. Otherwise each is closed with its last response, or after
    it was idle for this time.
    """

    serving: bool
    keep_idle_ms: float = float("inf")


# The next two are in the simulator's protocol; no decision emits them.
@dataclass(frozen=True, slots=True)
class SendToGateway:
    """Send bytes to one gateway, or to all if ``gateway`` is -1."""

    gateway: int
    data: bytes


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a shared counter; one that is new is dropped after ``lifetime_ms``."""

    name: int
    amount: float
    lifetime_ms: float


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | Log
    | Subscribe
    | FetchList
    | HealthCheck
    | CloseIdle
    | SendToGateway
    | IncrementCounter
    | SetServerUsable
    | SetServing
    | PeerUsage
)
