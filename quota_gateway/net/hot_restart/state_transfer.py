"""The state that a process hands over: one JSON document, sent in pieces with a checksum."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from typing import Any, NamedTuple

from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.messages import RemainingConnections, StateEnd, StatePiece
from quota_gateway.net.hot_restart.operator_overrides import OperatorOverrides


class TransferredState(NamedTuple):
    """What the successor needs to continue in place of the predecessor."""

    server_list: Any  # the endpoint list in the form in which discovery sends it
    decisions: Any  # the policy's state, see quota_gateway.state_document
    overrides: OperatorOverrides
    remaining: RemainingConnections

    def to_bytes(self) -> bytes:
        """Encode the state as JSON. All versions use the same keys."""
        document = {
            "list": self.server_list,
            "decisions": self.decisions,
            "operators": self.overrides.to_document(),
            **self.remaining.to_document(),
        }
        return json.dumps(document).encode()

    @classmethod
    def from_bytes(cls, raw: bytes) -> TransferredState:
        """Decode the state; the endpoint list and the policy's state are validated when they are applied.

        Raises PeerProcessError.
        """
        try:
            document = json.loads(raw)
            return cls(
                server_list=document["list"],
                decisions=document["decisions"],
                overrides=OperatorOverrides.from_document(document["operators"]),
                remaining=RemainingConnections.from_document(document),
            )
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            # raised if the state is not JSON, or a key is missing or of the wrong type
            raise PeerProcessError(f"the state is malformed: {error!r}") from error


def split_state(raw: bytes) -> Iterator[StatePiece]:
    """Split the encoded state into pieces that fit into messages."""
    for start in range(0, len(raw), limits.STATE_PIECE_BYTES):
        yield StatePiece(raw[start : start + limits.STATE_PIECE_BYTES])


def state_end(raw: bytes, heartbeats: bool) -> StateEnd:
    """The message that ends the state, with its size and checksum."""
    return StateEnd(len(raw), zlib.crc32(raw), heartbeats)


class StateAssembly:
    """Joins the received pieces of the state."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    def add(self, piece: StatePiece) -> None:
        """Add the next piece. Raises PeerProcessError if there are more than MAX_STATE_BYTES allows."""
        self._pieces.append(piece.data)
        if len(self._pieces) * limits.STATE_PIECE_BYTES > limits.MAX_STATE_BYTES:
            raise PeerProcessError("the state exceeds its maximum size")

    def complete(self, end: StateEnd) -> TransferredState:
        """Check and decode the state. Raises PeerProcessError if it is truncated, damaged or malformed."""
        raw = b"".join(self._pieces)
        if len(raw) != end.size_bytes or zlib.crc32(raw) != end.checksum:
            raise PeerProcessError(f"the state is truncated or damaged: {len(raw)} bytes of {end.size_bytes}")
        return TransferredState.from_bytes(raw)

    def clear(self) -> None:
        """Drop the pieces."""
        self._pieces.clear()
