"""Messages between a supervisor and its gateways: one letter, in some with a number or a file descriptor.

Each message's docstring begins with its sender. All versions use the same bytes, because a supervisor and its
gateways may be of different versions.
"""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.net.hot_restart.link import decode_number

SERVING = b"1"
STANDING_BY = b"0"


@dataclass(frozen=True, slots=True)
class Registered:
    """Gateway: registers its process, standing by or serving. Carries its connection record's descriptor."""

    serving: bool


@dataclass(frozen=True, slots=True)
class Serves:
    """Gateway: it serves from now on, and has taken over what a dead process left."""


@dataclass(frozen=True, slots=True)
class Alive:
    """Gateway: a heartbeat."""


@dataclass(frozen=True, slots=True)
class ListenerCopy:
    """Either side: carries a descriptor of the clients' listener."""


@dataclass(frozen=True, slots=True)
class ConnectionCopy:
    """Either side: carries a descriptor of a client connection.

    The number is ``ConnectionRow.number`` in the record of the process that opened or adopted it.
    """

    number: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """Gateway: a connection has ended, so that the supervisor closes its copy of the descriptor."""

    number: int


@dataclass(frozen=True, slots=True)
class LeftRecord:
    """Supervisor: carries the descriptor of the connection record that a dead process has left."""


@dataclass(frozen=True, slots=True)
class TakeTurn:
    """Supervisor: tells a standby that it is its turn to serve."""


Message = (
    Registered | Serves | Alive | ListenerCopy | ConnectionCopy | ConnectionEnded | LeftRecord | TakeTurn
)

LETTERS: dict[type, bytes] = {
    Registered: b"H",
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
        case Registered(serving=serving):
            return letter + (SERVING if serving else STANDING_BY)
        case ConnectionCopy(number=number) | ConnectionEnded(number=number):
            return letter + b"%d" % number
        case _:
            return letter


def decode(data: bytes) -> Message | None:
    """The message in these bytes; None if its letter is unknown, such as one of a later version.

    Raises PeerProcessError for an invalid number.
    """
    letter = data[:1]
    rest = data[1:]
    if letter == LETTERS[Registered]:
        return Registered(rest == SERVING)
    if letter == LETTERS[ConnectionCopy]:
        return ConnectionCopy(decode_number(rest))
    if letter == LETTERS[ConnectionEnded]:
        return ConnectionEnded(decode_number(rest))
    return WITHOUT_FIELDS.get(letter)
