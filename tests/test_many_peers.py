"""Hundreds of peers at once, or one that floods its connection, beside steady clients of a real process."""

import asyncio
import socket
from pathlib import Path

import pytest
from fakes import (
    FakeServer,
    call,
    connect_with_small_buffer,
    local_gateway,
    port,
    resp,
    run,
    server_reply,
    until,
)
from test_net_process import program, ready_client

from quota_gateway.net.clients import registry as registry_module

MEMORY_LIMIT_KIB = 192 * 1024  # the deployment's: above it the platform kills the process
PEERS = 400
REPLY_BYTES = 60_000
STEADY_REQUESTS = 200


def peak_memory_kib(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


MANY_FIELDS = "c=read,t=free,d=4000,units=1," + ",".join(f"n{number:x}=" for number in range(8000))


PIECES = {
    "read long answers slowly": lambda peer: b"".join(
        call(peer * 100 + n, timeout_ms=60_000) for n in range(8)
    ),
    "stop in a large body": lambda peer: call(peer, "post", body=b"b" * 65536)[:-100],
    "stop within many large words": lambda peer: (
        b"*64\r\n" + resp("b" * 65536)[4:] * 2 + b"$65536\r\n" + b"b" * 60_000
    ),
    "send many short fields": lambda peer: b"".join(
        resp("CALL.GET", f"{peer:016x}", f"{peer * 100 + number:x}", MANY_FIELDS) for number in range(8)
    ),
}


@pytest.mark.parametrize("behaviour", PIECES)
def test_memory_stays_below_its_limit_with_hundreds_of_peers(tmp_path, behaviour):
    """Guards against a process that is killed for its memory while hundreds of clients are slow."""

    async def test():
        loop = asyncio.get_running_loop()
        server = await FakeServer(lambda words: server_reply(b"v" * REPLY_BYTES)).start()
        async with program(tmp_path, server) as (process, clients_port, discovery):
            steady = await ready_client(clients_port, discovery, server)
            assert await steady.ask(call(1)) == b"v" * REPLY_BYTES
            socks = [await connect_with_small_buffer(clients_port) for _ in range(PEERS)]
            sending = [
                asyncio.create_task(loop.sock_sendall(sock, PIECES[behaviour](number)))
                for number, sock in enumerate(socks, 1)
            ]
            for number in range(STEADY_REQUESTS):
                answer = await steady.ask(call(10_000_000 + number, timeout_ms=60_000))
                assert answer == b"v" * REPLY_BYTES or answer.startswith("-BUSY")
                await asyncio.sleep(0.01)
            for task in sending:  # peers that are not read any more wait on
                task.cancel()
            await asyncio.gather(*sending, return_exceptions=True)
            for sock in socks:
                sock.close()
            assert process.returncode is None
            assert peak_memory_kib(process.pid) < MEMORY_LIMIT_KIB

    run(test())


def test_words_that_are_too_long_together_are_rejected_as_they_are_declared():
    """Guards against peers that stop within several large words: each held 192 KiB of memory."""

    async def test():
        async with local_gateway(FakeServer()) as gateway:
            peer = await gateway.connect_client()
            peer.send(b"*5\r\n$9\r\nCALL.POST\r\n$65536\r\n", b"x" * 65536, b"\r\n$65536\r\nx")
            assert await peer.reply() == "-ERR Protocol error"
            assert await peer.reply() is None

    run(test())


def test_request_with_very_many_fields_is_rejected_and_its_connection_stays_open():
    """Guards against heads of thousands of short fields, each of which cost time and memory."""

    async def test():
        server = FakeServer(lambda words: server_reply(b"v"))
        async with local_gateway(server) as gateway:
            peer = await gateway.connect_client()
            fields = resp("CALL.GET", f"{1:016x}", f"{1:x}", MANY_FIELDS)
            assert await peer.ask(fields) == "-ERR too many names and values"
            assert await peer.ask(call(2)) == b"v"
            assert len(server.commands) == 1

    run(test())


# ---- One peer that floods its connection


COMMANDS_PER_TURN = 64  # at most, of one connection, while others wait: as many as may be in flight


def unsound_commands(count: int) -> list[bytes]:
    """Requests of a class that does not exist, with a sound one in between that keeps the connection open."""
    return [call(number, "read" if number % 12 == 0 else "unknown-class") for number in range(1, count + 1)]


@pytest.mark.parametrize(
    "commands", [[resp("PING")] * 20_000, unsound_commands(2000)], ids=["pings", "unsound"]
)
def test_event_loop_turns_to_other_clients_between_the_commands_of_a_flood(commands):
    """Guards against clients that wait for seconds while one connection sends at full speed."""

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(b"v"))) as gateway:
            loop = asyncio.get_running_loop()
            handled_per_turn = [0]
            dispatch = gateway.clients.dispatcher.dispatch

            def count_and_dispatch(client, command):
                handled_per_turn[-1] += 1
                dispatch(client, command)

            def begin_turn():
                handled_per_turn.append(0)
                loop.call_soon(begin_turn)

            gateway.clients.dispatcher.dispatch = count_and_dispatch
            begin_turn()
            peer = await gateway.connect_client()
            peer.send(*commands)
            while sum(handled_per_turn) < len(commands):
                assert await peer.reader.read(1 << 20)
            assert max(handled_per_turn) <= COMMANDS_PER_TURN

    run(test())


