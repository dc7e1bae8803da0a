"""Long values: passed on as they come, held back with a slow client, and never taken for complete."""

import asyncio
import socket

import pytest
from conftest import Rig, entry, rig_with
from fakes import FakeServer, Raw, call, node, resp, run, until

from quota_gateway import AttemptEnded, Limits, Status, StreamStarted
from quota_gateway.net.clients import command_timer as command_timer_module
from quota_gateway.net.clients import registry as registry_module
from quota_gateway.net.declared_lengths import MAX_VALUE_BYTES, STREAMED_VALUE_BYTES, parse_long_value_head
from quota_gateway.net.servers import connection as connection_module
from quota_gateway.net.servers import pool as pool_module

LENGTH = 3 * 1024 * 1024
VALUE = bytes(range(256)) * (LENGTH // 256)
HEAD, TAIL = b"*3\r\n$%d\r\n" % LENGTH, b"\r\n$7\r\nused=40\r\n$-1\r\n"


def held(*numbers: int):
    """A server that keeps silent on these requests, for the test to answer, and answers others shortly."""
    ids = [b"%016x" % number for number in numbers]
    return FakeServer(lambda words: None if words[2] in ids else b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")


def writer(server: FakeServer, number: int) -> asyncio.StreamWriter:
    """Of the connection that request came on."""
    return next(
        server.writers[n]
        for n, words in zip(server.by, server.commands, strict=True)
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
def test_head_of_a_long_value_is_told_apart_as_soon_as_it_can_be(head, found):
    assert parse_long_value_head(head) == found


@pytest.mark.usefixtures("no_rest")
@pytest.mark.parametrize("piece", [7, 1000, 65_536, LENGTH * 2])
def test_long_value_arrives_whole_in_pieces_of_any_size_and_the_connections_live_on(piece):
    async def test():
        server = held(1)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            answer = HEAD + VALUE + TAIL
            for at in range(0, min(len(answer), 40 * piece), piece):  # then the rest at once
                server.writers[0].write(answer[at : at + piece])
                await server.writers[0].drain()
            server.writers[0].write(answer[40 * piece :])
            assert await peer.reply() == VALUE
            assert await peer.ask(call(2)) == b"v"
            assert len(server.writers) == 1
            assert not gateway.driver.requests
            assert not gateway.servers.streams
            assert [c.metered_use_ratio for c in gateway.driver.gateway.customers.rows.values()] == [0.4]

    run(test())


def test_first_bytes_are_passed_on_at_once_and_the_deadline_ends_nothing_that_has_begun():
    async def test():
        server = held(1)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, wait=200))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:10])
            first = await peer.reader.readexactly(len(b"$%d\r\n" % LENGTH) + 10)
            assert first == b"$%d\r\n" % LENGTH + VALUE[:10]
            await asyncio.sleep(0.4)  # past what the client would have waited for the first byte
            peer.parser.feed(first)
            server.writers[0].write(VALUE[10:] + TAIL)
            assert await peer.reply() == VALUE
            assert len(server.commands) == 1

    run(test())


def test_value_that_breaks_off_ends_the_connection_and_is_not_tried_again():
    async def test():
        server = held(1)
        async with node(server) as gateway:
            peer = await gateway.peer()
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
def test_long_value_that_runs_on_beyond_its_length_is_not_taken_for_whole(end, cut):
    async def test():
        server = held(1)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            read = asyncio.ensure_future(peer.reader.read())  # to its end
            server.writers[0].write(HEAD + VALUE + end[:cut])
            await until(
                lambda: all(
                    one.sink and one.decoder.is_value_complete() for one in gateway.servers.connections
                )
            )
            server.writers[0].write(end[cut:] + TAIL)
            assert (b"$%d\r\n" % LENGTH + VALUE).startswith(await read)  # no line's end behind it
            await until(lambda: not gateway.driver.requests and not gateway.servers.streams)
            assert not gateway.servers.connections

    run(test())


