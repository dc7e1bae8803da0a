"""Client connections: order of replies, invalid input, clients that disconnect or do not read."""

import asyncio
import time

import hiredis
import pytest
from fakes import FakeServer, RawClient, call, local_gateway, resp, run, server_reply, until

from quota_gateway.net.clients import command_timer as command_timer_module
from quota_gateway.net.clients.command_dispatcher import MAX_BAD_COMMANDS
from quota_gateway.net.clients.command_stream import MAX_COMMAND_BYTES, MAX_WORD_BYTES
from quota_gateway.net.clients.reply_queue import MAX_PIPELINED
from quota_gateway.net.declared_lengths import DeclaredLengths

FIELDS = "c=read,t=free,d=4000,units=1,spread=2,first=0"
CUSTOMER, REQUEST_ID = "00000000b4d65521", "00000000000000aa"
VALUE_OF_AN_ID = b"$16\r\n%016x\r\n" % 2  # the reply to ``call(2)``


def test_request_is_forwarded_unchanged_except_for_its_timeout():
    async def test():
        server = FakeServer(lambda words: server_reply(b"val\r\nue"))
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            assert await peer.ask(call(1, "post", body=b"\x00\r\nx")) == b"val\r\nue"
            name, customer, request_id, fields, body = server.commands[0]
            assert (name, customer, request_id, body) == (
                b"CALL.POST",
                CUSTOMER.encode(),
                b"0000000000000001",
                b"\x00\r\nx",
            )
            sent = dict(part.split(b"=") for part in fields.split(b","))
            assert 0 < int(sent.pop(b"d")) < 4000
            assert sent == {
                b"c": b"post",
                b"t": b"free",
                b"k": b"5c0f",
                b"units": b"1",
                b"spread": b"2",
                b"first": b"0",
            }

    run(test())


def test_command_sent_byte_by_byte_and_a_64_kib_body_are_served():
    async def test():
        server = FakeServer(lambda words: server_reply(words[4]))
        async with local_gateway(server) as gateway:
            peer, body = await gateway.connect_client(), bytes(range(256)) * 256
            for byte in call(1, "buy", body=b"small"):
                peer.send(bytes([byte]))
                await peer.writer.drain()
                await asyncio.sleep(0)
            assert await peer.reply() == b"small"
            assert await peer.ask(call(2, "buy", body=body)) == body

    run(test())


def test_pipelined_replies_come_in_the_order_of_their_commands():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else server_reply(words[2]))
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1), call(2), resp("PING"))
            await server.until(lambda: len(server.commands) == 2)
            first = next(
                n
                for n, words in zip(server.connection_numbers, server.commands, strict=True)
                if words[2].endswith(b"1")
            )
            # The second request is answered first; its reply waits for that of the first.
            await until(lambda: len(gateway.driver.requests) == 1)
            server.writers[first].write(server_reply(b"late"))
            assert await peer.reply() == b"late"
            assert await peer.reply() == b"0000000000000002"
            assert await peer.reply() == b"PONG"

    run(test())


