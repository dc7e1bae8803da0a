"""Actions: what the policy asks its driver to do. The driver carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.api.enums import AttemptMessage, RequestMessage, ServerMessage
from quota_gateway.api.events import PeerUsage


@dataclass(frozen=True, slots=True)
class Send(RequestMessage):
    """Send a request to a server. The attempts of a request are numbered from 0.

    With a ``timeout_ms`` of 0 the attempt may take as long as the client waits. A ``begin_within_ms`` above 0
    means that an earlier attempt may have been executed and that the server recognises a repeat only if it
    arrives within this time: an attempt that has not been written by then is given up.
    """

    server: int
    timeout_ms: float = 0.0
    begin_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject(RequestMessage):
    """Final answer: nothing was executed, or a retry by the client has no second effect.

    The client may retry after ``retry_after_ms`` if that is above 0.
    """

    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail(RequestMessage):
    """Final answer: the request failed, and it may have been executed."""


@dataclass(frozen=True, slots=True)
class Cancel(AttemptMessage):
    """Stop an attempt. The driver must still pass its ``AttemptEnded``."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass ``TimerFired(token)`` after a delay. Timers are never cancelled."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to discovery's changes of the endpoint list, or end the subscription if not ``active``."""

    active: bool = True


# The next three belong to the simulator's protocol; the policy never emits them.
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

    A ``keep_idle_ms`` of inf keeps client connections open. Otherwise each is closed with its last response,
    or after it was idle for this time.
    """

    serving: bool
    keep_idle_ms: float = float("inf")


# The next two belong to the simulator's protocol; the policy never emits them.
@dataclass(frozen=True, slots=True)
class SendToGateway:
    """Send bytes to one gateway, or to all if ``gateway`` is -1."""

    gateway: int
    data: bytes


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add to a shared counter. A counter that this creates is dropped after ``lifetime_ms``."""

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
