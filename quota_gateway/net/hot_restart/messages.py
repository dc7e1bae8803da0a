"""Messages between two processes of one gateway, and their bytes.

A message is one letter, then JSON or raw bytes. Processes of different versions hand over to each other, so
the bytes never change. A later version adds optional fields only, which an earlier one ignores; what an
earlier version does not send has a default here. Decoding is the one edge where bytes of the peer process
are trusted: all that is wrong with them becomes a PeerProcessError.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart.identity import GatewayIdentity
from quota_gateway.net.hot_restart.operator_wishes import OperatorWishes
from quota_gateway.net.retained_connections import NOT_RETAINED

TAKE_OVER_WITH_HEARTBEATS = b"+"


def _json(document: Any) -> bytes:
    return json.dumps(document).encode()


class Hello(NamedTuple):
    """Both ways, first: the sender's identity. The predecessor answers with its own."""

    identity: GatewayIdentity

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json(self.identity.to_document())

    @classmethod
    def read(cls, body: bytes) -> Hello:
        """The message of this body."""
        return cls(GatewayIdentity.from_document(json.loads(body)))


class TakeOver(NamedTuple):
    """Successor to predecessor: stop accepting and hand over now."""

    heartbeats: (
        bool  # it sends heartbeats, and reports the connections it closes; earlier versions do neither
    )

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return TAKE_OVER_WITH_HEARTBEATS if self.heartbeats else b""

    @classmethod
    def read(cls, body: bytes) -> TakeOver:
        """The message of this body."""
        return cls(body == TAKE_OVER_WITH_HEARTBEATS)


class StatePiece(NamedTuple):
    """Predecessor to successor: the next bytes of the state."""

    data: bytes

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return self.data

    @classmethod
    def read(cls, body: bytes) -> StatePiece:
        """The message of this body."""
        return cls(body)


class StateEnd(NamedTuple):
    """Predecessor to successor: the state is complete. Carries the clients' listener, if there is one."""

    size_bytes: int
    checksum: int  # CRC-32
    heartbeats: bool  # the predecessor sends heartbeats, too; earlier versions do not

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json({"bytes": self.size_bytes, "crc": self.checksum, "beats": self.heartbeats})

    @classmethod
    def read(cls, body: bytes) -> StateEnd:
        """The message of this body."""
        fields = json.loads(body)
        return cls(fields["bytes"], fields["crc"], bool(fields.get("beats")))


class ClientConnection(NamedTuple):
    """Predecessor to successor, with its descriptor: a client connection between two requests."""

    has_requested: bool  # a request has come on it
    waited_s: float  # since it was opened
    retained_id: int  # of the predecessor's copy; NOT_RETAINED from earlier versions

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json({"asked": self.has_requested, "waited": self.waited_s, "kept": self.retained_id})

    @classmethod
    def read(cls, body: bytes) -> ClientConnection:
        """The message of this body."""
        fields = json.loads(body)
        return cls(bool(fields["asked"]), float(fields["waited"]), int(fields.get("kept", NOT_RETAINED)))


class ServerConnection(NamedTuple):
    """Predecessor to successor, with its descriptor: an idle connection to a server."""

    server_id: str  # as in discovery's list

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return self.server_id.encode()

    @classmethod
    def read(cls, body: bytes) -> ServerConnection:
        """The message of this body."""
        return cls(body.decode())


class RemainingConnections(NamedTuple):
    """Predecessor to successor: how many connections it still has."""

    clients: int
    servers: int

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json(self.to_document())

    def to_document(self) -> dict[str, int]:
        """The counts by their keys, which stand in the state as well."""
        return {"clients": self.clients, "servers": self.servers}

    @classmethod
    def from_document(cls, fields: dict[str, Any]) -> RemainingConnections:
        """The counts in a document, among other keys."""
        return cls(int(fields["clients"]), int(fields["servers"]))


class CustomerUsage(NamedTuple):
    """Predecessor to successor: what a request that it still had did to its customer's quota."""

    plan: str
    customer: str
    occupied_places: int  # under the concurrency cap, by requests that the predecessor still has
    charged_units: float
    metered_use_percent: float | None  # the meter's reading, if the answer had one

    def body(self) -> bytes:
        """The bytes behind the letter."""
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
        """The usage in a document."""
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
        """The message about a change that the predecessor's decisions report."""
        return cls(
            plan=event.plan,
            customer=event.customer,
            occupied_places=event.occupied_places,
            charged_units=event.charged_units,
            metered_use_percent=event.metered_use_percent,
        )

    def to_event(self) -> api.PeerUsage:
        """The event for the successor's decisions."""
        return api.PeerUsage(
            plan=self.plan,
            customer=self.customer,
            occupied_places=self.occupied_places,
            charged_units=self.charged_units,
            metered_use_percent=self.metered_use_percent,
        )


def _read_remaining_or_usage(body: bytes) -> RemainingConnections | CustomerUsage:
    """Two messages have the letter F; only one of them names a plan."""
    fields = json.loads(body)
    if "plan" in fields:
        return CustomerUsage.from_document(fields)
    return RemainingConnections.from_document(fields)


class WishesChanged(NamedTuple):
    """Both ways: what operators wish has changed; the receiver applies it and answers."""

    number: int
    wishes: OperatorWishes

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json({"number": self.number, "operators": self.wishes.to_document()})

    @classmethod
    def read(cls, body: bytes) -> WishesChanged:
        """The message of this body."""
        fields = json.loads(body)
        return cls(fields["number"], OperatorWishes.from_document(fields["operators"]))


class WishesApplied(NamedTuple):
    """Both ways: the answer to ``WishesChanged``, by its number."""

    number: int

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json(self.number)

    @classmethod
    def read(cls, body: bytes) -> WishesApplied:
        """The message of this body."""
        return cls(json.loads(body))


class RetainedConnectionClosed(NamedTuple):
    """Successor to predecessor: a connection of which it retains a copy is closed."""

    retained_id: int

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return _json(self.retained_id)

    @classmethod
    def read(cls, body: bytes) -> RetainedConnectionClosed:
        """The message of this body."""
        return cls(int(json.loads(body)))


@dataclass(frozen=True, slots=True)
class Alive:
    """Both ways: a heartbeat."""

    def body(self) -> bytes:
        """The bytes behind the letter."""
        return b""

    @classmethod
    def read(cls, _body: bytes) -> Alive:
        """The message; a body has no meaning yet."""
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
    | WishesChanged
    | WishesApplied
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
    WishesChanged: b"O",
    WishesApplied: b"A",
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
    LETTERS[WishesChanged]: WishesChanged.read,
    LETTERS[WishesApplied]: WishesApplied.read,
    LETTERS[RetainedConnectionClosed]: RetainedConnectionClosed.read,
    LETTERS[Alive]: Alive.read,
}


def encode(message: Message) -> bytes:
    """The message as it goes over the link."""
    return LETTERS[type(message)] + message.body()


def decode(data: bytes) -> Message:
    """The message of these bytes. Raises PeerProcessError if they are none."""
    read = READERS.get(data[:1])
    if read is None:
        raise PeerProcessError(f"no message has the letter {data[:1]!r}")
    try:
        return read(data[1:])
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        # not JSON, a field missing, a field of another type: each is a malformed message
        raise PeerProcessError(f"{data[:1]!r} with a malformed body: {error!r}") from error
