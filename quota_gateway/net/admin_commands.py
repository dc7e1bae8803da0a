"""What operators may call: each call is an event, and yes once the decisions have taken it over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from quota_gateway import api
from quota_gateway.net.admin import Answer, Handler
from quota_gateway.net.clients import Clients
from quota_gateway.net.driver import Driver
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.hot_restart import HotRestart

log = logging.getLogger(__name__)

NOBODY = (False, "nobody has this id")


class Operators:
    """The calls. They wait until this process serves: what the one before it knows would undo them."""

    def __init__(
        self, driver: Driver, clients: Clients, registry: EndpointRegistry, hot_restart: HotRestart
    ) -> None:
        self.driver = driver
        self.clients = clients
        self.registry = registry
        self.hot_restart = hot_restart
        self.gateway = driver.gateway
        self.up = asyncio.Event()
        self.revision: Callable[[], str] = str  # of the configuration in force, by digest

    def calls(self) -> dict[str, Handler]:
        """By name."""
        return {
            "HEALTH": self.health,
            "OFFLINE": self.offline,
            "ONLINE": self.online,
            "LEAVE": self.leave,
            "JOIN": self.join,
            "POOLS": self.pools,
            "FIGURES": self.figures,
            "RETIRE": self.retire,
        }

    async def health(self, _: str) -> Answer:
        """Whether this process can serve; it can while the gateway is drained, too."""
        if self.hot_restart.handed_over:
            return False, "the next process has taken over"
        if not self.up.is_set() or not self.clients.ready:
            return False, "the list of servers is not known yet"
        drained = "drained" if self.gateway.graceful_shutdown.is_draining else "serving"
        return True, f"{drained}, {len(self.gateway.endpoints.admin_down)} servers out"

    async def fence(self, token: int) -> int:
        """Take a caller's token: 0 if it may act, else the higher one. Known to the other process, too."""
        await self.up.wait()
        before = self.hot_restart.highest_token
        if not self.hot_restart.fence(token):
            return before
        if token > before:
            await self.hot_restart.share_wishes()
        return 0

    async def figures(self, _: str) -> Answer:
        """What this process has done since its start."""
        reasons = self.gateway.responses.outcome_counters.totals
        return True, self.driver.figures.look(reasons, len(self.driver.calls), self.revision)

    async def retire(self, _: str) -> Answer:
        """End the process that was followed, be it this one or the one beside it."""
        why = self.hot_restart.retire()
        if not why:
            log.info("the process that was followed is told to end")
        return not why, why or "the process that was followed ends once nothing is in hand"

    async def pools(self, _: str) -> Answer:
        """What the connections towards servers are doing."""
        return True, self.driver.servers.look()

    async def offline(self, name: str) -> Answer:
        """Take a server out."""
        await self.up.wait()
        number = self.registry.number(name)
        if not number:
            return NOBODY
        self.registry.pin(name)
        self.driver.post(api.ServerAdminDown(number, True))
        if number not in self.gateway.endpoints.admin_down:
            self.registry.unpin(name, number in self.gateway.endpoints.servers)
            return False, "too many servers are out"
        await self.hot_restart.share_wishes()
        log.info("server %s is taken out by hand", name)
        return True, "out"

    async def online(self, name: str) -> Answer:
        """Put a server back."""
        await self.up.wait()
        number = self.registry.number(name)
        if not number:
            return NOBODY
        self.driver.post(api.ServerAdminDown(number, False))
        listed = number in self.gateway.endpoints.servers
        self.registry.unpin(name, listed)
        await self.hot_restart.share_wishes()
        log.info("server %s is put back by hand", name)
        return True, "back" if listed else "back, once discovery lists it"

    async def leave(self, _: str) -> Answer:
        """Drain the gateway."""
        await self._drain(True)
        return True, "drained"

    async def join(self, _: str) -> Answer:
        """Take clients again."""
        await self._drain(False)
        return True, "taking clients"

    async def _drain(self, active: bool) -> None:
        await self.up.wait()
        self.driver.post(api.DrainChanged(active))
        await self.hot_restart.share_wishes()
