"""Parses and validates one row of discovery's endpoint list."""

from __future__ import annotations

import socket
from math import inf
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.servers import Address

STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.REMOVED,
}
MAX_SHOWN_CHARACTERS = 200  # of a malformed row, in the error message
MAX_PORT = 65535


class EndpointRow(NamedTuple):
    """A server as discovery lists it."""

    instance_id: str
    address: Address
    zone: str
    machine_type: str
    cell: int
    state: api.ServerState
    weight: float
    started_ms: float  # Unix time; 0 if the list does not give it

    @property
    def is_removed(self) -> bool:
        """Whether the row announces that the server is removed."""
        return self.state is api.ServerState.REMOVED

    def entry(self, server: int) -> api.ServerEntry:
        """The row as a policy entry; ``server`` is the number that the registry assigned."""
        return api.ServerEntry(
            server=server,
            zone=self.zone,
            kind=self.machine_type,
            cell=self.cell,
            state=self.state,
            size=self.weight,
            started_ms=self.started_ms,
        )


def parse_row(document: Any) -> EndpointRow:
    """Parse a row from a JSON value; a null zone or optional field gives the default.

    Guards against values that would fail only later: an address that can't be connected to, or a number that
    can't be compared with another, such as NaN.

    Raises:
        DiscoveryError: A field is missing, or has a wrong type or an invalid value.
    """
    try:
        return _parse(document)
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError, OSError):
        # The row, any of its fields or the address may be any JSON value.
        raise DiscoveryError(f"malformed endpoint list entry: {document!r:.{MAX_SHOWN_CHARACTERS}}") from None


def _parse(document: Any) -> EndpointRow:
    weight = document.get("weight")
    return EndpointRow(
        instance_id=_text(document["instanceId"]),
        address=_address(document["hostPort"]),
        zone=_text(document["zone"] or ""),
        machine_type=_text(document.get("machineType") or ""),
        cell=_integer(document.get("cell") or 0),
        state=STATES[_text(document["lifecycle"])],
        weight=_non_negative(1.0 if weight is None else weight),
        started_ms=float(_non_negative(document.get("startedAtMs") or 0.0)),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(value)
    return value


def _integer(value: Any) -> int:
    if not isinstance(value, int):
        raise TypeError(value)
    return value


def _non_negative(value: Any) -> float:
    if not isinstance(value, (int, float)):
        raise TypeError(value)
    if not 0.0 <= float(value) < inf:
        raise ValueError(value)
    return value


def _address(text: Any) -> Address:
    host, _, port = text.rpartition(":")
    socket.inet_pton(socket.AF_INET, host)
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return host, int(port)
