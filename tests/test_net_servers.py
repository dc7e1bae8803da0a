"""Attempts over real sockets: their outcomes, reuse and closing of connections, draining servers, limits."""

import asyncio
import errno
import socket

import pytest
from fakes import FakeServer, call, local_gateway, resp, run, server_reply, until

from quota_gateway import Limits, ListKind, ServerEntry, ServerState, Status
from quota_gateway.net import servers as servers_module
from quota_gateway.net.declared_lengths import DeclaredLengths
from quota_gateway.net.servers import Attempt, Reply, ReplyReader
from quota_gateway.net.servers import connection as connection_module
from quota_gateway.net.servers.reply_decoder import MAX_REPLY_BYTES

COMMAND = resp("CALL.GET", "00000000b4d65521", "00000000000000aa", "c=read,t=free,d=10")


class OutcomeCollector:
    """Creates attempts and queues their outcomes."""

    def __init__(self) -> None:
        self.replies: asyncio.Queue[Reply] = asyncio.Queue()

    def attempt(self, payload: bytes = COMMAND) -> Attempt:
        return Attempt(lambda: payload, self.replies.put_nowait)

    async def status(self) -> Status:
        return (await self.replies.get()).status

    def empty(self) -> bool:
        return self.replies.empty()


@pytest.mark.usefixtures("immediate_connection_reuse")
def test_connection_carries_one_attempt_at_a_time_and_the_most_recently_used_one_is_reused():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            gateway.servers.start(1, collector.attempt())
            await server.until(lambda: len(server.commands) == 2)
            assert sorted(server.connection_numbers) == [0, 1]
            for number in (1, 0):
                server.writers[number].write(server_reply(b"v"))
                assert await collector.status() is Status.OK
            gateway.servers.start(1, collector.attempt())
            await server.until(lambda: len(server.commands) == 3)
            assert server.connection_numbers[2] == 0

    run(test())


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (server_reply(b"v"), Status.OK),
        (b"-BUSY\r\n", Status.OVERLOADED),
        (b"-ERR failed\r\n", Status.ERROR),
        (b"", Status.RESET),
        (b"$1\r\nv\r\n", Status.ERROR),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Status.ERROR),
        (b"*0\r\n", Status.ERROR),
        (b"*-1\r\n", Status.ERROR),
        (b"+OK\r\n", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\n\r\n", Status.ERROR),
        (b"$500000000\r\n" + b"x" * 3_000_000, Status.ERROR),
        (b"*4000000000\r\n", Status.ERROR),
        (b"*1\r\n:5\r\n", Status.ERROR),
        (b"*100000000\r\n", Status.ERROR),
        (b"*3\r\n$1\r\nv\r\n*100000000\r\n", Status.ERROR),
        (server_reply(b"v") + b"*100000000\r\n", Status.OK),
        (b"*3\r\n$1\r\nv\r\n:5\r\n+x\r\n", Status.OK),
    ],
)
def test_each_server_reply_gives_exactly_one_outcome_with_the_expected_status(answer, status):
    async def test():
        server = FakeServer(lambda words: answer)
        async with local_gateway(server) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is status
            gateway.servers.close()
            assert collector.empty()

    run(test())


@pytest.mark.parametrize("cut", [1, 2, 3, 5, 17, 1000])
def test_valid_replies_cut_into_pieces_pass_the_length_check_completely(cut):
    lengths = DeclaredLengths(MAX_REPLY_BYTES, is_replies=True)
    stream = server_reply(b"*9\r\n$9\r\n" * 9, b"used=1") + b"-ERR failed used=3\r\n-BUSY\r\n$2\r\nab\r\n"
    pieces = [stream[offset : offset + cut] for offset in range(0, len(stream), cut)]
    assert [lengths.count_valid(piece) for piece in pieces] == [len(piece) for piece in pieces]
    assert not lengths.is_incomplete()