@pytest.mark.parametrize(
    "words",
    [
        ["NONSENSE"],
        ["HELLO", "3"],
        ["CALL.GET"],
        ["CALL.GET", CUSTOMER, REQUEST_ID],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS, "body"],
        ["CALL.POST", CUSTOMER, REQUEST_ID, FIELDS.replace("read", "buy")],
        ["CALL.GET", "zz", REQUEST_ID, FIELDS],
        ["CALL.GET", "00000003b4d65521", REQUEST_ID, FIELDS],
        ["CALL.GET", CUSTOMER, "", FIELDS],
        ["CALL.GET", CUSTOMER, "a" * 65, FIELDS],
        ["CALL.GET", CUSTOMER, b"\xff\x00", FIELDS],
        ["CALL.GET", CUSTOMER, REQUEST_ID, ""],
        ["CALL.GET", CUSTOMER, REQUEST_ID, "c"],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS + ",c=read"],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("read", "none")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("free", "none")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("d=4000", "d=x")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("d=4000", "d=nan")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("d=4000", "d=-1")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("d=4000,", "")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("units=1", "units=inf")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("spread=2", "spread=0")],
        ["CALL.GET", CUSTOMER, REQUEST_ID, FIELDS.replace("read", "buy")],
        ["CALL.POST", CUSTOMER, REQUEST_ID, FIELDS, "body"],
        ["CALL.POST", CUSTOMER, REQUEST_ID, FIELDS.replace("read", "post"), "body"],
        ["CALL.GET", CUSTOMER, REQUEST_ID, b"\xff" + FIELDS.encode() + b"\xff=\xff"],
    ],
)
def test_bad_command_gets_an_error_and_the_connection_stays_open(words):
    async def test():
        server = FakeServer()
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(resp(*words), call(7))
            assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() == b"0000000000000007"
            assert len(server.commands) == 1

    run(test())


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$x\r\n",
        b"*0\r\n",
        b"*1\r\n:5\r\n",
        b"+OK\r\n",
        b"-ERR\r\n",
        b"*-1\r\n",
        b"*4000000000\r\n",
        b"\x00\xff\r\n",
        b"*1\r\n*1\r\n$4\r\nPING\r\n",
    ],
)
def test_malformed_resp_gets_an_error_and_a_close_after_the_earlier_replies(malformed):
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            peer, other = await gateway.connect_client(), await gateway.connect_client()
            peer.send(call(1), malformed)
            await server.until(lambda: len(server.commands) == 1)
            server.writers[0].write(server_reply(b"value"))
            assert await peer.reply() == b"value"
            assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() is None
            assert await other.ask(resp("PING")) == b"PONG"

    run(test())


@pytest.mark.parametrize(
    "malformed",
    [  # each ends with the first byte that makes it invalid
        b"*100000000\r\n",
        b"*65\r\n",
        b"*2\r\n$4\r\nPING\r\n*",
        b"*1\r\n$65537\r\n",
        b"*4\r\n$500000000\r\n",
        b"*000000000000000",
    ],
)
@pytest.mark.parametrize("chunk_size", [1, 7, 100])
def test_lengths_out_of_bounds_never_reach_the_parser(malformed, chunk_size):
    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peer = await gateway.connect_client()
            sent = resp("PING") + malformed
            for start in range(0, len(sent), chunk_size):
                peer.send(sent[start : start + chunk_size])
                await asyncio.sleep(0)
            assert await peer.reply() == b"PONG"
            assert (await peer.reply()).startswith("-ERR ")  # although the command is incomplete
            assert await peer.reply() is None

    run(test())


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 5, 17, 1000])
def test_lengths_within_bounds_all_reach_the_parser(chunk_size):
    lengths = DeclaredLengths(MAX_WORD_BYTES)
    stream = call(1, "post", body=b"*9\r\n$9\r\n" * 9) + resp("PING") + resp("A", "", "c")
    pieces = [stream[start : start + chunk_size] for start in range(0, len(stream), chunk_size)]
    assert [lengths.count_valid(piece) for piece in pieces] == [len(piece) for piece in pieces]
    assert not lengths.is_incomplete()


@pytest.mark.parametrize("is_replies", [False, True])
@pytest.mark.parametrize("chunk_size", [1, 2, 3, 4, 5, 17, 1000])
@pytest.mark.parametrize("end", [b"xy", b"\rx", b"x\n", b"\n\r", b"*1"])
def test_word_without_its_line_end_is_never_completed_by_the_parser(is_replies, chunk_size, end):
    lengths, accepted = DeclaredLengths(MAX_WORD_BYTES, is_replies), b""
    stream = b"*2\r\n$4\r\nPING\r\n$3\r\nabc" + end + b"*1\r\n$4\r\nPING\r\n"
    for start in range(0, len(stream), chunk_size):
        piece = stream[start : start + chunk_size]
        valid = lengths.count_valid(piece)
        accepted += piece[:valid]
        if valid < len(piece):
            break
    parser = hiredis.Reader()
    parser.feed(accepted)
    assert len(accepted) < len(stream)
    assert parser.gets() is False


