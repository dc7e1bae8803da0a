"""Messages between a supervisor and its gateways: a letter, some with a number, some with a descriptor.

The bytes are those of every version: a supervisor and a gateway may be of different ones.
"""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.net.hot_restart.link import decode_number

SERVING = b"1"
STANDING_BY = b"0"


@dataclass(frozen=True, slots=True)
class Arrived:
    """Gateway: this process is here, standing by or serving. Carries its connection record."""

    serving: bool


@dataclass(frozen=True, slots=True)
class Serves:
    """Gateway: it serves from now on, and has taken over what was left."""


@dataclass(frozen=True, slots=True)
class Alive:
    """Gateway: a heartbeat."""


@dataclass(frozen=True, slots=True)
class ListenerCopy:
    """Both ways: the clients' listener, as a descriptor."""


@dataclass(frozen=True, slots=True)
class ConnectionCopy:
    """Both ways: a client's connection, as a descriptor, by the number of the process that opened it."""

    number: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """Gateway: a connection has ended; its copy is closed."""

    number: int


@dataclass(frozen=True, slots=True)
class LeftRecord:
    """Supervisor: the connection record that a dead process has left, as a descriptor."""


@dataclass(frozen=True, slots=True)
class TakeTurn:
    """Supervisor: it is this process's turn to serve."""


Message = Arrived | Serves | Alive | ListenerCopy | ConnectionCopy | ConnectionEnded | LeftRecord | TakeTurn

LETTERS: dict[type, bytes] = {
    Arrived: b"H",
    Serves: b"S",
    Alive: b"B",
    ListenerCopy: b"L",
    ConnectionCopy: b"C",
    ConnectionEnded: b"D",
    LeftRecord: b"R",
    TakeTurn: b"T",
}
WITHOUT_FIELDS: dict[bytes, Message] = {
    b"S": Serves(),
    b"B": Alive(),
    b"L": ListenerCopy(),
    b"R": LeftRecord(),
    b"T": TakeTurn(),
}


def encode(message: Message) -> bytes:
    """The message's bytes."""
    letter = LETTERS[type(message)]
    match message:
        case Arrived(serving=serving):
            return letter + (SERVING if serving else STANDING_BY)
        case ConnectionCopy(number=number) | ConnectionEnded(number=number):
            return letter + b"%d" % number
        case _:
            return letter


def decode(data: bytes) -> Message | None:
    """The message in these bytes; None for one that a later version has. Raises PeerProcessError."""
    letter = data[:1]
    rest = data[1:]
    if letter == LETTERS[Arrived]:
        return Arrived(rest == SERVING)
    if letter == LETTERS[ConnectionCopy]:
        return ConnectionCopy(decode_number(rest))
    if letter == LETTERS[ConnectionEnded]:
        return ConnectionEnded(decode_number(rest))
    return WITHOUT_FIELDS.get(letter)
