"""Replies that wait have one limit over all clients, and no request is lost to it."""

import pytest
from fakes import FakeServer, LocalGateway, RawClient, RespClient, call, local_gateway, resp, run, until

from quota_gateway.net.clients import reply_budget as reply_budget_module
from quota_gateway.net.clients.reply_budget import EXPECTED_SIZE_DECAY, ReplyBudget
from quota_gateway.net.clients.reply_queue import SHED_REPLY

BODY = b"x" * 60_000
LIMIT_BYTES = 600_000  # ten bodies
HEAVY = 0x100  # requests below it are answered at once, others as the test says so


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def reply_to(words: list[bytes]) -> bytes:
    """A server's reply: the id of the request, and a long body."""
    return b"*3\r\n%b$-1\r\n$-1\r\n" % bulk(words[2] + BODY)


class HeavyServer(FakeServer):
    """Answers heavy requests only once it is told to, and all others at once."""

    def __init__(self) -> None:
        super().__init__(lambda words: reply_to(words) if int(words[2], 16) < HEAVY else None)

    def heavy_count(self) -> int:
        """How many heavy requests have come."""
        return sum(int(words[2], 16) >= HEAVY for words in self.commands)

    def answer_heavy(self) -> None:
        """Answer all heavy requests that have come."""
        for number, words in enumerate(self.commands):
            writer = self.writers[self.connection_numbers[number]]
            if int(words[2], 16) >= HEAVY and not writer.is_closing():
                writer.write(reply_to(words))


class Peak:
    """The most bytes of replies that waited, as seen behind each change of any reply."""

    def __init__(self, gateway: LocalGateway) -> None:
        self.bytes = 0
        clients = gateway.clients
        on_replies_changed = clients.on_replies_changed

        def on_changed() -> None:
            on_replies_changed()
            self.bytes = max(self.bytes, clients.reply_budget.used_bytes)

        clients.on_replies_changed = on_changed


async def ids_of(client: RespClient, count: int) -> list[int]:
    """The ids in the next replies; -1 for an error, -2 for the end of the connection."""
    ids = []
    for _ in range(count):
        reply = await client.reply()
        ids.append(-2 if reply is None else -1 if isinstance(reply, str) else int(reply[:16], 16))
    return ids


def numbers(client: int, count: int) -> list[int]:
    """The ids of a client's requests, the first of which is heavy."""
    return [HEAVY + client, *(client * 16 + number for number in range(1, count))]


@pytest.fixture
def small_limit(monkeypatch) -> None:
    monkeypatch.setattr(reply_budget_module, "MAX_UNSENT_BYTES", LIMIT_BYTES)


@pytest.mark.usefixtures("small_limit")
def test_requests_behind_a_heavy_one_are_answered_however_many_bytes_their_replies_have():
    """Each client sends a heavy request and others behind it, whose replies have to wait for the heavy one's.

    The client with most bytes waiting was disconnected at the limit, and lost all its requests, although it
    read whatever came: the gateway itself held its replies back.
    """

    async def test():
        server = HeavyServer()
        async with local_gateway(server) as gateway:
            peak = Peak(gateway)
            peers = [await gateway.connect_client() for _ in range(4)]
            for index, peer in enumerate(peers):
                peer.send(*(call(number) for number in numbers(index, 12)))
            await server.until(lambda: server.heavy_count() == 4)
            await until(lambda: len(gateway.driver.requests) == 4 and bool(gateway.clients.awaiting_room))
            server.answer_heavy()
            for index, peer in enumerate(peers):
                assert await ids_of(peer, 12) == numbers(index, 12)
            assert 0 < peak.bytes <= LIMIT_BYTES
            assert gateway.driver.metrics.shed_replies_total == 0
            assert gateway.driver.metrics.held_commands_total > 0
            assert (
                gateway.clients.reply_budget.used_bytes,
                gateway.clients.reply_budget.awaited_replies,
            ) == (0, 0)

    run(test())


@pytest.mark.usefixtures("small_limit")
def test_commands_of_a_client_go_on_once_another_one_has_left_room_for_their_replies():
    """All room is another client's. It must not have to wait for its own heavy request once there is room."""

    async def test():
        server = HeavyServer()
        async with local_gateway(server) as gateway:
            first, second = await gateway.connect_client(), await gateway.connect_client()
            first.send(*(call(number) for number in numbers(0, 12)))
            await until(lambda: len(gateway.clients.awaiting_room) == 1 and len(gateway.driver.requests) == 1)
            second.send(*(call(number) for number in numbers(1, 4)))
            await until(lambda: len(gateway.clients.awaiting_room) == 2)
            await server.until(lambda: server.heavy_count() == 2)
            before = len(server.commands)
            first.writer.transport.abort()
            await server.until(lambda: len(server.commands) == before + 3)
            server.answer_heavy()
            assert await ids_of(second, 4) == numbers(1, 4)

    run(test())


