"""Each request that was read has exactly one outcome, with a reason if the gateway closed its connection."""

import asyncio
import random
import socket
from contextlib import asynccontextmanager

import pytest
from fakes import FakeServer, RawClient, call, local_gateway, port, resp, run, server_reply, until

from quota_gateway.net.clients import command_timer as command_timer_module
from quota_gateway.net.clients import reply_budget as reply_budget_module
from quota_gateway.net.clients import stall_timer as stall_timer_module
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.metrics import AwaitedCommand

SOCKET_BUFFER_BYTES = 4096  # of a client's receive buffer and the gateway's send buffer
PONG = b"+PONG\r\n"
LONG_VALUE_BYTES = 200_000  # more than the socket buffers of both ends hold
LONG_VALUE = b"$%d\r\n" % LONG_VALUE_BYTES + bytes(LONG_VALUE_BYTES) + b"\r\n"
ANSWERS = {
    "value": server_reply(b"v"),
    "value that may have to wait": server_reply(bytes(20_000)),
    "long value": b"*3\r\n" + LONG_VALUE + b"$-1\r\n$-1\r\n",
    "error": b"-ERR failed\r\n",
    "overloaded": b"-BUSY\r\n",
    "hang up": b"",
    "silence": None,
}


def silent_server() -> FakeServer:
    return FakeServer(lambda _words: None)


@asynccontextmanager
async def gateway_with_small_buffers(server: FakeServer):
    """A gateway with small send buffers, so that it notices early when a client does not read."""
    async with local_gateway(server) as gateway:
        gateway.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        yield gateway


class RandomClients:
    """Clients that connect, send, read and disconnect in a random order."""

    def __init__(self, gateway, rng: random.Random) -> None:
        self.gateway = gateway
        self.rng = rng
        self.clients: list[RawClient] = []
        self.requests = 0

    def step(self) -> None:
        """Perform one random action of one client."""
        choice = self.rng.random()
        if choice < 0.2 or not self.clients:
            self.clients.append(RawClient(port(self.gateway), SOCKET_BUFFER_BYTES))
            return
        client = self.rng.choice(self.clients)
        if choice < 0.6:
            for _ in range(self.rng.randint(1, 4)):
                self.requests += 1
                client.send(call(self.requests, self.rng.choice(["read", "post", "buy"]), timeout_ms=300))
        elif choice < 0.9:
            self.read_some(client)
        else:
            self.clients.remove(client)
            client.sock.close()

    def read_some(self, client: RawClient) -> None:
        """Read once, without waiting."""
        client.sock.setblocking(False)
        try:
            client.sock.recv(1 << 20)
        except (BlockingIOError, ConnectionResetError):
            return


def is_accounted_for(gateway) -> bool:
    """Whether each request that was read has exactly one outcome or is still unanswered."""
    metrics = gateway.driver.metrics
    return metrics.requests_total == metrics.ended_total() + gateway.driver.unanswered_count()


async def last_bytes(client: RawClient) -> bytes:
    """The last bytes that a client gets, up to a reply to PING or to the connection's end."""
    tail = b""
    while not tail.endswith(PONG):
        more = await asyncio.get_running_loop().sock_recv(client.sock, 65536)
        if not more:
            break
        tail = (tail + more)[-len(PONG) :]
    return tail


@pytest.mark.parametrize("seed", range(12))
def test_each_request_has_exactly_one_outcome_and_reading_from_each_client_goes_on(seed, monkeypatch):
    """Clients send, read slowly, pause and disconnect while servers reply, fail, disconnect or stay silent.

    A request without an outcome leaves its client waiting; one with two is counted wrongly. If reading does
    not resume for a client that has caught up with its replies, its next request is never seen. In half of
    the plays there is little room for replies that wait, so that commands wait for room and replies are shed.
    """
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 60.0)  # a client may start idle
    if seed % 2:
        monkeypatch.setattr(reply_budget_module, "MAX_UNSENT_BYTES", 60_000)
    rng = random.Random(seed)

    async def test():
        server = FakeServer(lambda _words: ANSWERS[rng.choice(list(ANSWERS))])
        async with gateway_with_small_buffers(server) as gateway:
            clients = RandomClients(gateway, rng)
            for _ in range(80):
                clients.step()
                for _ in range(rng.randint(0, 30)):
                    await until(lambda: True)
                    assert is_accounted_for(gateway)
                    assert not gateway.clients.reply_budget.is_exceeded()
            clock = gateway.driver.clock
            gateway.driver.clock = lambda: clock() + 60_000.0  # after all deadlines
            gateway.driver.timers.fire()
            for _ in range(2):  # the second time, each has read all pending replies
                for client in clients.clients:
                    client.send(resp("PING"))
                for client in clients.clients:
                    assert await last_bytes(client) == PONG
            await until(lambda: not gateway.driver.unanswered_count())
            assert is_accounted_for(gateway)
        await until(lambda: not gateway.clients.connections)
        assert gateway.driver.metrics.requests_total == gateway.driver.metrics.ended_total()
        assert (gateway.clients.reply_budget.used_bytes, gateway.clients.reply_budget.awaited_replies) == (
            0,
            0,
        )
        assert not gateway.clients.awaiting_room

    run(test())


