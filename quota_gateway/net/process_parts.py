"""The parts of this process that a hot restart hands over and that a reload reconfigures."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.net.clients import ClientRegistry
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.driver import Driver
from quota_gateway.net.servers import ServerPool


class ProcessParts(NamedTuple):
    """The policy's driver, the client and server connections, and the servers that discovery lists."""

    driver: Driver
    clients: ClientRegistry
    servers: ServerPool
    discovery: Discovery

    def server_names(self) -> dict[int, str]:
        """Discovery's instance ids of the servers, by the number that this process gave each of them."""
        return {number: server_id for server_id, number in self.discovery.registry.numbers.items()}
