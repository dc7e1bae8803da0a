"""Life of the process from its configuration to its end: build, take over, serve, shut down, close."""

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
from quota_gateway.process.signals import HangUpSignal

log = logging.getLogger("quota_gateway")

FIRST_LIST_WAIT_S = 1.0  # for discovery's list, before the configuration's, which may be old, must do


async def serve(config: Config, hang_up: HangUpSignal) -> None:
    """Run one gateway until SIGTERM or SIGINT; returns when all that it accepted is answered."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    parts = build(config)
    hang_up.connect(lambda: loop.call_soon_threadsafe(parts.reload.signal))
    process = GatewayProcess(config, parts, stop)
    try:
        await process.run()
    finally:
        process.close()
        hang_up.disconnect()


class GatewayProcess:
    """The phases of a process; owns its tasks and closes its parts."""

    def __init__(self, config: Config, parts: GatewayParts, stop: asyncio.Event) -> None:
        self._config = config
        self._parts = parts
        self._stop = stop
        self._discovery_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Go through the phases until the end; a standby that is stopped before its turn serves nothing."""
        if not await self._wait_for_turn():
            return
        passed = await self._take_over()
        await self._begin_serving(passed)
        await self._stop.wait()
        await self._shut_down()

    async def _wait_for_turn(self) -> bool:
        """Stand by while another process serves under the same supervisor; false to end before that."""
        standby = self._parts.standby
        if standby is None:
            return True
        self._use_configured_list()
        self._watch_discovery()  # the list is known as the turn comes
        return await standby.wait_for_turn(self._stop)

    async def _take_over(self) -> socket.socket | None:
        """Take over from the process before, where there is one; the listener that was passed on, if any."""
        parts = self._parts
        if self._config.admin:
            await parts.admin_endpoint.listen(*self._config.admin)
        passed = parts.standby.listener() if parts.standby else None
        passed = passed or passed_listener(os.environ, self._config.listen)
        if await parts.hot_restart.take_over():
            parts.clients.ready = True
        elif parts.standby is None:
            self._use_configured_list()
        return passed or parts.hot_restart.take_listener()

    async def _begin_serving(self, passed: socket.socket | None) -> None:
        """Listen for clients, then for the next process, then for operators' commands that change things."""
        parts = self._parts
        if self._discovery_task is None:
            self._watch_discovery()
        await parts.clients.listen(*self._config.listen, passed)
        if parts.standby:
            await parts.standby.serve()
        parts.hot_restart.offer()
        parts.admin_commands.serving.set()
        parts.reload.serving.set()
        log.info("listening")

    async def _shut_down(self) -> None:
        parts = self._parts
        parts.reload.close()
        settings = parts.driver.gateway.context.settings
        await GracefulShutdown(settings, parts.driver, parts.clients, parts.hot_restart).run()

    def close(self) -> None:
        """Release what the process holds; client connections are closed by the shutdown."""
        parts = self._parts
        parts.hot_restart.close()
        if parts.standby:
            parts.standby.close()
        parts.admin_endpoint.close()
        if self._discovery_task:
            self._discovery_task.cancel()
        parts.servers.close()

    def _watch_discovery(self) -> None:
        loop = asyncio.get_running_loop()
        self._discovery_task = loop.create_task(self._parts.discovery.run(), name="watch on discovery")

    def _use_configured_list(self) -> None:
        """Begin with the configuration's list of servers, and be ready after a while even with no other."""
        self._parts.discovery.use_cached_list(json.loads(self._config.endpoint_list))
        asyncio.get_running_loop().call_later(FIRST_LIST_WAIT_S, self._become_ready)

    def _become_ready(self) -> None:
        self._parts.clients.ready = True