def test_metered_use_cost_and_load_are_read_from_replies_and_error_lines():
    read = ReplyReader(("utilisation", "queue")).read
    assert read([b"v", b"used=37,cost=4", b"inflight=7,queue=2,util=0.61"]) == Reply(
        Status.OK, b"v", 37.0, 4.0, (0.61, 2.0)
    )
    assert read([b"v", None, None]) == Reply(Status.OK, b"v")
    assert read(servers_module.ServerError("ERR failed used=120 util=0.5,queue=3")) == Reply(
        Status.ERROR, None, 120.0, None, (0.5, 3.0)
    )
    assert read(servers_module.ServerError("BUSY used=9")) == Reply(Status.OVERLOADED, None, 9.0)
    assert read([b"v", b"used=x,,=,nan", b"util=0.5"]) == Reply(Status.OK, b"v")
    for figure in (b"nan", b"inf", b"-1", b"1e999"):
        assert read([b"v", b"used=%b,cost=%b" % (figure, figure)]) == Reply(Status.OK, b"v")


def test_refused_connection_counts_as_not_run_and_an_unsafe_request_is_retried_at_another_server():
    async def test():
        server, gone = FakeServer(), await FakeServer().start()
        gone.server.close()
        await gone.server.wait_closed()
        async with local_gateway(server) as gateway:
            gateway.update_servers(gone.entry(1), kind=ListKind.COMPLETE)
            peer = await gateway.connect_client()
            gateway.update_servers(server.entry(2), kind=ListKind.CHANGES)
            for number in range(8):
                assert await peer.ask(call(number, "buy")) == b"%016x" % number

    run(test())


def test_connection_lost_after_the_last_byte_may_have_run_and_an_unsafe_request_fails():
    async def test():
        server, other = FakeServer(lambda words: b""), FakeServer(lambda words: b"")
        async with local_gateway(server, other) as gateway:
            peer = await gateway.connect_client()
            assert (await peer.ask(call(1, "buy"))).startswith("-ERR")
            assert len(server.commands) + len(other.commands) == 1

    run(test())


def test_connection_lost_before_the_last_byte_counts_as_not_run():
    async def test():
        async with local_gateway() as gateway:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            port = listener.getsockname()[1]
            gateway.update_servers((ServerEntry(1, "a"), ("127.0.0.1", port)))
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt(b"x" * 32_000_000))
            loop = asyncio.get_running_loop()
            accepted, _ = await loop.sock_accept(listener)
            await loop.sock_recv(accepted, 1)
            accepted.close()  # closing with unread bytes sends a reset
            assert await collector.status() is Status.CONNECT_FAILED
            listener.close()

    run(test())


def test_busy_reply_counts_as_not_run_and_an_unsafe_request_is_retried_at_the_other_server():
    async def test():
        busy, good = FakeServer(lambda words: b"-BUSY\r\n"), FakeServer()
        async with local_gateway(busy, good) as gateway:
            peer = await gateway.connect_client()
            for number in range(8):
                assert await peer.ask(call(number, "buy")) == b"%016x" % number
            assert busy.commands

    run(test())


def test_connection_closed_by_the_server_while_idle_is_not_reused():
    async def test():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            port = listener.getsockname()[1]
            async with local_gateway() as gateway:
                gateway.update_servers((ServerEntry(1, "a"), ("127.0.0.1", port)))
                collector, loop = OutcomeCollector(), asyncio.get_running_loop()
                gateway.servers.start(1, collector.attempt())
                accepted, _ = await loop.sock_accept(listener)
                await loop.sock_recv(accepted, 1000)
                await loop.sock_sendall(accepted, server_reply(b"v"))
                assert await collector.status() is Status.OK
                accepted.close()
                gateway.servers.start(1, collector.attempt())  # before the loop could notice the close
                accepted, _ = await loop.sock_accept(listener)
                await loop.sock_recv(accepted, 1000)
                await loop.sock_sendall(accepted, server_reply(b"v"))
                assert await collector.status() is Status.OK
                accepted.close()

    run(test())


def test_idle_connection_is_closed_before_the_server_would_close_it():
    async def test():
        server = FakeServer()
        async with local_gateway(server, limits=Limits(connection_idle_ms=1.0)) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK
            await server.until(lambda: server.closed_connections == 1)
            assert not gateway.servers.connections

    run(test())


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_nothing_is_sent_to_a_server_that_drains_or_is_removed_while_the_connection_is_opened(state):
    async def test():
        server = FakeServer()
        async with local_gateway(server) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            (connection,) = gateway.servers.connections
            gateway.update_servers(server.entry(1, state=state), kind=ListKind.CHANGES)
            assert await collector.status() is Status.CONNECT_FAILED
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.CONNECT_FAILED
            await until(connection.task.done)
            gateway.update_servers(server.entry(2), kind=ListKind.COMPLETE)
            gateway.servers.start(2, collector.attempt())
            assert await collector.status() is Status.OK
            assert len(server.commands) == 1

    run(test())


