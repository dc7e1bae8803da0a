"""Builds the parts of a gateway process and connects them; nothing listens or serves yet."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, NamedTuple

from quota_gateway import api
from quota_gateway.config import Config
from quota_gateway.net.admin import AdminEndpoint
from quota_gateway.net.admin_commands import AdminCommands
from quota_gateway.net.clients import ClientRegistry
from quota_gateway.net.clock import Clock
from quota_gateway.net.connection_budget import connection_budget
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.driver import Driver
from quota_gateway.net.hot_restart import GatewayIdentity, HotRestart
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.net.reload import ConfigurationReload
from quota_gateway.net.servers import Address, ServerPool
from quota_gateway.policy.gateway import Gateway

if TYPE_CHECKING:
    from quota_gateway.failover.gateway import SupervisedGateway


class GatewayParts(NamedTuple):
    """The parts of a gateway process, which exist for as long as it runs."""

    driver: Driver
    servers: ServerPool
    clients: ClientRegistry
    discovery: Discovery
    hot_restart: HotRestart
    supervised_gateway: SupervisedGateway | None  # None unless a supervisor runs the process
    admin_commands: AdminCommands
    admin_endpoint: AdminEndpoint
    reload: ConfigurationReload


def build(config: Config) -> GatewayParts:
    """Build all parts of the process and connect them as the configuration and the environment require."""
    max_connections = connection_budget(config)
    servers = ServerPool(config.settings, max_connections)
    driver = Driver(Gateway(config.settings, config.seed), servers, Clock())
    clients = ClientRegistry(driver, config.settings, max_connections)
    driver.on_set_serving = clients.set_serving
    discovery = _discovery(config, driver, servers, clients)
    supervised_gateway = _supervised_gateway(clients)
    process_parts = ProcessParts(driver, clients, servers, discovery)
    hot_restart = _hot_restart(config, process_parts, supervised_gateway)
    admin_commands = AdminCommands(driver, clients, discovery.registry, hot_restart)
    admin_endpoint = AdminEndpoint(admin_commands.commands(), admin_commands.check_token)
    reload = ConfigurationReload(config, os.environ, process_parts, admin_endpoint, hot_restart)
    admin_endpoint.commands.update(reload.commands())
    admin_commands.configuration_digest = lambda: reload.in_force.config.digest
    return GatewayParts(
        driver,
        servers,
        clients,
        discovery,
        hot_restart,
        supervised_gateway,
        admin_commands,
        admin_endpoint,
        reload,
    )


def _discovery(config: Config, driver: Driver, servers: ServerPool, clients: ClientRegistry) -> Discovery:
    """The watch on discovery; each list updates the server connections first and then the decisions."""

    def apply_list(listing: api.ServerList, addresses: dict[int, Address]) -> None:
        servers.update(listing, addresses)
        driver.post(listing)
        if listing.kind is not api.ListKind.CACHED:
            clients.ready = True

    settings = config.settings
    return Discovery(config.discovery, apply_list, config.seed, settings.gateways, settings.discovery)


def _supervised_gateway(clients: ClientRegistry) -> SupervisedGateway | None:
    """This process's end of the link to its supervisor; None if no supervisor runs the process.

    EDGE_KEEPER is the path of the supervisor's socket. Without it the failover code is not imported.
    """
    path = os.environ.get("EDGE_KEEPER")
    if not path:
        return None
    from quota_gateway.failover.gateway import SupervisedGateway

    return SupervisedGateway(path, clients)


def _hot_restart(
    config: Config, parts: ProcessParts, supervised_gateway: SupervisedGateway | None
) -> HotRestart:
    """Both ends of a hot restart; the two processes connect through a socket in the folder TMPDIR.

    Disabled under a supervisor: there the next process is already standing by, and it must not take over
    from a process that still serves.
    """
    folder = None if supervised_gateway else os.environ.get("TMPDIR")
    identity = GatewayIdentity(config.name, f"{config.listen[0]}:{config.listen[1]}")
    return HotRestart(folder, identity, parts)
