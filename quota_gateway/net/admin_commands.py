"""The admin commands for servers, the drain and the process; those for the configuration are in ``reload``.

Commands that take servers out or drain the gateway are posted to the policy (``quota_gateway.policy``) as
events, and answered YES once the policy has processed them.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from quota_gateway import api
from quota_gateway.net.admin import ONE_ID, AdminCommand, AdminReply, done, rejected
from quota_gateway.net.clients import ClientRegistry
from quota_gateway.net.driver import Driver
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.hot_restart import HotRestart

log = logging.getLogger(__name__)

UNKNOWN_ID = rejected("nobody has this id")


class AdminCommands:
    """Carries out the admin commands and shares their effect with the peer process of a hot restart.

    Commands that change servers, the drain or the highest token wait until this process serves: the state
    that it takes over from its predecessor would undo an earlier change.
    """

    def __init__(
        self,
        driver: Driver,
        clients: ClientRegistry,
        registry: EndpointRegistry,
        hot_restart: HotRestart,
    ) -> None:
        self.serving = asyncio.Event()  # set once this process serves
        self.configuration_digest: Callable[[], str] = str  # returns that of the configuration in force
        self._driver = driver
        self._gateway = driver.gateway
        self._clients = clients
        self._registry = registry
        self._hot_restart = hot_restart

    def commands(self) -> dict[str, AdminCommand]:
        """The commands by name."""
        return {
            "HEALTH": AdminCommand(self.health),
            "OFFLINE": AdminCommand(self.offline, ONE_ID),
            "ONLINE": AdminCommand(self.online, ONE_ID),
            "LEAVE": AdminCommand(self.leave),
            "JOIN": AdminCommand(self.join),
            "POOLS": AdminCommand(self.pools),
            "FIGURES": AdminCommand(self.figures),
            "RETIRE": AdminCommand(self.retire),
        }

    # ---- Queries

    async def health(self, _: str) -> AdminReply:
        """HEALTH: whether this process can serve. A drained process can, and is answered YES."""
        if self._hot_restart.handed_over:
            return rejected("the next process has taken over")
        if not self.serving.is_set() or not self._clients.ready:
            return rejected("the list of servers is not known yet")
        state = "drained" if self._gateway.drain.is_draining else "serving"
        return done(f"{state}, {len(self._gateway.endpoints.admin_down)} servers out")

    async def figures(self, _: str) -> AdminReply:
        """FIGURES: the counters of this process since its start, as JSON."""
        return done(
            self._driver.metrics.to_json(
                self._gateway.responses.outcome_counters.totals,
                len(self._driver.requests),
                self._driver.unanswered_count(),
                self.configuration_digest(),
            )
        )

    async def pools(self, _: str) -> AdminReply:
        """POOLS: the connections to servers, and counts since the last call, which are reset."""
        return done(self._driver.servers.describe_and_reset())

    # ---- Servers that are administratively down

    async def offline(self, instance_id: str) -> AdminReply:
        """OFFLINE ID: take a server out of service, whatever discovery says about it."""
        await self.serving.wait()
        server = self._registry.number(instance_id)
        if not server:
            return UNKNOWN_ID
        self._registry.pin(instance_id)
        self._driver.post(api.ServerAdminDown(server, True))
        if server not in self._gateway.endpoints.admin_down:
            self._registry.unpin(instance_id, listed=self._is_listed(server))
            return rejected("too many servers are out")
        await self._hot_restart.share_overrides()
        log.info("server %s is administratively down", instance_id)
        return done("out")

    async def online(self, instance_id: str) -> AdminReply:
        """ONLINE ID: put a server that was taken out back into service."""
        await self.serving.wait()
        server = self._registry.number(instance_id)
        if not server:
            return UNKNOWN_ID
        self._driver.post(api.ServerAdminDown(server, False))
        is_listed = self._is_listed(server)
        self._registry.unpin(instance_id, is_listed)
        await self._hot_restart.share_overrides()
        log.info("server %s is no longer administratively down", instance_id)
        return done("back" if is_listed else "back, once discovery lists it")

    def _is_listed(self, server: int) -> bool:
        return server in self._gateway.endpoints.servers

    # ---- The drain

    async def leave(self, _: str) -> AdminReply:
        """LEAVE: drain the gateway."""
        await self._set_draining(True)
        return done("drained")

    async def join(self, _: str) -> AdminReply:
        """JOIN: end the drain."""
        await self._set_draining(False)
        return done("taking clients")

    async def _set_draining(self, is_draining: bool) -> None:
        await self.serving.wait()
        self._driver.post(api.DrainChanged(is_draining))
        await self._hot_restart.share_overrides()

    # ---- The process and its peer

    async def retire(self, _: str) -> AdminReply:
        """RETIRE: ask the predecessor of a hot restart to end, be it this process or its peer."""
        refusal = self._hot_restart.retire()
        if refusal:
            return rejected(refusal)
        log.info("the predecessor of the hot restart is asked to end")
        return done("the predecessor ends once it has no request in flight")

    async def check_token(self, token: int) -> int:
        """Note a fencing token, share it with the peer; 0 if its holder may act, else the higher token."""
        await self.serving.wait()
        highest = self._hot_restart.highest_token
        if not self._hot_restart.accept_token(token):
            return highest
        if token > highest:
            await self._hot_restart.share_overrides()
        return 0
