"""Long values: streamed to the client, paused while it is slow, never passed on as complete if cut short."""

import asyncio

import pytest
from conftest import Rig, entry, rig_with
from fakes import FakeServer, RawClient, call, connect_with_small_buffer, local_gateway, resp, run, until

from quota_gateway import AttemptEnded, Limits, Status, StreamStarted
from quota_gateway.net.clients import Client
from quota_gateway.net.clients import command_timer as command_timer_module
from quota_gateway.net.clients.stall_timer import Progress
from quota_gateway.net.declared_lengths import MAX_VALUE_BYTES, STREAMED_VALUE_BYTES, parse_long_value_head
from quota_gateway.net.servers import connection as connection_module
from quota_gateway.net.servers import pool as pool_module

LENGTH = 3 * 1024 * 1024
VALUE = bytes(range(256)) * (LENGTH // 256)
HEAD, TAIL = b"*3\r\n$%d\r\n" % LENGTH, b"\r\n$7\r\nused=40\r\n$-1\r\n"


def server_silent_on(*numbers: int):
    """A server that leaves these requests for the test to answer and gives the others a short reply."""
    ids = [b"%016x" % number for number in numbers]
    return FakeServer(lambda words: None if words[2] in ids else b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")


def writer(server: FakeServer, number: int) -> asyncio.StreamWriter:
    """The server's writer for the connection on which the request came."""
    return next(
        server.writers[n]
        for n, words in zip(server.connection_numbers, server.commands, strict=True)
        if words[2] == b"%016x" % number
    )


@pytest.mark.parametrize(
    ("head", "found"),
    [
        (b"", None),
        (b"*", None),
        (b"*3", None),
        (b"*3\r\n$100000", None),
        (b"*3\r\n$100000\r", None),
        (b"*3\r\n$100000\r\nabc", (3, 100_000, 13)),
        (b"*3\r\n$100\r\nabc", (0, 0, 0)),
        (b"-BUSY\r\n", (0, 0, 0)),
        (b"*0\r\n", (0, 0, 0)),
        (b"*-1\r\n", (0, 0, 0)),
        (b"*3\r\n$-1\r\n", (0, 0, 0)),
        (b"*99\r\n$100000\r\n", (0, 0, 0)),
        (b"*3\r\n$%d\r\n" % STREAMED_VALUE_BYTES, (0, 0, 0)),
        (b"*1\r\n$%d\r\n" % MAX_VALUE_BYTES, (1, MAX_VALUE_BYTES, 14)),
        (b"*3\r\n$%d\r\n" % (MAX_VALUE_BYTES + 1), (0, 0, 0)),
        (b"*3\r\n$99999999", (0, 0, 0)),
    ],
)
def test_long_value_is_recognised_from_the_first_bytes_of_its_reply(head, found):
    assert parse_long_value_head(head) == found


@pytest.mark.usefixtures("immediate_connection_reuse")
@pytest.mark.parametrize("piece", [7, 1000, 65_536, LENGTH * 2])
def test_long_value_arrives_complete_in_pieces_of_any_size_and_its_connections_are_reused(piece):
    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            answer = HEAD + VALUE + TAIL
            for offset in range(0, min(len(answer), 40 * piece), piece):  # the rest is written at once
                server.writers[0].write(answer[offset : offset + piece])
                await server.writers[0].drain()
            server.writers[0].write(answer[40 * piece :])
            assert await peer.reply() == VALUE
            assert await peer.ask(call(2)) == b"v"
            assert len(server.writers) == 1
            assert not gateway.driver.requests
            assert not gateway.servers.streams
            assert [c.metered_use_ratio for c in gateway.driver.gateway.customers.rows.values()] == [0.4]

    run(test())


def test_first_bytes_are_passed_on_at_once_and_a_stream_that_has_begun_has_no_deadline():
    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1, timeout_ms=200))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:10])
            first = await peer.reader.readexactly(len(b"$%d\r\n" % LENGTH) + 10)
            assert first == b"$%d\r\n" % LENGTH + VALUE[:10]
            await asyncio.sleep(0.4)  # longer than the client waits for the first byte
            peer.parser.feed(first)
            server.writers[0].write(VALUE[10:] + TAIL)
            assert await peer.reply() == VALUE
            assert len(server.commands) == 1

    run(test())


