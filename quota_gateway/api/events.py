"""Events: what the driver reports to the policy.

The driver passes the time of an event to ``Gateway.handle`` as an argument of its own.
"""

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
    """A server in an endpoint list.

    A cell is a group of servers in a zone. ``started_ms`` is the time of the server's last start, 0 if that
    is long past. The policy reads neither ``kind`` (the machine type) nor ``size`` (the weight).
    """

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

    ``units`` is its estimated cost, in the units of the plan's rate. The customer's requests may come through
    several gateways: ``requested_gateways`` of them, beginning with number ``first_gateway``.
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
    """How an attempt ended; passed once for each ``Send``.

    ``request_answered`` tells whether its response was the final answer to the client.
    ``metered_use_percent`` is a late reading (it lags behind) of the customer's use over all gateways, in
    percent of its plan's rate, or of the concurrency cap if the plan has no rate. ``final_units`` replaces
    the request's estimated units. ``load`` has a value for each of ``Settings.load_fields``.
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
    """The gateway shuts down: pending requests and those still to come must be answered within this time."""

    within_ms: float


@dataclass(frozen=True, slots=True)
class ServerAdminDown(ServerMessage):
    """An operator takes a server out of service or back, whatever the endpoint list says."""

    admin_down: bool


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """An operator begins or ends a drain of the gateway's clients; the process keeps running."""

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
    """A hot restart: the next process of this gateway takes over from this one.

    It reserves what the requests still pending here occupy, and is told by ``PeerUsage`` as they end.
    """


@dataclass(frozen=True, slots=True)
class PeerUsage:
    """A customer's use at the previous process of this gateway, which has handed over to this one.

    ``charged_units`` were charged there since the previous report. Also the action by which the previous
    process reports this.
    """

    plan: str
    customer: str
    occupied_places: int  # places under the concurrency cap that its requests pending there occupy
    charged_units: float = 0.0
    metered_use_percent: float | None = None


@dataclass(frozen=True, slots=True)
class PeerExited:
    """The other process of this gateway has ended, and has nothing in flight any more."""


# The next two belong to the simulator's protocol; the policy ignores them.
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