@pytest.mark.parametrize("change", [{"started_ms": 5.0}, {"state": ServerState.DRAINING}])
def test_old_connections_are_closed_when_a_server_restarts_or_drains(change):
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            collector = OutcomeCollector()
            for _ in range(2):
                gateway.servers.start(1, collector.attempt())
            await server.until(lambda: len(server.commands) == 2)
            server.writers[0].write(server_reply(b"v"))
            assert await collector.status() is Status.OK
            gateway.update_servers(server.entry(1, **change), kind=ListKind.CHANGES)
            (remaining,) = gateway.servers.connections
            assert remaining.attempt
            await server.until(lambda: server.closed_connections == 1)
            server.writers[1].write(server_reply(b"v"))  # the attempt may finish; its connection is closed
            assert await collector.status() is Status.OK
            assert not gateway.servers.connections
            await server.until(lambda: server.closed_connections == 2)

    run(test())


def test_server_with_a_new_address_gets_a_new_connection():
    async def test():
        server, other = FakeServer(), await FakeServer().start()
        async with local_gateway(server) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK
            gateway.update_servers(other.entry(1), kind=ListKind.CHANGES)
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK
            assert len(server.commands) == len(other.commands) == 1

    run(test())


def test_connections_are_limited_and_idle_ones_are_closed_for_new_ones():
    async def test():
        server, other = FakeServer(), FakeServer(lambda words: None)
        async with local_gateway(server, other, most_connections=1) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK
            gateway.servers.start(2, collector.attempt())
            await server.until(lambda: server.closed_connections == 1)
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.CONNECT_FAILED
            await other.until(lambda: len(other.commands) == 1)
            other.writers[0].write(server_reply(b"v"))
            assert await collector.status() is Status.OK

    run(test())


def test_running_out_of_descriptors_only_fails_the_attempt(monkeypatch):
    async def test():
        server = FakeServer()
        async with local_gateway(server) as gateway:

            def fail_to_open(*_):
                raise OSError(errno.EMFILE, "too many open files")

            collector = OutcomeCollector()
            with monkeypatch.context() as patch:
                patch.setattr(connection_module.socket, "socket", fail_to_open)
                gateway.servers.start(1, collector.attempt())
                assert await collector.status() is Status.CONNECT_FAILED
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK

    run(test())


def test_connect_timeout_ends_the_attempt_as_not_run():
    async def test():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            filler_sockets = []
            for _ in range(3):  # fills the backlog: later connection attempts get no answer
                filler_sockets.append(socket.socket())
                filler_sockets[-1].setblocking(False)
                filler_sockets[-1].connect_ex(("127.0.0.1", port))
            async with local_gateway(limits=Limits(connect_timeout_ms=50.0)) as gateway:
                gateway.update_servers((ServerEntry(1, "a"), ("127.0.0.1", port)))
                collector = OutcomeCollector()
                gateway.servers.start(1, collector.attempt())
                assert await collector.status() is Status.CONNECT_FAILED
                assert not gateway.servers.connections
            for sock in filler_sockets:
                sock.close()

    run(test())


def test_connection_of_a_cancelled_attempt_is_closed_before_its_outcome_is_reported():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            reported = []
            attempt = Attempt(lambda: COMMAND, reported.append)
            gateway.servers.start(1, attempt)
            await server.until(lambda: len(server.commands) == 1)
            sock = next(iter(gateway.servers.connections)).socket

            def on_finish(reply):
                with pytest.raises(OSError):  # noqa: PT011  the error text for a closed descriptor is the system's
                    sock.send(b"x")
                reported.append(reply)

            attempt.on_finish = on_finish
            gateway.servers.cancel(attempt, Status.CANCELLED)
            assert [reply.status for reply in reported] == [Status.CANCELLED]
            await server.until(lambda: server.closed_connections == 1)

    run(test())


def test_extra_bytes_after_a_reply_close_the_connection():
    async def test():
        server = FakeServer(lambda words: server_reply(b"v") + b"+EXTRA\r\n")
        async with local_gateway(server) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK
            await server.until(lambda: server.closed_connections == 1)
            assert not gateway.servers.connections

    run(test())
