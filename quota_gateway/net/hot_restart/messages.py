"""Messages between two processes of one gateway, and how they are encoded.

A message is a letter for its type, then a body of JSON or raw bytes. Processes of different versions hand
over to each other, so the encoding never changes. A later version may only add optional fields, which an
earlier one ignores; a field that an earlier version does not send has a default here. Bytes from the peer
process are validated as they are decoded: anything wrong with them becomes a PeerProcessError.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart.identity import GatewayIdentity
from quota_gateway.net.hot_restart.operator_overrides import OperatorOverrides
from quota_gateway.net.retained_connections import NOT_RETAINED

TAKE_OVER_WITH_HEARTBEATS = b"+"


def _json(document: Any) -> bytes:
    return json.dumps(document).encode()


class Hello(NamedTuple):
    """Both ways, the first message: the sender's identity. The predecessor answers with its own."""

    identity: GatewayIdentity

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json(self.identity.to_document())

    @classmethod
    def read(cls, body: bytes) -> Hello:
        """Decode the message from its body."""
        return cls(GatewayIdentity.from_document(json.loads(body)))


class TakeOver(NamedTuple):
    """Successor to predecessor: stop accepting and hand over now."""

    heartbeats: (
        bool  # the successor sends heartbeats and reports closed connections; earlier versions do neither
    )

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return TAKE_OVER_WITH_HEARTBEATS if self.heartbeats else b""

    @classmethod
    def read(cls, body: bytes) -> TakeOver:
        """Decode the message from its body."""
        return cls(body == TAKE_OVER_WITH_HEARTBEATS)


class StatePiece(NamedTuple):
    """Predecessor to successor: the next part of the encoded state."""

    data: bytes

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return self.data

    @classmethod
    def read(cls, body: bytes) -> StatePiece:
        """Decode the message from its body."""
        return cls(body)


class StateEnd(NamedTuple):
    """Predecessor to successor: the state is complete. Carries the clients' listener, if there is one."""

    size_bytes: int
    checksum: int  # CRC-32
    heartbeats: bool  # whether the predecessor sends heartbeats too; earlier versions do not

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json({"bytes": self.size_bytes, "crc": self.checksum, "beats": self.heartbeats})

    @classmethod
    def read(cls, body: bytes) -> StateEnd:
        """Decode the message from its body."""
        fields = json.loads(body)
        return cls(fields["bytes"], fields["crc"], bool(fields.get("beats")))


class ClientConnection(NamedTuple):
    """Predecessor to successor, with its descriptor: a client connection between two requests."""

    has_requested: bool  # whether a request has come on it
    waited_s: float  # how long its next command has been awaited; earlier versions send the connection's age
    retained_id: int  # of the copy that the predecessor retains; NOT_RETAINED from earlier versions

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json({"asked": self.has_requested, "waited": self.waited_s, "kept": self.retained_id})

    @classmethod
    def read(cls, body: bytes) -> ClientConnection:
        """Decode the message from its body."""
        fields = json.loads(body)
        return cls(bool(fields["asked"]), float(fields["waited"]), int(fields.get("kept", NOT_RETAINED)))


class ServerConnection(NamedTuple):
    """Predecessor to successor, with its descriptor: an idle connection to a server."""

    server_id: str  # as in discovery's list

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return self.server_id.encode()

    @classmethod
    def read(cls, body: bytes) -> ServerConnection:
        """Decode the message from its body."""
        return cls(body.decode())


class RemainingConnections(NamedTuple):
    """Predecessor to successor: how many connections it still has."""

    clients: int
    servers: int

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json(self.to_document())

    def to_document(self) -> dict[str, int]:
        """The counts as JSON fields, which the transferred state contains as well."""
        return {"clients": self.clients, "servers": self.servers}

    @classmethod
    def from_document(cls, fields: dict[str, Any]) -> RemainingConnections:
        """Read the counts from a JSON object that may have other keys."""
        return cls(int(fields["clients"]), int(fields["servers"]))