def test_commands_of_several_turns_are_all_answered_before_the_error_for_what_follows_them():
    """Guards against commands that are dropped, and a connection that hangs, if junk follows them."""

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(b"v"))) as gateway:
            peer = await gateway.connect_client()
            peer.send(*(call(number) for number in range(1, 31)), b"junk\r\n")
            for _ in range(30):
                assert await peer.reply() == b"v"
            assert await peer.reply() == "-ERR Protocol error"
            assert await peer.reply() is None

    run(test())


def test_commands_that_wait_stay_within_their_limit_while_others_are_handled(monkeypatch):
    """Guards against memory that grows for as long as a peer sends faster than its requests are answered.

    Each command that was handled reset the count of bytes that wait, and reading went on.
    """
    limit_bytes = 256 * 1024
    monkeypatch.setattr(registry_module, "MAX_WAITING_BYTES", limit_bytes)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(b"v"))) as gateway:
            peer = await gateway.connect_client()
            size = len(call(1))
            sent = [call(number) for number in range(1, 20_000)]
            handled = 0
            most_held = 0
            dispatch = gateway.clients.dispatcher.dispatch

            def count_and_dispatch(client, command):
                nonlocal handled, most_held
                handled += 1
                most_held = max(most_held, client.total_read_bytes - handled * size)
                dispatch(client, command)

            gateway.clients.dispatcher.dispatch = count_and_dispatch
            peer.send(*sent)
            while handled < 2000:
                assert await peer.reader.read(1 << 16)
            assert most_held <= 2 * limit_bytes

    run(test())


# ---- Clients that leave with much still unread


BEHIND = {  # a client's request
    "no commands": b"junk\r\n" * 500_000,
    "commands": b"".join(call(number, "buy", body=bytes(1000)) for number in range(2, 150)),
    "more commands than the kernel takes": b"".join(
        call(number, "buy", body=bytes(60_000)) for number in range(2, 130)
    ),
}


@pytest.mark.parametrize("kind", ["read", "post", "buy"])
@pytest.mark.parametrize("behind", BEHIND)
def test_waiting_request_is_not_forwarded_if_its_client_left_behind_unread_bytes(monkeypatch, kind, behind):
    """Guards against running requests of clients that sent much at once and went.

    The client's end stands behind bytes that the gateway does not read while the request waits.
    """
    monkeypatch.setattr(registry_module, "MAX_WAITING_BYTES", 64 * 1024)

    async def test():
        fake = FakeServer(lambda words: server_reply(b"v"))
        async with local_gateway(fake) as gateway:
            gateway.update_servers()  # no server is ready: the request waits
            sock = socket.create_connection(("127.0.0.1", port(gateway)))
            sock.setblocking(False)
            sending = asyncio.create_task(
                asyncio.get_running_loop().sock_sendall(sock, call(1, kind) + BEHIND[behind])
            )
            await until(lambda: f"{1:016x}" in gateway.driver.requests)
            await asyncio.wait([sending], timeout=0.5)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            sock.close()
            await asyncio.sleep(0.1)  # the rule: nothing begins later than this after the close
            gateway.update_servers(fake.entry(1))
            peer = await gateway.connect_client()
            assert await peer.ask(call(1000)) == b"v"
            assert [words[2] for words in fake.commands] == [b"%016x" % 1000]
            await until(lambda: not gateway.driver.requests)

    run(test())


@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_id_that_comes_again_after_its_client_left_is_not_run_a_second_time(kind):
    """Guards against an id that runs twice: as its client left, an attempt was given up that may run."""

    async def test():
        fake = FakeServer(lambda words: None if words[2] == b"%016x" % 1 else server_reply(b"v"))
        async with local_gateway(fake) as gateway:
            first = await gateway.connect_client()
            first.send(call(1, kind))
            await fake.until(lambda: len(fake.commands) == 1)
            first.writer.close()
            await until(lambda: not gateway.driver.requests)
            second = await gateway.connect_client()
            assert await second.ask(call(1, kind)) == "-ERR a request of this id is in hand"
            assert await second.ask(call(2, kind)) == b"v"
            assert [words[2] for words in fake.commands] == [b"%016x" % 1, b"%016x" % 2]

    run(test())
