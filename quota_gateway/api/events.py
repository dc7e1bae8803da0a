"""Events: what has happened, for the decisions. Their time is passed to ``Gateway.handle`` beside them."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.api.enums import (
    AttemptMessage,
    ListKind,
    RequestMessage,
    ServerMessage,
    ServerState,
    Status,
)
from quota_gateway.api.settings import Settings, require_numbers


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server of an endpoint list. ``started_ms`` is the time of its last start, 0 if long past."""

    server: int
    zone: str
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    size: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """An endpoint list from discovery.

    CHANGES alter the list in use, COMPLETE and CACHED replace it, FAILED has no entries.
    """

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request(RequestMessage):
    """A client's request.

    Its customer's requests may come through ``requested_gateways`` gateways, counted from ``first_gateway``.
    """

    class_name: str
    plan: str
    customer: str
    client_timeout_ms: float
    units: float = 1.0
    requested_gateways: int = 1
    first_gateway: int = 0
    is_retry: bool = False
    is_write: bool = False

    def __post_init__(self) -> None:
        require_numbers(self, 0.0, units=self.units, client_timeout_ms=self.client_timeout_ms)
        require_numbers(self, 1, requested_gateways=self.requested_gateways)


@dataclass(frozen=True, slots=True)
class AttemptEnded(AttemptMessage):
    """How an attempt ended; one for each ``Send``. ``request_answered``: it was the final answer.

    ``metered_use_percent`` is a late reading of the customer's use over all gateways, in percent of its rate,
    or of its cap where it has no rate. ``final_units`` replaces the estimate of the request. ``load`` has a
    value for each of ``Settings.load_fields``.
    """

    server: int
    status: Status
    latency_ms: float
    request_answered: bool = False
    metered_use_percent: float | None = None
    final_units: float | None = None
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted(AttemptMessage):
    """A streamed response has begun: the client sets its pace from now on, and no deadline applies."""

    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected(RequestMessage):
    """The client has disconnected; the request needs no answer any more."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of ``SetTimer`` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult(ServerMessage):
    """The result of one ``HealthCheck``."""

    status: Status
    latency_ms: float
    load: tuple[float, ...] | None = None


@dataclass(frozen=True, slots=True)
class ShutdownBegun:
    """The gateway shuts down: what is pending, and what still comes, must be answered within this time."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class ServerAdminDown(ServerMessage):
    """An operator takes a server out of service or back, whatever the endpoint list says."""

    admin_down: bool


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """An operator drains the gateway of clients or ends the drain; its process lives on."""

    active: bool


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force; pending requests keep their class and plan."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class IdleConnectionChanged(ServerMessage):
    """Whether a connection to a server is idle, so that an attempt there costs no handshake."""

    has_idle: bool


@dataclass(frozen=True, slots=True)
class HotRestartBegun:
    """The next process takes over. It reserves what is pending here, and hears as it ends."""


@dataclass(frozen=True, slots=True)
class PeerUsage:
    """What a customer occupies at the process before this one, and was charged since that handed over.

    Also the action by which that process reports it.
    """

    plan: str
    customer: str
    occupied_places: int  # under the concurrency cap, by requests that are pending there
    charged_units: float = 0.0
    metered_use_percent: float | None = None


@dataclass(frozen=True, slots=True)
class PeerExited:
    """The other process of this gateway has ended, and has nothing in flight any more."""


# The simulator's protocol alone has the next two; no decision takes them.
@dataclass(frozen=True, slots=True)
class GatewayMessage:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterResult:
    """The result of one ``IncrementCounter``; ``total`` is valid with ``Status.OK`` only."""

    name: int
    status: Status
    total: float
    latency_ms: float


Event = (
    ServerList
    | Request
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckResult
    | GatewayMessage
    | CounterResult
    | ShutdownBegun
    | ServerAdminDown
    | DrainChanged
    | HotRestartBegun
    | PeerUsage
    | PeerExited
    | SettingsChanged
    | IdleConnectionChanged
)
