"""Keeps a watch on discovery open while the gateway runs, and passes on the endpoint lists.

Discovery is the service that lists the servers. A watch is an HTTP request whose response streams the lists
for as long as it is open.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from quota_gateway import api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.discovery_backoff import WatchBackoff
from quota_gateway.net.discovery_watch import DiscoveryWatch, WatchEnd
from quota_gateway.net.endpoint_registry import EndpointRegistry
from quota_gateway.net.servers import Address

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
TARGET = "/discovery/hosts?watch=1"
ListCallback = Callable[[api.ServerList, dict[int, Address]], None]


class Discovery:
    """Opens a watch, passes on each list, and reopens the watch after its end, from the last list on."""

    def __init__(
        self,
        address: Address,
        on_list: ListCallback,
        seed: int = 0,
        gateways: int = 1,
        mode: api.DiscoveryMode = api.DiscoveryMode.POLL,
    ) -> None:
        self.address = address
        self.registry = EndpointRegistry()
        self.backoff = WatchBackoff(seed, gateways, mode)
        self.watch: DiscoveryWatch | None = None
        self._on_list = on_list
        self._moved = asyncio.Event()

    def reconfigure(self, gateways: int, mode: api.DiscoveryMode) -> None:
        """Use another number of gateways or another discovery mode from now on."""
        self.backoff.configure(gateways, mode)

    def move(self, address: Address) -> None:
        """Watch discovery at another address, starting after the last list from the old one."""
        if address == self.address:
            return
        log.info("discovery address changed to %s:%d; reopening the watch there", *address)
        self.address = address
        self.backoff.failures = 0
        self._moved.set()
        if self.watch:
            self.watch.end(WatchEnd.MOVED)

    def use_cached_list(self, document: Any) -> None:
        """Apply a list that may be outdated: from the configuration, or from the previous process."""
        try:
            update = self.registry.apply(document, cached=True)
        except DiscoveryError as error:
            log.error("malformed cached endpoint list, ignored: %s", error)
            return
        self._on_list(update.listing, update.addresses)

    async def run(self) -> None:
        """Keep a watch open until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._moved.clear()
            began_s = loop.time()
            await self._watch_once()
            watch = self.watch
            self.watch = None
            fell_silent = watch is not None and watch.end_reason is WatchEnd.SILENT
            was_live = watch is not None and watch.was_live
            unanswered_s = 0.0 if was_live else loop.time() - began_s
            with suppress(TimeoutError):
                await asyncio.wait_for(self._moved.wait(), self.backoff.pause_s(fell_silent, unanswered_s))
                continue  # reconnect to the new address immediately
            self.backoff.failures += 1

    async def _watch_once(self) -> None:
        """Open a watch and wait for its end; ``watch`` stays None if it could not be opened."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.watch = await loop.create_connection(self._new_watch, *self.address)
            if not self._moved.is_set():
                await self.watch.done
            self.watch.end(WatchEnd.REPLACED)
        except (OSError, TimeoutError) as error:  # refused, unreachable, or not in time
            log.warning("can't connect to discovery, retrying after a delay: %r", error)

    def _new_watch(self) -> DiscoveryWatch:
        generation = self.registry.generation
        target = TARGET if generation is None else f"{TARGET}&from={generation}"
        return DiscoveryWatch(self, self.address, target)

    # ---- Callbacks of the watch (WatchOwner)

    def silence_limit_s(self) -> float:
        """How long the watch may be silent before it counts as dead."""
        return self.backoff.silence_limit_s()

    def on_watch_live(self) -> None:
        """Reset the failure count: the watch has received a heartbeat or an object."""
        self.backoff.failures = 0

    def on_object(self, document: Any, watch: DiscoveryWatch) -> None:
        """Apply a list; a malformed one ends the watch, and the next watch requests the complete list."""
        try:
            update = self.registry.apply(document)
        except DiscoveryError as error:
            watch.end_malformed(str(error))
            return
        self._on_list(update.listing, update.addresses)

    def on_list_lost(self) -> None:
        """Request the complete list with the next watch, as a list could not be read."""
        self.registry.request_complete_list()
