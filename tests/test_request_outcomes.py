"""What became of each request that was read: one end for each, and a reason where the gateway ended it."""

import asyncio
import random
import socket
from contextlib import asynccontextmanager

import pytest
from fakes import FakeServer, Raw, array, call, node, resp, run, until

from quota_gateway.net.clients import command_timer as command_timer_module
from quota_gateway.net.clients import stall_timer as stall_timer_module
from quota_gateway.net.close_reason import CloseReason

ROOM = 4096  # of a client's socket, and of the gateway's towards it
PONG = b"+PONG\r\n"
LONG = 200_000  # more than the sockets of both ends hold
LONG_VALUE = b"$%d\r\n" % LONG + bytes(LONG) + b"\r\n"
ANSWERS = {
    "value": array(b"v"),
    "long value": b"*3\r\n" + LONG_VALUE + b"$-1\r\n$-1\r\n",
    "error": b"-ERR failed\r\n",
    "overloaded": b"-BUSY\r\n",
    "hang up": b"",
    "silence": None,
}


def port(gateway) -> int:
    return gateway.clients.listener.getsockname()[1]


def silent() -> FakeServer:
    return FakeServer(lambda _words: None)


@asynccontextmanager
async def narrow_node(server: FakeServer):
    """A gateway whose sockets hold little of what a client does not read."""
    async with node(server) as gateway:
        gateway.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, ROOM)
        yield gateway


class RandomClients:
    """Clients that send, read, rest and leave in a random order."""

    def __init__(self, gateway, draw: random.Random) -> None:
        self.gateway = gateway
        self.draw = draw
        self.clients: list[Raw] = []
        self.requests = 0

    def act(self) -> None:
        """One step of one client."""
        choice = self.draw.random()
        if choice < 0.2 or not self.clients:
            self.clients.append(Raw(port(self.gateway), ROOM))
            return
        client = self.draw.choice(self.clients)
        if choice < 0.6:
            for _ in range(self.draw.randint(1, 4)):
                self.requests += 1
                client.send(call(self.requests, self.draw.choice(["read", "post", "buy"]), wait=300))
        elif choice < 0.9:
            self.read_some(client)
        else:
            self.clients.remove(client)
            client.sock.close()

    def read_some(self, client: Raw) -> None:
        """Take what is there, once."""
        client.sock.setblocking(False)
        try:
            client.sock.recv(1 << 20)
        except (BlockingIOError, ConnectionResetError):
            return


def is_accounted_for(gateway) -> bool:
    """Whether each request that was read has one end, or is unanswered."""
    metrics = gateway.driver.metrics
    return metrics.requests_total == metrics.ended_total() + gateway.driver.unanswered_count()


async def last_bytes(client: Raw) -> bytes:
    """The last bytes that a client gets, up to a reply to PING or to the connection's end."""
    tail = b""
    while not tail.endswith(PONG):
        more = await asyncio.get_running_loop().sock_recv(client.sock, 65536)
        if not more:
            break
        tail = (tail + more)[-len(PONG) :]
    return tail


@pytest.mark.parametrize("seed", range(12))
def test_each_request_has_one_end_and_each_client_is_read_to_the_last(seed, monkeypatch):
    """Clients send, read slowly, rest and leave while servers answer, break off, hang up or keep silent.

    A request that ends in no way, or in two, is one that a client waits for in vain or that is counted as
    something it was not. A client that caught up and is not read any more loses its next request unseen.
    """
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 60.0)  # a client may rest from its start
    draw = random.Random(seed)

    async def test():
        server = FakeServer(lambda _words: ANSWERS[draw.choice(list(ANSWERS))])
        async with narrow_node(server) as gateway:
            clients = RandomClients(gateway, draw)
            for _ in range(80):
                clients.act()
                for _ in range(draw.randint(0, 30)):
                    await until(lambda: True)
                    assert is_accounted_for(gateway)
            clock = gateway.driver.clock
            gateway.driver.clock = lambda: clock() + 60_000.0  # past all deadlines
            gateway.driver.timers.fire()
            for _ in range(2):  # the second time each has caught up with all that it was owed
                for client in clients.clients:
                    client.send(resp("PING"))
                for client in clients.clients:
                    assert await last_bytes(client) == PONG
            await until(lambda: not gateway.driver.unanswered_count())
            assert is_accounted_for(gateway)
        assert gateway.driver.metrics.requests_total == gateway.driver.metrics.ended_total()

    run(test())


# ---- Connections that this gateway ends with answers owed


async def begin_value(gateway, server: FakeServer, answer: bytes) -> tuple[Raw, asyncio.StreamWriter]:
    """A client with two requests at the server, which has sent this much for the first one."""
    raw = Raw(port(gateway), ROOM)
    raw.send(call(1), call(2))
    await server.until(lambda: len(server.commands) == 2)
    first = next(n for n, words in enumerate(server.commands) if words[2] == b"%016x" % 1)
    writer = server.writers[server.by[first]]
    writer.write(answer)
    return raw, writer


async def break_off(gateway, server: FakeServer) -> Raw:
    raw, writer = await begin_value(gateway, server, b"*3\r\n" + LONG_VALUE[:100_000])
    await raw.read(100_000)
    writer.close()
    return raw


async def stall(gateway, server: FakeServer) -> Raw:
    raw, _ = await begin_value(gateway, server, ANSWERS["long value"])
    (client,) = gateway.clients.connections
    await until(lambda: client.replies.is_stuck)
    return raw


async def fill_budget(gateway, server: FakeServer) -> Raw:
    raw = await stall(gateway, server)
    gateway.clients.unsent.limit_bytes = 0
    gateway.clients.unsent.add(1)
    gateway.clients.enforce_unsent_budget()
    return raw


async def end_process(gateway, server: FakeServer) -> Raw:
    raw = await stall(gateway, server)
    gateway.clients.abort()
    return raw


@pytest.mark.parametrize(
    ("reason", "end"),
    [
        (CloseReason.VALUE_BROKE_OFF, break_off),
        (CloseReason.STALLED, stall),
        (CloseReason.UNSENT_BUDGET, fill_budget),
        (CloseReason.PROCESS_END, end_process),
    ],
)
def test_request_whose_connection_the_gateway_ends_is_counted_and_logged(reason, end, monkeypatch, caplog):
    """The gateway ends a connection while a request on it waits for its answer.

    Counted as a client that left, and with no line in the log, nobody on call would find that it was us.
    """
    monkeypatch.setattr(stall_timer_module, "STALL_TIMEOUT_S", 0.05 if end is stall else 15.0)

    async def test():
        server = silent()
        async with narrow_node(server) as gateway:
            raw = await end(gateway, server)
            await until(lambda: not gateway.clients.connections)
            raw.sock.close()
            metrics = gateway.driver.metrics
            assert metrics.dropped == {reason: 1}
            assert metrics.disconnected_total == 0
            assert is_accounted_for(gateway)
            assert f"with 2 replies owed: {reason.value}" in caplog.text

    run(test())


def test_request_whose_client_left_is_not_counted_as_ours(caplog):
    async def test():
        server = silent()
        async with node(server) as gateway:
            raw = Raw(port(gateway))
            raw.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)
            assert gateway.driver.metrics.disconnected_total == 1
            assert not gateway.driver.metrics.dropped
            assert not caplog.records

    run(test())
