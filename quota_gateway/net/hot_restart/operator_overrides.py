"""Operators' overrides of a gateway: servers taken out, the drain and the highest fencing token.

They outlive a process: they are sent in messages to the peer process and saved in a file.
"""

from __future__ import annotations

import json
import logging
import os
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.errors import RestartError
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.driver import Driver
from quota_gateway.net.hot_restart.identity import GatewayIdentity

log = logging.getLogger(__name__)

FILE_NAME = "operators.json"
NO_TOKEN = 0


class OperatorOverrides(NamedTuple):
    """Servers that are administratively down, whether the gateway is drained, the highest fencing token."""

    servers_down: tuple[str, ...] = ()  # ids as in discovery's list, sorted
    drained: bool = False
    highest_token: int = NO_TOKEN  # seen so far; a call with a lower one is rejected

    def to_document(self) -> dict[str, Any]:
        """The overrides as a JSON object; as in earlier versions the token is left out if none was seen."""
        document: dict[str, Any] = {"out": list(self.servers_down), "drained": self.drained}
        if self.highest_token != NO_TOKEN:
            document["token"] = self.highest_token
        return document

    @classmethod
    def from_document(cls, document: Any) -> OperatorOverrides:
        """Read the overrides from a JSON object; other keys are ignored.

        Raises ValueError, KeyError, TypeError or AttributeError.
        """
        servers_down = tuple(sorted({str(server_id) for server_id in document["out"]}))
        return cls(servers_down, bool(document["drained"]), int(document.get("token", NO_TOKEN)))


class EffectiveOverrides:
    """The overrides in effect in this process; the policy holds servers and drain, this object the token."""

    def __init__(self, driver: Driver, discovery: Discovery) -> None:
        self.highest_token = NO_TOKEN
        self._driver = driver
        self._discovery = discovery

    def current(self) -> OperatorOverrides:
        """The overrides in effect now."""
        gateway = self._driver.gateway
        numbers = self._discovery.registry.numbers
        down = [server_id for server_id, number in numbers.items() if number in gateway.endpoints.admin_down]
        return OperatorOverrides(tuple(sorted(down)), gateway.drain.is_draining, self.highest_token)

    def any_server_down(self) -> bool:
        """Whether an operator has already taken a server out."""
        return bool(self._driver.gateway.endpoints.admin_down)

    def apply(self, overrides: OperatorOverrides) -> None:
        """Put these overrides into effect: take servers out or back in, set the drain, raise the token."""
        self.raise_token(overrides.highest_token)
        wanted = set(overrides.servers_down)
        current = set(self.current().servers_down)
        for server_id in sorted(wanted - current):
            self._set_down(server_id)
        for server_id in sorted(current - wanted):
            self._restore(server_id)
        self._driver.post(api.DrainChanged(overrides.drained))

    def _set_down(self, server_id: str) -> None:
        registry = self._discovery.registry
        registry.pin(server_id)
        self._driver.post(api.ServerAdminDown(registry.assign(server_id), True))

    def _restore(self, server_id: str) -> None:
        registry = self._discovery.registry
        number = registry.number(server_id)
        self._driver.post(api.ServerAdminDown(number, False))
        registry.unpin(server_id, number in self._driver.gateway.endpoints.servers)

    def raise_token(self, token: int) -> None:
        """Record a fencing token; the highest one seen is kept."""
        self.highest_token = max(self.highest_token, token)

    def accept_token(self, token: int) -> bool:
        """Record a caller's fencing token; whether the caller may act: no higher token has been seen."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True


class OperatorOverridesFile:
    """The overrides on disk, for a process whose predecessor dies before it has handed over.

    The file is one JSON object: the gateway's ``version``, ``name`` and ``listen``, and the overrides as
    ``operators``.
    """

    def __init__(self, folder: Path, identity: GatewayIdentity) -> None:
        self._path = folder / FILE_NAME
        self._identity = identity

    def write(self, overrides: OperatorOverrides) -> None:
        """Replace the file atomically, so that a crash leaves no partial file. A failure is logged."""
        document = {**self._identity.to_document(), "operators": overrides.to_document()}
        new_path = self._path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            new_path.write_text(json.dumps(document))
            os.replace(new_path, self._path)
        except OSError as error:
            log.error("operators' overrides can't be saved, the file is unchanged: %r", error)

    def read(self) -> OperatorOverrides | None:
        """The saved overrides, or None if there is no valid file of this gateway."""
        try:
            return self._parse(self._path.read_bytes())
        except (OSError, RestartError):
            return None

    def _parse(self, raw: bytes) -> OperatorOverrides:
        """Parse the file's content. Raises RestartError."""
        try:
            document = json.loads(raw)
            overrides = document.pop("operators")
            identity = GatewayIdentity.from_document(document)
            if not isinstance(overrides["out"], list):
                raise ValueError("'out' is not a list")
            parsed = OperatorOverrides.from_document(overrides)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            # raised if the file is not JSON, or a key is missing or of the wrong type: no gateway wrote it
            raise RestartError(f"{self._path}: not a file of operators' overrides: {error!r}") from error
        if identity != self._identity:
            raise RestartError(f"{self._path}: written by another gateway or version: {identity}")
        return parsed

    def remove(self) -> None:
        """Remove the file, if it exists."""
        with suppress(OSError):
            self._path.unlink()
