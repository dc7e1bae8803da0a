"""Servers that read a large request slowly: its client still gets its final answer in time."""

import asyncio
import socket
from dataclasses import replace

import pytest
from fakes import SETTINGS, call, local_gateway, run

from quota_gateway import ServerEntry

TIMEOUT_MS = 600
BODY_BYTES = 65536  # at 512 bytes in 0.05 s: read within 6.4 s


class SlowServer:
    """Takes connections, and reads a little of what comes at each interval; answers nothing."""

    def __init__(self, read_bytes: int, interval_s: float) -> None:
        self.read_bytes = read_bytes
        self.interval_s = interval_s
        self.received_bytes = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.tasks: list[asyncio.Task[None]] = []

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            self.tasks.append(asyncio.create_task(self._read(sock)))

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while self.read_bytes:
            data = await loop.sock_recv(sock, self.read_bytes)
            if not data:
                return
            self.received_bytes += len(data)
            await asyncio.sleep(self.interval_s)
        await asyncio.sleep(3600.0)


@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("kind", ["post", "buy"])
@pytest.mark.parametrize(("read_bytes", "interval_s"), [(0, 0.0), (512, 0.05)], ids=["never", "slowly"])
def test_final_answer_comes_in_time_although_a_server_reads_its_request_slowly(
    can_cancel, kind, read_bytes, interval_s
):
    """Guards against a client that waits for seconds while the rest of its request is still to be written."""

    async def test():
        limits = replace(SETTINGS.limits, can_cancel=can_cancel)
        servers = [SlowServer(read_bytes, interval_s) for _ in range(3)]
        async with local_gateway(limits=limits) as gateway:
            serving = [asyncio.create_task(server.serve()) for server in servers]
            gateway.update_servers(
                *((ServerEntry(n, "a"), ("127.0.0.1", s.port)) for n, s in enumerate(servers, 1))
            )
            peer = await gateway.connect_client()
            answer = await peer.ask(call(1, kind, body=bytes(BODY_BYTES), timeout_ms=TIMEOUT_MS))
            assert answer == "-ERR failed"
            assert sum(server.received_bytes for server in servers) < BODY_BYTES  # still being read
            for task in [*serving, *(t for s in servers for t in s.tasks)]:
                task.cancel()

    run(test())
