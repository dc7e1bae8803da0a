"""Identity of a gateway: a process takes over only from one with exactly the same identity."""

from __future__ import annotations

from typing import Any, NamedTuple

PROTOCOL_VERSION = 1  # of the messages, the state and the file of operators' overrides
# What ``--about`` prints: a rollout reads it before it lets two versions take over from each other.
ABOUT: dict[str, int | bool] = {"handover": PROTOCOL_VERSION, "retire": True}


class GatewayIdentity(NamedTuple):
    """The fields that two processes of the same gateway have in common."""

    name: str
    listen: str  # host:port
    version: int = PROTOCOL_VERSION

    def to_document(self) -> dict[str, Any]:
        """The identity as a JSON object, for messages and the file of operators' overrides."""
        return {"version": self.version, "name": self.name, "listen": self.listen}

    @classmethod
    def from_document(cls, fields: Any) -> GatewayIdentity:
        """Read the identity from a JSON object that has no other keys.

        Raises ValueError, KeyError, TypeError or AttributeError.
        """
        identity = cls(fields["name"], fields["listen"], fields["version"])
        if fields.keys() != identity.to_document().keys():
            raise ValueError(f"unexpected keys in an identity: {sorted(fields)}")
        return identity
