"""The package's exceptions, with one base class, so that callers can catch exactly those they handle.

Each message says what failed, where, and what is done about it. Errors of the socket library are converted to
these where the socket is used.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_FAULTS = 100  # that one error lists


class GatewayError(Exception):
    """Base class of the errors that originate in this package."""


class ConfigurationError(GatewayError, ValueError):
    """A configuration can't be used; lists its faults. The configuration in force, if any, stays."""

    def __init__(self, faults: Iterable[str], is_transient: bool = False) -> None:
        all_faults = list(faults)
        self.faults = all_faults[:MAX_FAULTS]
        if len(all_faults) > MAX_FAULTS:
            self.faults.append(f"and {len(all_faults) - MAX_FAULTS} more")
        self.is_transient = is_transient  # the file may be partly written: reading it again may succeed
        super().__init__("; ".join(self.faults))


class ProtocolError(GatewayError, ValueError):
    """A peer sent bytes that violate the protocol; its connection is closed or its message rejected."""


class PeerProcessError(GatewayError):
    """The peer process sent a malformed message, or one out of order; the link to it is closed."""


class DiscoveryError(GatewayError):
    """Discovery can't be reached or its answer can't be used; the last known endpoint list stays in use."""


class RestartError(GatewayError):
    """Nothing can be taken over from the predecessor or its file; this process starts with empty state."""


class RolloutError(GatewayError):
    """A rollout can't begin or continue as it is; its journal records how far it got."""


class IllegalTransitionError(GatewayError):
    """A transition was requested that the state machine's table does not have; see ``state_machine``."""

    def __init__(self, owner: str, state: object, requested: object) -> None:
        self.owner = owner
        self.state = state
        self.requested = requested
        super().__init__(f"{owner}: no transition from {state} to {requested}")