def test_server_that_gives_no_more_of_a_value_is_given_up_after_a_while(monkeypatch):
    monkeypatch.setattr(connection_module, "STREAM_SILENCE_S", 0.2)

    async def test():
        server = held(1)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:100])
            await peer.reader.read()
            assert peer.reader.at_eof()
            await until(lambda: not gateway.driver.requests and not gateway.servers.connections)

    run(test())


async def narrow(port: int) -> socket.socket:
    """A client that has little room and reads when the test does."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return sock


def test_slow_clients_hold_the_servers_back_and_little_is_kept_for_them():
    async def test():
        loop, many = asyncio.get_running_loop(), 12
        server = held(*range(1, many + 1))
        async with node(server) as gateway:
            port = gateway.clients.listener.getsockname()[1]
            socks = [await narrow(port) for _ in range(many)]
            for number, sock in enumerate(socks, 1):
                await loop.sock_sendall(sock, call(number))
            await server.until(lambda: len(server.commands) == many)
            for one in server.writers:
                one.transport.set_write_buffer_limits(2 * LENGTH)
                one.write(HEAD + VALUE + TAIL)
            paused = gateway.servers.connections
            await until(lambda: all(not c.transport.is_reading() for c in paused))
            kept = [c.transport.get_write_buffer_size() for c in gateway.clients.connections]
            assert max(kept) <= pool_module.READ_BYTES
            for sock in socks:
                got, size = 0, len(b"$%d\r\n" % LENGTH) + LENGTH + 2
                while got < size:
                    got += len(await loop.sock_recv(sock, 1 << 20))
                assert got == size
                sock.close()

    run(test())


async def slow_reader_with_a_value(gateway, server: FakeServer) -> Raw:
    """A client that left its reply unread until the gateway could write no more, and then took all of it."""
    raw = Raw(gateway.clients.listener.getsockname()[1], room=4096)
    raw.send(call(1))
    await server.until(lambda: len(server.commands) == 1)
    writer(server, 1).transport.set_write_buffer_limits(2 * LENGTH)
    writer(server, 1).write(HEAD + VALUE + TAIL)
    (client,) = gateway.clients.connections
    await until(lambda: client.replies.is_stuck)
    await raw.read(len(b"$%d\r\n" % LENGTH) + LENGTH + 2)
    await until(lambda: not client.replies.is_stuck)
    return raw


def test_client_that_took_a_long_value_slowly_is_read_again():
    """A client is slow to take its reply; nothing is read from it meanwhile. Then it sends its next request.

    The connection was never read again: the request stayed in the kernel until its client gave it up, with no
    answer and no line in the log. A client that has caught up has to be read like any other.
    """

    async def test():
        server = held(1)
        async with node(server) as gateway:
            raw = await slow_reader_with_a_value(gateway, server)
            raw.send(call(2))
            assert await raw.read(7) == b"$1\r\nv\r\n"
            raw.sock.close()

    run(test())


def test_end_of_a_client_that_took_a_long_value_slowly_is_seen():
    """It closes after its slow reply: unread, its end kept the connection and its descriptor for good."""

    async def test():
        server = held(1)
        async with node(server) as gateway:
            raw = await slow_reader_with_a_value(gateway, server)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)

    run(test())


def test_client_that_took_many_short_replies_slowly_is_read_again():
    """As with a long value, where the replies of many requests together are more than the client takes."""

    async def test():
        value = b"$60000\r\n" + b"x" * 60_000 + b"\r\n"
        count = 60  # fewer than may be in flight on a connection, more bytes than both ends' sockets hold
        server = FakeServer(lambda _words: b"*3\r\n%b$-1\r\n$-1\r\n" % value)
        async with node(server) as gateway:
            raw = Raw(gateway.clients.listener.getsockname()[1], room=4096)
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


def test_reads_are_smaller_when_many_values_are_on_their_way():
    async def test():
        async with node() as gateway:
            assert len(gateway.servers.read_buffer()) == pool_module.READ_BYTES
            for passing in (100, 1000, 100_000):
                gateway.servers.streams = passing
                size = len(gateway.servers.read_buffer())
                assert size == pool_module.MIN_READ_BYTES or size * passing <= pool_module.MAX_STREAMED_BYTES

    run(test())


def test_client_that_leaves_in_the_middle_of_a_value_frees_its_server():
    async def test():
        server = held(1)
        async with node(server) as gateway:
            peer = await gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(HEAD + VALUE[:100_000])
            await peer.reader.readexactly(50_000)
            peer.writer.transport.abort()
            await until(lambda: not gateway.driver.requests and not gateway.servers.connections)

    run(test())


def test_long_value_waits_for_its_turn_on_its_connection():
    async def test():
        server = held(1, 2)
        async with node(server) as gateway:
            peer = await gateway.peer()
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


def test_clients_that_read_no_answers_are_bounded_over_all_of_them(monkeypatch):
    monkeypatch.setattr(registry_module, "MAX_UNSENT_BYTES", 600_000)

    async def test():
        body = b"x" * 60_000
        server = FakeServer(
            lambda words: (
                None if words[2].endswith(b"0") else b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(body), body)
            )
        )
        async with node(server) as gateway:
            peers = [await gateway.peer() for _ in range(4)]
            for at, peer in enumerate(peers):  # the first of each is never answered: the rest wait behind it
                peer.send(*(call(at * 16 + number) for number in range(6)))
            await until(lambda: len(gateway.clients.connections) < 4)
            assert gateway.clients.unsent.used_bytes <= 600_000

    run(test())


def test_body_may_come_slowly_while_a_head_that_does_not_end_is_closed(monkeypatch):
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.3)

    async def test():
        server = FakeServer()
        async with node(server) as gateway:
            peer, head = await gateway.peer(), await gateway.peer()
            assert await peer.ask(call(2))
            assert await head.ask(call(3))
            command = call(4, "buy", body=b"b" * 40)
            peer.send(command[:-32])
            head.send(call(5)[:20])
            for at in range(32, 0, -4):  # 0.8 s in all: longer than a head may take
                await asyncio.sleep(0.1)
                peer.send(command[-at : len(command) - at + 4])
            assert await peer.reply() == b"0000000000000004"
            assert (await head.reply()).startswith("-ERR no whole command")
            assert await head.reply() is None

    run(test())


# ---- The decisions


def test_answer_that_has_begun_has_no_deadline_and_no_second_copy():
    rig = Rig(rig_with(limits=Limits(max_attempts=3, may_duplicate=True, can_cancel=True)).settings)
    rig.servers(entry(1), entry(2))
    name = rig.ask()
    rig.do(StreamStarted(name, 0, rig.sent[name][0], 50.0))
    rig.run(10_000.0)
    assert len(rig.sent[name]) == 1
    assert name not in rig.answers
    rig.do(AttemptEnded(name, 0, rig.sent[name][0], Status.RESET, 10_000.0, request_answered=True))
    assert len(rig.sent[name]) == 1
    assert not rig.gateway.pending_requests.by_id


def test_slow_client_does_not_make_its_server_look_slow(rig):
    before = rig.gateway.concurrency_limit.latencies.mean_ms["safe"]
    name = rig.ask()
    server = rig.gateway.endpoints.servers[rig.sent[name][0]]
    rig.do(StreamStarted(name, 0, server.id, 50.0))
    pool = rig.gateway.concurrency_limit.limit
    rig.run(3900.0)
    rig.do(AttemptEnded(name, 0, server.id, Status.OK, 3900.0, request_answered=True))
    assert rig.gateway.concurrency_limit.limit == pool
    assert rig.gateway.concurrency_limit.latencies.mean_ms["safe"] < before