def test_value_cut_short_closes_the_client_connection_and_is_not_retried():
    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:100_000])
            await peer.reader.readexactly(50_000)
            server.writers[0].close()
            assert len(await peer.reader.read(LENGTH)) < LENGTH
            assert await peer.reader.read() is not None
            assert peer.reader.at_eof()
            await until(lambda: not gateway.driver.requests)
            assert len(server.commands) == 1

    run(test())


@pytest.mark.parametrize("end", [b"xy", b"\rx", b"$-"])
@pytest.mark.parametrize("cut", [0, 1, 2])
def test_long_value_longer_than_declared_is_not_passed_on_as_complete(end, cut):
    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            read = asyncio.ensure_future(peer.reader.read())  # until the connection is closed
            server.writers[0].write(HEAD + VALUE + end[:cut])
            await until(
                lambda: all(
                    connection.sink and connection.decoder.is_value_complete()
                    for connection in gateway.servers.connections
                )
            )
            server.writers[0].write(end[cut:] + TAIL)
            assert (b"$%d\r\n" % LENGTH + VALUE).startswith(await read)  # no CRLF after it
            await until(lambda: not gateway.driver.requests and not gateway.servers.streams)
            assert not gateway.servers.connections

    run(test())


def test_connection_is_closed_when_a_server_stops_sending_within_a_value(monkeypatch):
    monkeypatch.setattr(connection_module, "STREAM_SILENCE_S", 0.2)

    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:100])
            await peer.reader.read()
            assert peer.reader.at_eof()
            await until(lambda: not gateway.driver.requests and not gateway.servers.connections)

    run(test())


def test_slow_clients_pause_reading_from_servers_and_little_is_buffered_for_them():
    async def test():
        loop, many = asyncio.get_running_loop(), 12
        server = server_silent_on(*range(1, many + 1))
        async with local_gateway(server) as gateway:
            port = gateway.clients.listener.getsockname()[1]
            socks = [await connect_with_small_buffer(port) for _ in range(many)]
            for number, sock in enumerate(socks, 1):
                await loop.sock_sendall(sock, call(number))
            await server.until(lambda: len(server.commands) == many)
            for server_writer in server.writers:
                server_writer.transport.set_write_buffer_limits(2 * LENGTH)
                server_writer.write(HEAD + VALUE + TAIL)
            server_connections = gateway.servers.connections
            await until(lambda: all(not c.transport.is_reading() for c in server_connections))
            buffered_bytes = [c.transport.get_write_buffer_size() for c in gateway.clients.connections]
            assert max(buffered_bytes) <= pool_module.READ_BYTES
            for sock in socks:
                got, size = 0, len(b"$%d\r\n" % LENGTH) + LENGTH + 2
                while got < size:
                    got += len(await loop.sock_recv(sock, 1 << 20))
                assert got == size
                sock.close()

    run(test())


async def client_with_a_long_value_unread(
    gateway, server: FakeServer, behind: bytes = b""
) -> tuple[RawClient, Client]:
    """A client that leaves its reply unread until the gateway can write no more, and its connection there.

    ``behind``: what it has sent behind its request.
    """
    raw = RawClient(gateway.clients.listener.getsockname()[1], receive_buffer_bytes=4096)
    raw.send(call(1), behind)
    await server.until(lambda: len(server.commands) == 1)
    writer(server, 1).transport.set_write_buffer_limits(2 * LENGTH)
    writer(server, 1).write(HEAD + VALUE + TAIL)
    (client,) = gateway.clients.connections
    await until(lambda: client.replies.is_stuck)
    return raw, client


