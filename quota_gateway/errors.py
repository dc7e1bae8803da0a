"""The package's errors: one tree, so that an edge can catch what it maps and nothing else.

Each message tells what failed, where, and what is done about it. Errors of the socket library are mapped to
these where the socket is used.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_FAULTS = 100  # of one configuration that are listed


class GatewayError(Exception):
    """Base of the errors that this package raises for a reason of its own."""


class ConfigurationError(GatewayError, ValueError):
    """A configuration that can't be used, with all its faults; the one in force stays."""

    def __init__(self, faults: Iterable[str], is_transient: bool = False) -> None:
        all_faults = list(faults)
        self.faults = all_faults[:MAX_FAULTS]
        if len(all_faults) > MAX_FAULTS:
            self.faults.append(f"and {len(all_faults) - MAX_FAULTS} more")
        self.is_transient = is_transient  # the file may be being written: worth reading again
        super().__init__("; ".join(self.faults))


class ProtocolError(GatewayError, ValueError):
    """A peer's bytes are not the protocol; its connection is closed or its message rejected."""


class PeerProcessError(GatewayError):
    """The peer process sent a malformed message, or one out of turn; the link to it is ended."""


class DiscoveryError(GatewayError):
    """Discovery can't be reached or its answer can't be used; the list that is known stays in use."""


class RestartError(GatewayError):
    """Nothing can be taken over from the predecessor or its file; this process starts with empty state."""


class RolloutError(GatewayError):
    """A rollout can't begin or go on as it is; its journal says where it stands."""


class IllegalTransitionError(GatewayError):
    """A state machine was asked for a transition that its table does not have; see ``state_machine``."""

    def __init__(self, owner: str, state: object, requested: object) -> None:
        self.owner = owner
        self.state = state
        self.requested = requested
        super().__init__(f"{owner}: no transition from {state} to {requested}")
