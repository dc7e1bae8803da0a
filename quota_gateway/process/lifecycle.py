"""Runs a gateway process from its configuration to its end: build, take over, serve, shut down, close."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket

from quota_gateway.config import Config
from quota_gateway.process.builder import GatewayParts, build
from quota_gateway.process.passed_socket import passed_listener
from quota_gateway.process.shutdown import GracefulShutdown
from quota_gateway.process.signals import SighupHandler

log = logging.getLogger("quota_gateway")

# Wait for discovery's endpoint list before the process is ready with the configuration's, which may be old.
FIRST_LIST_WAIT_S = 1.0


async def serve(config: Config, sighup_handler: SighupHandler) -> None:
    """Run one gateway until SIGTERM or SIGINT; returns once every accepted request is answered."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    parts = build(config)
    sighup_handler.connect(lambda: loop.call_soon_threadsafe(parts.reload.signal))
    process = GatewayProcess(config, parts, stop)
    try:
        await process.run()
    finally:
        process.close()
        sighup_handler.disconnect()


class GatewayProcess:
    """Runs the phases of a gateway process; owns its tasks and closes its parts."""

    def __init__(self, config: Config, parts: GatewayParts, stop: asyncio.Event) -> None:
        self._config = config
        self._parts = parts
        self._stop = stop
        self._discovery_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run all phases; a standby that is stopped before its turn to serve returns without serving."""
        if not await self._wait_for_turn():
            return
        listener = await self._take_over()
        await self._begin_serving(listener)
        await self._stop.wait()
        await self._shut_down()

    async def _wait_for_turn(self) -> bool:
        """Stand by while another process of the supervisor serves; false if stopped before its turn came."""
        supervised_gateway = self._parts.supervised_gateway
        if supervised_gateway is None:
            return True
        self._use_configured_list()
        self._watch_discovery()  # so that the endpoint list is known when this process begins to serve
        return await supervised_gateway.wait_for_turn(self._stop)

    async def _take_over(self) -> socket.socket | None:
        """Take over from the predecessor, if any; returns the clients' listener if one was passed on."""
        parts = self._parts
        if self._config.admin:
            await parts.admin_endpoint.listen(*self._config.admin)
        listener = parts.supervised_gateway.listener() if parts.supervised_gateway else None
        listener = listener or passed_listener(os.environ, self._config.listen)
        if await parts.hot_restart.take_over():
            parts.clients.ready = True
        elif parts.supervised_gateway is None:
            self._use_configured_list()
        return listener or parts.hot_restart.take_listener()

    async def _begin_serving(self, listener: socket.socket | None) -> None:
        """Accept clients, then a successor process, then the admin commands that change this process."""
        parts = self._parts
        if self._discovery_task is None:
            self._watch_discovery()
        await parts.clients.listen(*self._config.listen, listener)
        if parts.supervised_gateway:
            await parts.supervised_gateway.serve()
        parts.hot_restart.offer()
        parts.admin_commands.serving.set()
        parts.reload.serving.set()
        log.info("listening for clients")

    async def _shut_down(self) -> None:
        parts = self._parts
        parts.reload.close()
        settings = parts.driver.gateway.context.settings
        await GracefulShutdown(settings, parts.driver, parts.clients, parts.hot_restart).run()

    def close(self) -> None:
        """Release the process's resources, except client connections, which the graceful shutdown closes."""
        parts = self._parts
        parts.hot_restart.close()
        if parts.supervised_gateway:
            parts.supervised_gateway.close()
        parts.admin_endpoint.close()
        if self._discovery_task:
            self._discovery_task.cancel()
        parts.servers.close()

    def _watch_discovery(self) -> None:
        loop = asyncio.get_running_loop()
        self._discovery_task = loop.create_task(self._parts.discovery.run(), name="watch on discovery")

    def _use_configured_list(self) -> None:
        """Use the configuration's endpoint list, and be ready after a delay even if discovery sends none."""
        self._parts.discovery.use_cached_list(json.loads(self._config.endpoint_list))
        asyncio.get_running_loop().call_later(FIRST_LIST_WAIT_S, self._become_ready)

    def _become_ready(self) -> None:
        self._parts.clients.ready = True