async def client_that_read_a_long_value_slowly(gateway, server: FakeServer, behind: bytes = b"") -> RawClient:
    """A client that left its reply unread until the gateway could write no more, and then read all of it."""
    raw, client = await client_with_a_long_value_unread(gateway, server, behind)
    await raw.read(len(b"$%d\r\n" % LENGTH) + LENGTH + 2)
    await until(lambda: not client.replies.is_stuck)
    return raw


def test_client_that_reads_slowly_is_not_given_up_and_one_that_stops_is():
    """A client reads steadily, but less in a timeout than the kernel's buffer needs to take more from us.

    It counted as one that takes no replies, and lost its value and the requests behind it.
    """

    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            raw, client = await client_with_a_long_value_unread(gateway, server)
            buffered_bytes = client.transport.get_write_buffer_size()
            for _ in range(3):
                before = Progress.of(client.transport)
                await raw.read(8192)
                await until(lambda before=before: Progress.of(client.transport)[1] > before[1])
                client.stall_timer.check(client.transport, client._on_stalled)
            assert client.transport.get_write_buffer_size() == buffered_bytes
            assert not client.transport.is_closing()
            while gateway.clients.connections:  # acknowledgements of what was read may still come
                client.stall_timer.check(client.transport, client._on_stalled)
                await asyncio.sleep(0.01)
            raw.sock.close()

    run(test())


def test_client_that_took_a_long_value_slowly_is_read_again():
    """The gateway reads nothing from a client while it is slow to take its reply, but has to resume later.

    Once the client had caught up, the connection was still not read: its next request stayed in the kernel
    until the client gave up, with no answer and no line in the log.
    """

    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            raw = await client_that_read_a_long_value_slowly(gateway, server)
            raw.send(call(2))
            assert await raw.read(7) == b"$1\r\nv\r\n"
            raw.sock.close()

    run(test())


def test_close_by_a_client_that_took_a_long_value_slowly_is_noticed():
    """It closes after its slow reply. The close was never read: the connection and its descriptor leaked."""

    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            raw = await client_that_read_a_long_value_slowly(gateway, server)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)

    run(test())


def test_time_in_which_a_client_is_not_read_does_not_count_as_its_time_for_a_command(monkeypatch):
    """A client sends half a request, takes its long value only after some time, and sends the rest.

    Its time ran on while the gateway did not read from it: the half-read request got an error, and what came
    behind it no answer, although the rest of it had long been sent.
    """
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.1)

    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            second = call(2)
            raw, _ = await client_with_a_long_value_unread(gateway, server, second[:20])
            raw.send(second[20:], call(3))
            await asyncio.sleep(0.3)
            await raw.read(len(b"$%d\r\n" % LENGTH) + LENGTH + 2)
            assert await raw.read(14) == 2 * b"$1\r\nv\r\n"
            raw.sock.close()

    run(test())


def test_peer_that_does_not_complete_its_command_after_a_long_value_is_closed(monkeypatch):
    """The limit on the rest of a command holds again once the gateway reads."""
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.1)

    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            raw = await client_that_read_a_long_value_slowly(gateway, server, call(2)[:20])
            data, end = await raw.read_to_end()
            assert (data, end) == (b"-ERR no whole command in time\r\n", "end")

    run(test())


def test_client_that_took_many_short_replies_slowly_is_read_again():
    """As with a long value, but many short replies together are more than the client takes."""

    async def test():
        value = b"$60000\r\n" + b"x" * 60_000 + b"\r\n"
        count = 60  # below the limit in flight on a connection; more bytes than both sockets buffer
        server = FakeServer(lambda _words: b"*3\r\n%b$-1\r\n$-1\r\n" % value)
        async with local_gateway(server) as gateway:
            raw = RawClient(gateway.clients.listener.getsockname()[1], receive_buffer_bytes=4096)
            raw.send(*(call(number) for number in range(count)))
            await server.until(lambda: len(server.commands) == count)
            await until(lambda: not gateway.driver.requests)
            (client,) = gateway.clients.connections
            assert client.replies.is_stuck
            assert await raw.read(count * len(value)) == count * value
            raw.send(call(count))
            assert await raw.read(len(value)) == value
            raw.sock.close()

    run(test())


