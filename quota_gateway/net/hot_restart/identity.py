"""Identity of a gateway: only processes that agree in all of it take over from each other."""

from __future__ import annotations

from typing import Any, NamedTuple

PROTOCOL_VERSION = 1  # of the messages, of the state and of the file of operators' wishes
# What ``--about`` prints: a rollout reads it before it lets two versions take over from each other.
ABOUT: dict[str, int | bool] = {"handover": PROTOCOL_VERSION, "retire": True}


class GatewayIdentity(NamedTuple):
    """What two processes have in common if they are the same gateway."""

    name: str
    listen: str  # host:port
    version: int = PROTOCOL_VERSION

    def to_document(self) -> dict[str, Any]:
        """The identity by its keys in messages and in the file of operators' wishes."""
        return {"version": self.version, "name": self.name, "listen": self.listen}

    @classmethod
    def from_document(cls, fields: Any) -> GatewayIdentity:
        """The identity in a document that has no other keys.

        Raises ValueError, KeyError, TypeError or AttributeError.
        """
        identity = cls(fields["name"], fields["listen"], fields["version"])
        if fields.keys() != identity.to_document().keys():
            raise ValueError(f"an identity has other keys: {sorted(fields)}")
        return identity