# ---- Connections that this gateway closes with replies pending


async def begin_reply(gateway, server: FakeServer, answer: bytes) -> tuple[RawClient, asyncio.StreamWriter]:
    """A client with two requests at the server, which has sent ``answer`` in reply to the first one."""
    raw = RawClient(port(gateway), SOCKET_BUFFER_BYTES)
    raw.send(call(1), call(2))
    await server.until(lambda: len(server.commands) == 2)
    first = next(n for n, words in enumerate(server.commands) if words[2] == b"%016x" % 1)
    writer = server.writers[server.connection_numbers[first]]
    writer.write(answer)
    return raw, writer


async def break_off_value(gateway, server: FakeServer) -> RawClient:
    raw, writer = await begin_reply(gateway, server, b"*3\r\n" + LONG_VALUE[:100_000])
    await raw.read(100_000)
    writer.close()
    return raw


async def stall_client(gateway, server: FakeServer) -> RawClient:
    raw, _ = await begin_reply(gateway, server, ANSWERS["long value"])
    (client,) = gateway.clients.connections
    await until(lambda: client.replies.is_stuck)
    return raw


async def abort_clients(gateway, server: FakeServer) -> RawClient:
    raw = await stall_client(gateway, server)
    gateway.clients.abort()
    return raw


@pytest.mark.parametrize(
    ("reason", "trigger"),
    [
        (CloseReason.VALUE_BROKE_OFF, break_off_value),
        (CloseReason.STALLED, stall_client),
        (CloseReason.PROCESS_END, abort_clients),
    ],
)
def test_request_on_connection_closed_by_gateway_is_counted_and_logged(reason, trigger, monkeypatch, caplog):
    """The gateway closes a connection while a request on it waits for its reply.

    If it were counted as a disconnect by the client and not logged, operators could not see that the gateway
    caused it.
    """
    monkeypatch.setattr(stall_timer_module, "STALL_TIMEOUT_S", 0.05 if trigger is stall_client else 15.0)

    async def test():
        server = silent_server()
        async with gateway_with_small_buffers(server) as gateway:
            raw = await trigger(gateway, server)
            await until(lambda: not gateway.clients.connections)
            raw.sock.close()
            metrics = gateway.driver.metrics
            assert metrics.dropped == {reason: 1}
            assert metrics.disconnected_total == 0
            assert is_accounted_for(gateway)
            assert f"with 2 replies pending: {reason.value}" in caplog.text

    run(test())


@pytest.mark.parametrize("has_requested", [False, True])
def test_command_that_does_not_arrive_in_time_is_counted_and_logged_for_clients(
    has_requested, monkeypatch, caplog
):
    """A client that was served before gets an error for half a command, and the requests behind it are lost.

    If that were not logged with the time it had, operators could not tell a slow client from a wrong timer.
    """
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.1)

    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peer = await gateway.connect_client()
            if has_requested:
                await peer.ask(call(1))
            peer.send(call(2)[:20])
            assert (await peer.reply()).startswith("-ERR no whole command")
            awaited = AwaitedCommand.of(has_requested)
            assert gateway.driver.metrics.command_timeouts == {awaited: 1}
            assert ("no complete command came within 0.10 s (20 bytes" in caplog.text) == has_requested

    run(test())


def test_request_whose_client_disconnected_is_not_counted_as_dropped_by_the_gateway(caplog):
    async def test():
        server = silent_server()
        async with local_gateway(server) as gateway:
            raw = RawClient(port(gateway))
            raw.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)
            assert gateway.driver.metrics.disconnected_total == 1
            assert not gateway.driver.metrics.dropped
            assert not caplog.records

    run(test())
