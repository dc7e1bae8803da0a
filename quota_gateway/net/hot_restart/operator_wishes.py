"""What operators wish of a gateway, across its processes: in force, in messages and in a file."""

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


class OperatorWishes(NamedTuple):
    """Servers that are administratively down, whether the gateway is drained, the highest fencing token."""

    servers_down: tuple[str, ...] = ()  # ids of discovery, sorted
    drained: bool = False
    highest_token: int = NO_TOKEN  # seen so far; a call with a lower one is rejected

    def to_document(self) -> dict[str, Any]:
        """The wishes by their keys; the token only where there was one, as in earlier versions."""
        document: dict[str, Any] = {"out": list(self.servers_down), "drained": self.drained}
        if self.highest_token != NO_TOKEN:
            document["token"] = self.highest_token
        return document

    @classmethod
    def from_document(cls, document: Any) -> OperatorWishes:
        """The wishes in a document; other keys are ignored.

        Raises ValueError, KeyError, TypeError or AttributeError.
        """
        servers_down = tuple(sorted({str(server_id) for server_id in document["out"]}))
        return cls(servers_down, bool(document["drained"]), int(document.get("token", NO_TOKEN)))


class WishesInForce:
    """The wishes that this process goes by; servers and drain are the decisions' state."""

    def __init__(self, driver: Driver, discovery: Discovery) -> None:
        self.highest_token = NO_TOKEN
        self._driver = driver
        self._discovery = discovery

    def current(self) -> OperatorWishes:
        """The wishes as they are now."""
        gateway = self._driver.gateway
        numbers = self._discovery.registry.numbers
        down = [server_id for server_id, number in numbers.items() if number in gateway.endpoints.admin_down]
        return OperatorWishes(tuple(sorted(down)), gateway.drain.is_draining, self.highest_token)

    def any_server_down(self) -> bool:
        """Whether an operator's call has taken a server out already."""
        return bool(self._driver.gateway.endpoints.admin_down)

    def apply(self, wishes: OperatorWishes) -> None:
        """Go by these wishes from now on."""
        self.raise_token(wishes.highest_token)
        wanted = set(wishes.servers_down)
        current = set(self.current().servers_down)
        for server_id in sorted(wanted - current):
            self._set_down(server_id)
        for server_id in sorted(current - wanted):
            self._restore(server_id)
        self._driver.post(api.DrainChanged(wishes.drained))

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
        """Note a caller's token; the highest one counts."""
        self.highest_token = max(self.highest_token, token)

    def accept_token(self, token: int) -> bool:
        """Note a caller's token, and whether it may act: no caller with a higher one is known."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True


class OperatorWishesFile:
    """The wishes on disk, for a process whose predecessor dies before it has handed over.

    One JSON object: ``version``, ``name`` and ``listen`` of the gateway, and ``operators`` with the wishes.
    """

    def __init__(self, folder: Path, identity: GatewayIdentity) -> None:
        self._path = folder / FILE_NAME
        self._identity = identity

    def write(self, wishes: OperatorWishes) -> None:
        """Replace the file; a crash leaves the old one or the new one, never a part. A failure is logged."""
        document = {**self._identity.to_document(), "operators": wishes.to_document()}
        new_path = self._path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            new_path.write_text(json.dumps(document))
            os.replace(new_path, self._path)
        except OSError as error:
            log.error("operators' wishes can't be saved: %r", error)

    def read(self) -> OperatorWishes | None:
        """The wishes, or None where there is no file or it is not one of this gateway."""
        try:
            return self._parse(self._path.read_bytes())
        except (OSError, RestartError):
            return None

    def _parse(self, raw: bytes) -> OperatorWishes:
        """The wishes in a file's content. Raises RestartError."""
        try:
            document = json.loads(raw)
            wishes = document.pop("operators")
            identity = GatewayIdentity.from_document(document)
            if not isinstance(wishes["out"], list):
                raise ValueError("out is no list")
            parsed = OperatorWishes.from_document(wishes)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            # not JSON, a key missing, a value of another type: not written by a gateway
            raise RestartError(f"{self._path}: not a file of operators' wishes: {error!r}") from error
        if identity != self._identity:
            raise RestartError(f"{self._path}: written by {identity}")
        return parsed

    def remove(self) -> None:
        """Remove the file, if there is one."""
        with suppress(OSError):
            self._path.unlink()