def test_command_longer_than_declared_gets_an_error_and_is_not_forwarded():
    async def test():
        server = FakeServer()
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1).removesuffix(b"\r\n") + b"ab")
            assert await peer.reply() == "-ERR Protocol error"
            assert await peer.reply() is None
            assert not server.commands

    run(test())


def test_consecutive_bad_commands_close_the_connection_and_a_request_resets_their_count():
    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peer, bad_commands = await gateway.connect_client(), (MAX_BAD_COMMANDS - 1) * [resp("JUNK")]
            for number in range(3):
                peer.send(*bad_commands, call(number))
                for _ in bad_commands:
                    assert await peer.reply() == "-ERR unknown command"
                assert await peer.reply() == b"%016x" % number
            peer.send(*bad_commands, resp("CALL.GET"))
            for _ in range(MAX_BAD_COMMANDS):
                assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() is None

    run(test())


def test_second_request_with_an_id_in_flight_gets_an_error_and_the_first_is_served():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            peer, other = await gateway.connect_client(), await gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            assert (await other.ask(call(1))).startswith("-ERR ")
            server.writers[0].write(server_reply(b"value"))
            assert await peer.reply() == b"value"

    run(test())


def test_client_disconnect_ends_its_attempts_and_removes_all_its_state():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1), call(2))
            await server.until(lambda: len(server.commands) == 2)
            peer.writer.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.requests
            assert not gateway.servers.connections
            await server.until(lambda: server.closed_connections == 2)

    run(test())


def test_reading_pauses_while_a_client_is_slow_and_no_reply_is_lost():
    async def test():
        value = b"v" * 65536
        server = FakeServer(lambda words: server_reply(words[2] + value))
        async with local_gateway(server) as gateway:
            peer, many = await gateway.connect_client(), 300
            peer.reader._limit = 1  # the stream stops reading at once
            peer.send(*(call(number, timeout_ms=60_000) for number in range(many)))
            (client,) = gateway.clients.connections
            await until(lambda: client.replies.is_stuck)
            assert client.throttle.is_paused
            assert len(client.replies.slots) <= MAX_PIPELINED
            assert client.transport.get_write_buffer_size() <= (MAX_PIPELINED + 2) * (len(value) + 100)
            for number in range(many):
                assert await peer.reply() == b"%016x" % number + value

    run(test())


def test_request_beyond_the_quota_is_rejected_immediately_and_not_sent():
    async def test():
        server = FakeServer()
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            answers = [await peer.ask(call(number, plan="tiny")) for number in range(4)]
            assert answers[0] == b"0000000000000000"
            assert set(answers[1:]) == {"-BUSY"}
            assert len(server.commands) == 1

    run(test())


def test_connection_beyond_the_limit_evicts_an_idle_one_or_else_gets_an_error():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server, most_connections=2) as gateway:
            idle, busy = await gateway.connect_client(), await gateway.connect_client()
            assert await idle.ask(resp("PING")) == b"PONG"
            busy.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            third = await gateway.connect_client()
            third.send(call(2))
            assert await idle.reply() is None
            await server.until(lambda: len(server.commands) == 2)
            fourth = await gateway.connect_client()
            assert (await fourth.reply()).startswith("-ERR ")
            server.writers[0].write(server_reply(b"value"))
            assert await busy.reply() == b"value"

    run(test())


def test_ping_gets_no_pong_before_the_server_list_is_known():
    async def test():
        async with local_gateway() as gateway:
            gateway.clients.ready = False
            peer = await gateway.connect_client()
            assert (await peer.ask(resp("PING"))).startswith("-LOADING")
            gateway.clients.ready = True
            assert await peer.ask(resp("PING")) == b"PONG"

    run(test())