def test_reads_are_smaller_when_many_values_are_being_streamed():
    async def test():
        async with local_gateway() as gateway:
            assert len(gateway.servers.read_buffer()) == pool_module.READ_BYTES
            for ongoing in (100, 1000, 100_000):
                gateway.servers.streams = ongoing
                size = len(gateway.servers.read_buffer())
                assert size == pool_module.MIN_READ_BYTES or size * ongoing <= pool_module.MAX_STREAMED_BYTES

    run(test())


def test_client_that_disconnects_within_a_value_closes_the_server_connection():
    async def test():
        server = server_silent_on(1)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:100_000])
            await peer.reader.readexactly(50_000)
            peer.writer.transport.abort()
            await until(lambda: not gateway.driver.requests and not gateway.servers.connections)

    run(test())


def test_long_value_waits_for_the_replies_before_it_on_its_connection():
    async def test():
        server = server_silent_on(1, 2)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1), call(2), resp("PING"))
            await server.until(lambda: len(server.commands) == 2)
            second = writer(server, 2)
            second.transport.set_write_buffer_limits(2 * LENGTH)
            second.write(HEAD + VALUE + TAIL)
            await until(lambda: any(not c.transport.is_reading() for c in gateway.servers.connections))
            writer(server, 1).write(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
            assert await peer.reply() == b"v"
            assert await peer.reply() == VALUE
            assert await peer.reply() == b"PONG"

    run(test())


def test_slow_command_body_is_accepted_but_an_incomplete_command_head_times_out(monkeypatch):
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.3)

    async def test():
        server = FakeServer()
        async with local_gateway(server) as gateway:
            peer, slow_peer = await gateway.connect_client(), await gateway.connect_client()
            assert await peer.ask(call(2))
            assert await slow_peer.ask(call(3))
            command = call(4, "buy", body=b"b" * 40)
            peer.send(command[:-32])
            slow_peer.send(call(5)[:20])
            for bytes_left in range(32, 0, -4):  # 0.8 s in all: longer than a command head may take
                await asyncio.sleep(0.1)
                peer.send(command[-bytes_left : len(command) - bytes_left + 4])
            assert await peer.reply() == b"0000000000000004"
            assert (await slow_peer.reply()).startswith("-ERR no whole command")
            assert await slow_peer.reply() is None

    run(test())


# ---- Policy code


def test_streamed_answer_has_no_deadline_and_no_second_attempt():
    rig = Rig(rig_with(limits=Limits(max_attempts=3, may_duplicate=True, can_cancel=True)).settings)
    rig.servers(entry(1), entry(2))
    name = rig.ask()
    rig.handle(StreamStarted(name, 0, rig.sent[name][0], 50.0))
    rig.run(10_000.0)
    assert len(rig.sent[name]) == 1
    assert name not in rig.answers
    rig.handle(AttemptEnded(name, 0, rig.sent[name][0], Status.RESET, 10_000.0, request_answered=True))
    assert len(rig.sent[name]) == 1
    assert not rig.gateway.pending_requests.by_id


def test_slow_client_does_not_make_its_server_look_slow(rig):
    latency_before = rig.gateway.concurrency_limit.latencies.mean_ms["safe"]
    name = rig.ask()
    server = rig.gateway.endpoints.servers[rig.sent[name][0]]
    rig.handle(StreamStarted(name, 0, server.id, 50.0))
    limit_before = rig.gateway.concurrency_limit.limit
    rig.run(3900.0)
    rig.handle(AttemptEnded(name, 0, server.id, Status.OK, 3900.0, request_answered=True))
    assert rig.gateway.concurrency_limit.limit == limit_before
    assert rig.gateway.concurrency_limit.latencies.mean_ms["safe"] < latency_before