class CustomerUsage(NamedTuple):
    """Predecessor to successor: how a request that it still had has changed its customer's quota use."""

    plan: str
    customer: str
    occupied_places: int  # under the concurrency cap, by requests that the predecessor still has
    charged_units: float
    metered_use_percent: float | None  # of the rate, over all gateways, if the server's answer told it

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json(
            {
                "plan": self.plan,
                "customer": self.customer,
                "in_hand": self.occupied_places,
                "charged": self.charged_units,
                "used": self.metered_use_percent,
            }
        )

    @classmethod
    def from_document(cls, fields: dict[str, Any]) -> CustomerUsage:
        """Read the usage from a JSON object."""
        used = fields["used"]
        return cls(
            plan=fields["plan"],
            customer=fields["customer"],
            occupied_places=int(fields["in_hand"]),
            charged_units=float(fields["charged"]),
            metered_use_percent=None if used is None else float(used),
        )

    @classmethod
    def from_event(cls, event: api.PeerUsage) -> CustomerUsage:
        """The message for a usage change that the predecessor's policy reports."""
        return cls(
            plan=event.plan,
            customer=event.customer,
            occupied_places=event.occupied_places,
            charged_units=event.charged_units,
            metered_use_percent=event.metered_use_percent,
        )

    def to_event(self) -> api.PeerUsage:
        """The event for the successor's policy."""
        return api.PeerUsage(
            plan=self.plan,
            customer=self.customer,
            occupied_places=self.occupied_places,
            charged_units=self.charged_units,
            metered_use_percent=self.metered_use_percent,
        )


def _read_remaining_or_usage(body: bytes) -> RemainingConnections | CustomerUsage:
    """Decode a message with the letter F, which two types share; only CustomerUsage has a plan."""
    fields = json.loads(body)
    if "plan" in fields:
        return CustomerUsage.from_document(fields)
    return RemainingConnections.from_document(fields)


class OverridesChanged(NamedTuple):
    """Both ways: operators' overrides have changed; the receiver applies them and answers."""

    number: int  # counted up by the sender
    overrides: OperatorOverrides

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json({"number": self.number, "operators": self.overrides.to_document()})

    @classmethod
    def read(cls, body: bytes) -> OverridesChanged:
        """Decode the message from its body."""
        fields = json.loads(body)
        return cls(fields["number"], OperatorOverrides.from_document(fields["operators"]))


class OverridesApplied(NamedTuple):
    """Both ways: the answer to the ``OverridesChanged`` with the same number."""

    number: int

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json(self.number)

    @classmethod
    def read(cls, body: bytes) -> OverridesApplied:
        """Decode the message from its body."""
        return cls(json.loads(body))


class RetainedConnectionClosed(NamedTuple):
    """Successor to predecessor: a connection that the predecessor retains a copy of has been closed."""

    retained_id: int

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return _json(self.retained_id)

    @classmethod
    def read(cls, body: bytes) -> RetainedConnectionClosed:
        """Decode the message from its body."""
        return cls(int(json.loads(body)))


@dataclass(frozen=True, slots=True)
class Alive:
    """Both ways: a heartbeat."""

    def body(self) -> bytes:
        """The bytes after the type letter."""
        return b""

    @classmethod
    def read(cls, _body: bytes) -> Alive:
        """Decode the message; a body is ignored, as none is defined yet."""
        return cls()


Message = (
    Hello
    | TakeOver
    | StatePiece
    | StateEnd
    | ClientConnection
    | ServerConnection
    | RemainingConnections
    | CustomerUsage
    | OverridesChanged
    | OverridesApplied
    | RetainedConnectionClosed
    | Alive
)
LETTERS: dict[type, bytes] = {
    Hello: b"H",
    TakeOver: b"T",
    StatePiece: b"S",
    StateEnd: b"E",
    ClientConnection: b"C",
    ServerConnection: b"V",
    RemainingConnections: b"F",
    CustomerUsage: b"F",
    OverridesChanged: b"O",
    OverridesApplied: b"A",
    RetainedConnectionClosed: b"D",
    Alive: b"B",
}
READERS: dict[bytes, Callable[[bytes], Message]] = {
    LETTERS[Hello]: Hello.read,
    LETTERS[TakeOver]: TakeOver.read,
    LETTERS[StatePiece]: StatePiece.read,
    LETTERS[StateEnd]: StateEnd.read,
    LETTERS[ClientConnection]: ClientConnection.read,
    LETTERS[ServerConnection]: ServerConnection.read,
    LETTERS[RemainingConnections]: _read_remaining_or_usage,
    LETTERS[OverridesChanged]: OverridesChanged.read,
    LETTERS[OverridesApplied]: OverridesApplied.read,
    LETTERS[RetainedConnectionClosed]: RetainedConnectionClosed.read,
    LETTERS[Alive]: Alive.read,
}


def encode(message: Message) -> bytes:
    """The bytes to send over the link."""
    return LETTERS[type(message)] + message.body()


def decode(data: bytes) -> Message:
    """Decode the bytes of a message. Raises PeerProcessError if they are not valid."""
    read = READERS.get(data[:1])
    if read is None:
        raise PeerProcessError(f"unknown message type {data[:1]!r}")
    try:
        return read(data[1:])
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        # raised if the body is not JSON, or a field is missing or of the wrong type
        raise PeerProcessError(f"{data[:1]!r} message has a malformed body: {error!r}") from error