@pytest.mark.usefixtures("small_limit")
def test_replies_larger_than_expected_become_errors_beyond_the_limit_and_the_last_ones_first(caplog):
    """Replies were short until now, so that more commands are in flight than there is room for their replies.

    Memory stays bounded; each request has an answer, and connections stay open.
    """

    async def test():
        server = HeavyServer()
        async with local_gateway(server) as gateway:
            peak = Peak(gateway)
            gateway.clients.reply_budget.expected_bytes = 100.0
            few, many = await gateway.connect_client(), await gateway.connect_client()
            few.send(*(call(number) for number in numbers(0, 3)))
            await until(lambda: gateway.clients.reply_budget.used_bytes == 2 * len(bulk(bytes(16) + BODY)))
            gateway.clients.reply_budget.expected_bytes = 100.0
            many.send(*(call(number) for number in numbers(1, 16)))
            await until(lambda: len(gateway.driver.requests) == 2)
            assert gateway.clients.reply_budget.used_bytes <= LIMIT_BYTES
            server.answer_heavy()
            assert await ids_of(few, 3) == numbers(0, 3)
            ids = await ids_of(many, 16)
            shed = ids.count(-1)
            assert 0 < shed < 15
            assert ids[: 16 - shed] == numbers(1, 16 - shed)
            assert gateway.driver.metrics.shed_replies_total == shed
            assert peak.bytes <= LIMIT_BYTES
            assert await many.ask(call(0xF0)) == b"%016x" % 0xF0 + BODY
            assert caplog.text.count("replies that wait for an earlier one become errors") == 1

    run(test())


@pytest.mark.usefixtures("small_limit")
def test_clients_that_read_no_replies_leave_the_limit_and_the_requests_of_others_alone():
    """Peers send many requests and read nothing, while a client goes on with one request after the other."""

    async def test():
        server = HeavyServer()
        async with local_gateway(server) as gateway:
            peak = Peak(gateway)
            port = gateway.clients.listener.getsockname()[1]
            silent = [RawClient(port, receive_buffer_bytes=4096) for _ in range(8)]
            steady = await gateway.connect_client()
            sent = 0
            for round_number in range(12):
                for peer in silent:
                    peer.send(*(call(0x1000_0000 + sent + number) for number in range(3)))
                    sent += 3
                for number in (2 * round_number, 2 * round_number + 1):
                    steady.send(call(number))
                assert await ids_of(steady, 2) == [2 * round_number, 2 * round_number + 1]
            assert peak.bytes <= LIMIT_BYTES
            for peer in silent:
                peer.sock.close()
            await until(lambda: len(gateway.clients.connections) == 1)
            assert (
                gateway.clients.reply_budget.used_bytes,
                gateway.clients.reply_budget.awaited_replies,
            ) == (0, 0)

    run(test())


def test_budget_expects_the_size_of_the_largest_replies_of_late():
    budget = ReplyBudget(most_connections=10)
    budget.expect_sizes_like(1000)
    budget.expected_bytes = 1000.0
    budget.expect_sizes_like(10)
    assert budget.expected_bytes == 1000.0 * EXPECTED_SIZE_DECAY
    budget.expect_sizes_like(5000)
    assert budget.expected_bytes == 5000.0


def test_budget_has_room_for_each_connections_own_share_beyond_what_is_shared():
    budget = ReplyBudget(most_connections=8)
    budget.limit_bytes = 8000
    budget.divide(8)  # 500 bytes for each
    budget.open_connections = 4
    budget.expected_bytes = 100.0
    budget.awaited_replies = 9
    budget.add(5000)
    assert budget.has_room(5000, 9)  # 5000 + 10 * 100 bytes, of the 6000 that the four leave
    budget.add(1)
    assert not budget.has_room(5000, 9)
    assert budget.has_room(0, 4)  # of another connection
    assert not budget.has_room(1, 4)


def test_ping_behind_a_request_in_flight_needs_no_room():
    """Its reply is a few bytes, and is counted as such."""

    async def test():
        server = HeavyServer()
        async with local_gateway(server) as gateway:
            client = await gateway.connect_client()
            client.send(call(HEAVY), resp("PING"), resp("PING"))
            await server.until(lambda: len(server.commands) == 1)
            (connection,) = gateway.clients.connections
            await until(lambda: len(connection.replies.slots) == 3)
            assert gateway.clients.reply_budget.used_bytes == 2 * len(b"+PONG\r\n")
            assert gateway.clients.reply_budget.awaited_replies == 0
            server.answer_heavy()
            assert await ids_of(client, 1) == [HEAVY]
            assert [await client.reply(), await client.reply()] == [b"PONG", b"PONG"]
            assert len(SHED_REPLY) > len(b"+PONG\r\n")  # a PONG is never replaced

    run(test())
