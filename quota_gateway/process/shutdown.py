"""Graceful shutdown after SIGTERM: serve on, give the last answers, close, all before SIGKILL."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from quota_gateway import api
from quota_gateway.net.clients import ClientRegistry
from quota_gateway.net.driver import Driver

log = logging.getLogger("quota_gateway")

# The platform sends SIGKILL when the longest deadline, up to a bound, and a fixed delay have passed.
MAX_DEADLINE_WAIT_S = 3.0
SIGKILL_DELAY_S = 0.7
SIGKILL_MARGIN_S = 0.3  # all requests are answered this long before SIGKILL
ACCEPT_STOP_S = 0.5  # no more is accepted this long before all requests are answered
FLUSH_S = 0.15  # for the last answers to be written and the connections to be closed behind them
CHECK_INTERVAL_S = 0.01


class HandoverStatus(Protocol):
    """What the shutdown asks of the hot restart."""

    def is_handover_complete(self) -> bool:
        """Whether this process has handed over, and all messages have gone out."""


class GracefulShutdown:
    """The phases between SIGTERM and the end of the process.

    Guards against requests that find no gateway: clients use their connections for as long as these stay
    open, and learn late that the gateway goes away. So it serves on for as long as the platform's SIGKILL
    allows. Where the next process has taken over, it ends as soon as nothing is in flight.
    """

    def __init__(
        self,
        settings: api.Settings,
        driver: Driver,
        clients: ClientRegistry,
        handover: HandoverStatus | None = None,
    ) -> None:
        self._driver = driver
        self._clients = clients
        self._handover = handover
        self._loop = asyncio.get_running_loop()
        self._duration_s = answering_s(settings)
        self._answered_by_s = self._loop.time() + self._duration_s

    async def run(self) -> None:
        """Go through all phases; returns when no client connection is left."""
        log.info("stopping")
        self._driver.post(api.ShutdownBegun(self._duration_s * 1000.0))
        await self._serve_on()
        self._clients.stop_listening()
        await self._flush_answers()
        self._clients.abort()

    async def _serve_on(self) -> None:
        """Accept and answer until shortly before the end, or until the next process has all."""
        while self._loop.time() < self._answered_by_s - ACCEPT_STOP_S:
            if self._is_replaced():
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_replaced(self) -> bool:
        if self._handover is None or not self._handover.is_handover_complete():
            return False
        return not self._clients.connections and not self._driver.requests

    async def _flush_answers(self) -> None:
        """Wait until each connection has closed behind its last answer.

        The decisions give their last answers just before the end. The wait begins with a turn of the loop, as
        a connection that the loop has just accepted is known one turn later.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._clients.has_ended() or self._loop.time() >= self._answered_by_s + FLUSH_S:
                return


def answering_s(settings: api.Settings) -> float:
    """Seconds from SIGTERM to the last answer."""
    longest_deadline_s = max(item.deadline_ms for item in settings.classes) / 1000.0
    return min(MAX_DEADLINE_WAIT_S, longest_deadline_s) + SIGKILL_DELAY_S - SIGKILL_MARGIN_S
