"""The load balancer in front of the gateways: it finds out by PING which of them accept requests."""

from __future__ import annotations

import asyncio
from math import inf

from quota_gateway.fault_bench.client_connection import (
    ClientConnection,
    ConnectionEndedError,
    ErrorReply,
    encode_command,
)
from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.stand_ins import Clock

PING_INTERVAL_S = 0.1
PING_TIMEOUT_S = 0.5
MAX_PONG_AGE_MS = 1000.0  # a gateway whose last PONG is older gets no requests


class LoadBalancer:
    """Pings every gateway ten times a second."""

    def __init__(self, links: dict[str, Link], clock: Clock) -> None:
        self.links = links
        self.clock = clock
        self.last_pong_ms = dict.fromkeys(links, -inf)
        self.tasks = [asyncio.get_running_loop().create_task(self._ping_forever(name)) for name in links]

    def is_up(self, gateway: str) -> bool:
        """Whether the gateway has answered PONG recently and not reported since that it drains."""
        return self.clock.now - self.last_pong_ms[gateway] < MAX_PONG_AGE_MS

    async def _ping_forever(self, gateway: str) -> None:
        while True:
            connection = ClientConnection(lambda: None)
            try:
                await self._ping(gateway, connection)
            except (OSError, TimeoutError, ConnectionEndedError):
                await asyncio.sleep(PING_INTERVAL_S)
            finally:
                connection.close()

    async def _ping(self, gateway: str, connection: ClientConnection) -> None:
        """Ping a gateway on one connection until that fails."""
        async with asyncio.timeout(PING_TIMEOUT_S):
            await self.clock.loop.create_connection(lambda: connection, *self.links[gateway].listen_address)
        while True:
            async with asyncio.timeout(PING_TIMEOUT_S):
                reply = await connection.request(encode_command("PING"))
            if reply == b"PONG":
                self.last_pong_ms[gateway] = self.clock.now
            elif isinstance(reply, ErrorReply) and "DRAINING" in str(reply):
                self.last_pong_ms[gateway] = -inf
            await asyncio.sleep(PING_INTERVAL_S)

    async def close(self) -> None:
        """Stop pinging."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
