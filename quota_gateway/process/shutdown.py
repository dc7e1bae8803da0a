"""Graceful shutdown after SIGTERM: keep serving, send the last answers and close.

All answers are decided before SIGKILL may come. An answer that is still on its way then, such as a long value
that its server writes slowly, is sent to its end unless SIGKILL does come.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from quota_gateway import api
from quota_gateway.net.clients import ClientRegistry
from quota_gateway.net.clients.connection import LINGER_S
from quota_gateway.net.driver import Driver

log = logging.getLogger("quota_gateway")

# The platform sends SIGKILL no sooner than this after SIGTERM: SIGKILL_DELAY_S plus the longest deadline of
# any request class, of which at most MAX_DEADLINE_WAIT_S count.
MAX_DEADLINE_WAIT_S = 3.0
SIGKILL_DELAY_S = 0.7
SIGKILL_MARGIN_S = 0.3  # all requests are answered this long before SIGKILL
ACCEPT_STOP_S = 0.5  # connections are no longer accepted this long before all requests are answered
FLUSH_S = 0.15  # time to write the last answers and then close their connections
# Longest time after that for answers that are still owed, where no SIGKILL comes: 4 MiB at 32 KiB/s take as
# long. Servers and clients that make no progress at all are given up sooner.
MAX_OWED_ANSWERS_S = 128.0
CHECK_INTERVAL_S = 0.01


class HandoverStatus(Protocol):
    """What the shutdown needs to know of a hot restart."""

    def is_handover_complete(self) -> bool:
        """Whether this process has handed over to its successor and has sent all messages to it."""


class GracefulShutdown:
    """Runs the phases between SIGTERM and the end of the process.

    Guards against requests that reach no gateway: clients use their connections for as long as these stay
    open, and learn late that the gateway is stopping. So the process keeps serving until shortly before the
    platform's SIGKILL. If a successor has taken over, it ends as soon as nothing is in flight.
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
        self._duration_s = answering_duration_s(settings)
        self.answered_by_s = self._loop.time() + self._duration_s

    async def run(self) -> None:
        """Run all phases; returns when no answer is owed any more, or the longest time for that is over."""
        log.info("stopping: still accepting and answering requests")
        self._driver.post(api.ShutdownBegun(self._duration_s * 1000.0))
        await self._keep_serving()
        self._clients.stop_listening()
        await self._wait_for_ends(self.answered_by_s + FLUSH_S)
        await self._finish_owed_answers()
        self._abort_remaining()

    async def _keep_serving(self) -> None:
        """Accept and answer until shortly before the end, or until a successor has taken over everything."""
        while self._loop.time() < self.answered_by_s - ACCEPT_STOP_S:
            if self._is_replaced():
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_replaced(self) -> bool:
        if self._handover is None or not self._handover.is_handover_complete():
            return False
        return not self._clients.connections and not self._driver.requests

    async def _wait_for_ends(self, latest_s: float) -> None:
        """Wait until each connection has closed after its last answer, at most to this time of the loop.

        The decisions produce their last answers just before the end. Each check, the first one too, follows
        a sleep: a connection that the event loop has just accepted is known only in its next iteration.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._clients.has_ended() or self._loop.time() >= latest_s:
                return

    async def _finish_owed_answers(self) -> None:
        """Go on while an answer is owed: SIGKILL need not come, and what this process cuts off is lost.

        New commands are not owed an answer any more: their connections close once nothing older is.
        """
        self._clients.stop_waiting_for_commands()
        owed = self._clients.count_owed()
        if not owed:
            return
        log.info("stopping: %d connections are still owed an answer, which they get first", owed)
        latest_s = self._loop.time() + MAX_OWED_ANSWERS_S
        while self._clients.count_owed() and self._loop.time() < latest_s:
            await asyncio.sleep(CHECK_INTERVAL_S)
        await self._wait_for_ends(self._loop.time() + LINGER_S)

    def _abort_remaining(self) -> None:
        owed = self._clients.count_owed()
        if owed:
            log.warning("stopping: %d connections are aborted on which an answer is still owed", owed)
        self._clients.abort()


def answering_duration_s(settings: api.Settings) -> float:
    """Time from SIGTERM to the last answer."""
    longest_deadline_s = max(item.deadline_ms for item in settings.classes) / 1000.0
    return min(MAX_DEADLINE_WAIT_S, longest_deadline_s) + SIGKILL_DELAY_S - SIGKILL_MARGIN_S