def test_oversized_command_gets_an_error_and_other_clients_are_served():
    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peer = await gateway.connect_client()
            peer.send(b"*4\r\n$500000000\r\n", b"x" * 2 * MAX_COMMAND_BYTES)
            assert (await peer.reply()).startswith("-ERR ")
            assert await (await gateway.connect_client()).ask(resp("PING")) == b"PONG"

    run(test())


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"*",
        b"*4\r\n$8\r\nCALL",
        resp("PING"),
        resp("PING") + b"*4\r\n$8\r\nCALL.GET\r\n$",
    ],
)
def test_peer_without_a_complete_request_is_closed_with_an_error_for_a_partial_command(monkeypatch, sent):
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.5)

    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peer = await gateway.connect_client()
            peer.send(sent)
            if sent.startswith(resp("PING")):
                assert await peer.reply() == b"PONG"
            if sent not in (b"", resp("PING")):
                assert (await peer.reply()).startswith("-ERR ")
            assert await peer.reply() is None
            await until(lambda: not gateway.clients.connections)

    run(test())


@pytest.mark.parametrize("is_first", [True, False])
def test_bytes_that_a_busy_process_has_not_read_in_time_are_read_before_the_command_times_out(
    is_first, monkeypatch
):
    """The process is held up beyond a client's time for a command, whose rest has arrived meanwhile.

    The timer ran before the read: the client got an error for a command that it had sent in time.
    """
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.1)

    async def test():
        async with local_gateway(FakeServer()) as gateway:
            raw = RawClient(gateway.clients.listener.getsockname()[1])
            if not is_first:
                raw.send(call(1))
                await raw.read(len(VALUE_OF_AN_ID))
            raw.send(call(2)[:20])
            connections = gateway.clients.connections
            await until(lambda: any(client.stream.is_within_command() for client in connections))
            raw.send(call(2)[20:])
            time.sleep(0.2)  # the event loop stands still
            assert await raw.read(len(VALUE_OF_AN_ID)) == VALUE_OF_AN_ID

    run(test())


def test_client_that_sent_a_request_may_be_idle_or_wait_for_its_reply(monkeypatch):
    monkeypatch.setattr(command_timer_module, "COMMAND_TIMEOUT_S", 0.5)

    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else server_reply(b"value"))
        async with local_gateway(server) as gateway:
            idle, waiting = await gateway.connect_client(), await gateway.connect_client()
            assert await idle.ask(call(2)) == b"value"
            waiting.send(call(1))
            await server.until(lambda: len(server.commands) == 2)
            late = await gateway.connect_client()  # times out later than the others would
            assert await late.reply() is None
            assert await idle.ask(call(3)) == b"value"
            for writer in server.writers:
                writer.write(server_reply(b"value"))
            assert await waiting.reply() == b"value"

    run(test())


def test_commands_read_but_not_parsed_yet_are_served_at_shutdown():
    async def test():
        held = []
        server = FakeServer(
            lambda words: held.append(words) if len(held) < MAX_PIPELINED else server_reply(b"v")
        )
        async with local_gateway(server) as gateway:
            peer, more = await gateway.connect_client(), 6
            peer.send(*(call(number) for number in range(MAX_PIPELINED + more)))
            await server.until(lambda: len(held) == MAX_PIPELINED)
            gateway.clients.stop_listening()
            first = next(
                n
                for n, words in zip(server.connection_numbers, server.commands, strict=True)
                if int(words[2], 16) == 0
            )
            for number, writer in enumerate(server.writers):
                if number != first:
                    writer.write(server_reply(b"v"))
            await until(lambda: len(gateway.driver.requests) == 1)
            server.writers[first].write(server_reply(b"v"))  # all replies that are due are written in one go
            for _ in range(MAX_PIPELINED + more):
                assert await peer.reply() == b"v"
            assert await peer.reply() is None

    run(test())


def test_new_connections_at_once_do_not_evict_the_same_idle_one():
    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peers = []
            for _ in range(3):
                peers.append(await gateway.connect_client())
                assert await peers[-1].ask(resp("PING")) == b"PONG"
            gateway.clients.most_connections = 1
            newest = list(gateway.clients.connections)[-1]
            gateway.clients.register(newest)
            gateway.clients.register(newest)  # before the event loop has seen the first eviction
            assert await peers[0].reply() is None
            assert await peers[1].reply() is None
            assert await peers[2].ask(resp("PING")) == b"PONG"

    run(test())
