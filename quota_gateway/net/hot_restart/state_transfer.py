"""The state that a process hands over: one JSON document, sent in pieces with a checksum."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from typing import Any, NamedTuple

from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.messages import RemainingConnections, StateEnd, StatePiece
from quota_gateway.net.hot_restart.operator_wishes import OperatorWishes


class TransferredState(NamedTuple):
    """What the successor goes on from."""

    server_list: Any  # discovery's list, in discovery's form
    decisions: Any  # see quota_gateway.state_document
    wishes: OperatorWishes
    remaining: RemainingConnections

    def to_bytes(self) -> bytes:
        """The document. Its keys are those of every version."""
        document = {
            "list": self.server_list,
            "decisions": self.decisions,
            "operators": self.wishes.to_document(),
            **self.remaining.to_document(),
        }
        return json.dumps(document).encode()

    @classmethod
    def from_bytes(cls, raw: bytes) -> TransferredState:
        """The state in a document; the list and the decisions are checked as they are applied.

        Raises PeerProcessError.
        """
        try:
            document = json.loads(raw)
            return cls(
                server_list=document["list"],
                decisions=document["decisions"],
                wishes=OperatorWishes.from_document(document["operators"]),
                remaining=RemainingConnections.from_document(document),
            )
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            # not JSON, a key missing, a value of another type
            raise PeerProcessError(f"the state is malformed: {error!r}") from error


def split(raw: bytes) -> Iterator[StatePiece]:
    """The document in pieces that fit into messages."""
    for start in range(0, len(raw), limits.STATE_PIECE_BYTES):
        yield StatePiece(raw[start : start + limits.STATE_PIECE_BYTES])


def end_of(raw: bytes, heartbeats: bool) -> StateEnd:
    """The message that ends the document."""
    return StateEnd(len(raw), zlib.crc32(raw), heartbeats)


class StateAssembly:
    """Collects the pieces of a document."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    def add(self, piece: StatePiece) -> None:
        """Add the next piece. Raises PeerProcessError beyond the bound on their number."""
        self._pieces.append(piece.data)
        if len(self._pieces) * limits.STATE_PIECE_BYTES > limits.MAX_STATE_BYTES:
            raise PeerProcessError("the state has no end")

    def complete(self, end: StateEnd) -> TransferredState:
        """The state. Raises PeerProcessError if it is truncated or malformed."""
        raw = b"".join(self._pieces)
        if len(raw) != end.size_bytes or zlib.crc32(raw) != end.checksum:
            raise PeerProcessError(f"the state is truncated: {len(raw)} bytes of {end.size_bytes}")
        return TransferredState.from_bytes(raw)

    def clear(self) -> None:
        """Drop the pieces."""
        self._pieces.clear()
