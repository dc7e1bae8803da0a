"""Two events that cross on a client's connection. Each crossing is forced by its order: bytes are in the
gateway's kernel, unread, as the other event comes, which is a call between two turns of the loop."""

import asyncio
import socket
import struct
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, Raw, array, call, node, resp, run, until

from quota_gateway import Plan, SetServing
from quota_gateway.net.clients import connection as connection_module
from quota_gateway.net.clients import registry as registry_module
from quota_gateway.net.clients.reply_queue import MAX_PIPELINED

BUSY = b"-ERR max number of clients reached\r\n"


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def port(gateway) -> int:
    return gateway.clients.listener.getsockname()[1]


async def used(gateway, command: bytes = b"") -> Raw:
    """A client that has been served and rests."""
    raw = Raw(port(gateway))
    raw.send(command or call(900 + len(gateway.clients.connections)))
    assert await raw.read(len(bulk(b"v"))) == bulk(b"v")
    return raw


def server() -> FakeServer:
    return FakeServer(lambda words: array(b"v"))


CLOSES = {
    "stop": lambda clients: clients.stop_listening(),
    "drain": lambda clients: clients.set_serving(SetServing(False, 0.0)),
    "fewer connections": lambda clients: clients.reconfigure(SETTINGS, 1),
}


@pytest.mark.parametrize("why", CLOSES)
@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_request_written_in_the_instant_of_a_close_is_served_and_the_end_comes_behind_its_answer(why, kind):
    async def test():
        async with node(server()) as gateway:
            raw, _ = await used(gateway), await used(gateway)
            raw.send(call(1, kind))
            CLOSES[why](gateway.clients)
            answer = bulk(b"v")
            assert await raw.read(len(answer)) == answer
            if why != "fewer connections":
                assert await raw.rest() == (b"", "end")

    run(test())


def test_connection_in_the_listeners_queue_at_the_stop_is_served():
    async def test():
        async with node(server()) as gateway:
            raws = [Raw(port(gateway)) for _ in range(5)]
            for number, raw in enumerate(raws):
                raw.send(call(number))
            gateway.clients.stop_listening()  # before the loop could accept any of them
            for raw in raws:
                assert await raw.rest() == (bulk(b"v"), "end")

    run(test())


@pytest.mark.parametrize("wrote", [True, False])
def test_connection_that_was_reset_in_the_queue_does_not_hide_those_behind_it_at_the_stop(wrote):
    async def test():
        async with node(server()) as gateway:
            gone, behind = Raw(port(gateway)), Raw(port(gateway))
            if wrote:
                gone.send(call(1))
            gone.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            gone.sock.close()  # by a reset
            behind.send(call(2))
            gateway.clients.stop_listening()
            assert await behind.rest() == (bulk(b"v"), "end")
            await until(gateway.clients.has_ended)

    run(test())


def test_new_connection_without_a_request_at_the_stop_may_still_send_it_for_a_moment(monkeypatch):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with node(server()) as gateway:
            raw = Raw(port(gateway))
            gateway.clients.stop_listening()
            await until(lambda: len(gateway.clients.connections) == 1)
            raw.send(call(1))
            assert await raw.rest() == (bulk(b"v"), "end")

    run(test())


def test_half_a_command_at_the_stop_is_served_if_its_rest_comes_soon(monkeypatch):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with node(server()) as gateway:
            raw, command = await used(gateway), call(1)
            raw.send(command[:20])
            await until(
                lambda: any(client.stream.is_within_command() for client in gateway.clients.connections)
            )
            gateway.clients.stop_listening()
            raw.send(command[20:])
            assert await raw.rest() == (bulk(b"v"), "end")

    run(test())


def test_request_that_is_here_unread_at_the_last_moment_of_the_stop_is_served(monkeypatch):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with node(server()) as gateway:
            raws = [Raw(port(gateway)), await used(gateway)]
            raws[1].send(call(1)[:20])
            await until(
                lambda: any(client.stream.is_within_command() for client in gateway.clients.connections)
            )
            gateway.clients.stop_listening()
            await until(lambda: len(gateway.clients.connections) == 2)
            raws[0].send(call(2))
            raws[1].send(call(1)[20:])
            gateway.clients._end_grace()  # before the loop could read any of them
            for raw in raws:
                assert await raw.rest() == (bulk(b"v"), "end")

    run(test())


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("late", [False, True])
def test_connection_that_is_taken_over_at_the_stop_is_served_and_ends(monkeypatch, asked, late):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with node(server()) as gateway:
            gateway.clients.stop_listening()
            if late:
                gateway.clients._end_grace()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                raw = Raw(listener.getsockname()[1])
                sock, _ = listener.accept()
            sock.setblocking(False)
            raw.send(call(1))
            gateway.clients.adopt(sock, asked, 0.0)
            assert not gateway.clients.has_ended()
            assert await raw.rest() == (bulk(b"v"), "end")
            await until(gateway.clients.has_ended)

    run(test())


@pytest.mark.parametrize("parts", [1, 0])
def test_command_whose_rest_comes_after_the_last_moment_of_the_stop_is_never_forwarded(monkeypatch, parts):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 0.0)
    monkeypatch.setattr(connection_module, "LINGER_S", 3600.0)

    async def test():
        fake = server()
        async with node(fake) as gateway:
            raw, command = await used(gateway), call(1)
            served = len(fake.commands)
            raw.send(command[: 20 * parts])
            (client,) = gateway.clients.connections
            await until(lambda: client.stream.is_within_command() == bool(parts))
            gateway.clients.stop_listening()
            assert await raw.rest() == (b"", "end")
            raw.send(command[20 * parts :], call(2))  # it crosses the end that the gateway has sent
            await until(lambda: client.throttle.discarded_bytes >= len(command) - 20 * parts)
            raw.sock.close()
            await until(lambda: not gateway.clients.lingering)
            assert len(fake.commands) == served
            assert not gateway.driver.requests

    run(test())


@pytest.mark.parametrize("behind", [b"*4\r\n$8\r\nCALL", b"junk\r\n" * 20])
def test_answer_that_the_client_has_not_taken_survives_bytes_that_cross_the_close(behind):
    value = bytes(60_000)

    async def test():
        async with node(FakeServer(lambda words: array(value))) as gateway:
            raw = Raw(port(gateway), room=2048)
            raw.send(call(1))
            await until(lambda: gateway.driver.metrics.requests_total and not gateway.driver.requests)
            raw.send(behind)
            gateway.clients.stop_listening()
            data, end = await raw.rest()
            assert data.startswith(bulk(value))
            assert end == "end"

    run(test())


def test_new_connection_beyond_the_limit_gets_its_error_although_its_request_is_there():
    async def test():
        async with node(FakeServer(lambda words: None), most_connections=1) as gateway:
            busy = Raw(port(gateway))
            busy.send(call(1))
            await until(lambda: len(gateway.driver.requests) == 1)
            raw = Raw(port(gateway))
            raw.send(call(2))
            assert await raw.rest() == (BUSY, "end")
            assert list(gateway.driver.requests) == [f"{1:016x}"]

    run(test())


def test_connection_with_a_request_unread_is_not_pushed_out_by_a_new_one():
    async def test():
        async with node(server()) as gateway:
            raw, newest = await used(gateway), await used(gateway)
            gateway.clients.most_connections = 1
            raw.send(call(1))
            gateway.clients.opened(list(gateway.clients.connections)[-1])
            answer = bulk(b"v")
            assert await raw.read(len(answer)) == answer
            assert await newest.rest() == (BUSY, "end")

    run(test())


def test_connections_that_linger_are_bounded(monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_S", 3600.0)
    monkeypatch.setattr(registry_module, "MAX_LINGERING", 2)

    async def test():
        async with node(FakeServer(lambda words: None), most_connections=1) as gateway:
            busy = Raw(port(gateway))
            busy.send(call(1))
            await until(lambda: len(gateway.driver.requests) == 1)
            raws = []
            for _ in range(6):
                raws.append(Raw(port(gateway)))
                assert await raws[-1].read(len(BUSY)) == BUSY
            await until(lambda: len(gateway.clients.lingering) == 2)
            assert len(gateway.clients.connections) == 1

    run(test())


def test_what_is_thrown_away_behind_a_close_is_bounded(monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_S", 3600.0)

    async def test():
        async with node(server()) as gateway:
            raw = Raw(port(gateway))
            raw.send(b"junk\r\n")
            await until(lambda: bool(gateway.clients.lingering))
            with pytest.raises(OSError):  # noqa: PT011, PT012  reset or broken pipe, by whichever write meets it
                while True:
                    raw.send(bytes(65536))
                    await asyncio.sleep(0)
            await until(lambda: not gateway.clients.lingering)

    run(test())


@pytest.mark.parametrize(
    "more",
    [
        [call(number) for number in range(MAX_PIPELINED, 200)],
        [call(number, "buy", body=bytes(60_000)) for number in range(MAX_PIPELINED, MAX_PIPELINED + 4)],
    ],
    ids=["many", "long"],
)
def test_client_that_leaves_with_as_many_in_flight_as_may_be_is_noticed(more):
    async def test():
        fake = FakeServer(lambda words: None)
        async with node(fake) as gateway:
            raw = Raw(port(gateway))
            raw.send(*(call(number) for number in range(MAX_PIPELINED)), *more)
            await fake.until(lambda: len(fake.commands) == MAX_PIPELINED)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.requests
            assert gateway.driver.metrics.disconnected_total == MAX_PIPELINED
            assert len(fake.commands) == MAX_PIPELINED

    run(test())


def test_broken_peer_gets_its_error_whatever_it_sends_behind_it():
    async def test():
        async with node(server()) as gateway:
            raw = Raw(port(gateway))
            raw.send(resp("PING"), b"junk\r\n", bytes(200_000))
            data, end = await raw.rest()
            assert data == b"+PONG\r\n-ERR Protocol error\r\n"
            assert end == "end"

    run(test())


def test_client_of_a_broken_command_that_leaves_while_the_one_before_it_is_in_flight_is_noticed():
    async def test():
        fake = FakeServer(lambda words: None)
        async with node(fake) as gateway:
            raw = Raw(port(gateway))
            raw.send(call(1), b"junk\r\n")
            await fake.until(lambda: len(fake.commands) == 1)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.requests
            assert gateway.driver.metrics.disconnected_total == 1

    run(test())


@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_time_that_a_command_waited_behind_as_many_as_may_be_in_flight_is_not_given_again(kind):
    first = range(MAX_PIPELINED)
    classes = tuple(
        replace(one, latency_objective_ms=60_000.0, deadline_ms=60_000.0) for one in SETTINGS.classes
    )

    async def test():
        fake = FakeServer(lambda words: array(b"v") if int(words[2], 16) not in first else None)
        async with node(fake, classes=classes) as gateway:
            raw = Raw(port(gateway))
            raw.send(
                *(call(number, wait=60_000) for number in first),
                call(1000, kind, wait=6000),
                call(1001, kind, wait=1000),
            )
            await fake.until(lambda: len(fake.commands) == MAX_PIPELINED)
            (client,) = gateway.clients.connections
            assert client.is_parsing_blocked  # both are read, and wait
            clock = gateway.driver.clock
            gateway.driver.clock = lambda: clock() + 2000.0
            for number in (0, 1):
                at = [int(words[2], 16) for words in fake.commands].index(number)
                fake.writers[fake.by[at]].write(array(b"v"))
            await until(lambda: gateway.driver.metrics.requests_total == MAX_PIPELINED + 2)
            await until(lambda: len(gateway.driver.requests) == MAX_PIPELINED - 2)
            behind = [words for words in fake.commands if int(words[2], 16) not in first]
            assert [int(words[2], 16) for words in behind] == [1000]  # the other one's time is up
            assert told(behind[0]) <= 4000

    run(test())


def told(words: list[bytes]) -> int:
    """The time that a server was told, ms."""
    return int(dict(part.split(b"=") for part in words[3].split(b","))[b"d"])


@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("kind", ["read", "post", "buy"])
@pytest.mark.parametrize("waits", ["held", "queued", "under a cap"])
def test_request_whose_client_left_while_it_waited_is_never_forwarded(waits, kind, leaves, can_cancel):
    plans = (Plan("free"), Plan("held", rate=4.0, burst=1.0), Plan("under a cap", max_in_flight=1))
    limits = replace(SETTINGS.limits, can_cancel=can_cancel)

    async def test():
        fake = FakeServer(lambda words: None if words[2].endswith(b"9") else array(b"v"))
        async with node(fake, plans=plans, limits=limits, gateways=1) as gateway:
            first, raw = Raw(port(gateway)), Raw(port(gateway))
            plan = "free" if waits == "queued" else waits
            if waits == "queued":
                gateway.told()  # no server is ready
            else:
                first.send(call(9, "read", plan))
                await fake.until(lambda: len(fake.commands) == 1)
            raw.send(call(1, kind, plan))
            await until(lambda: f"{1:016x}" in gateway.driver.requests)
            before = len(fake.commands)
            if leaves:
                raw.sock.close()
                await until(lambda: gateway.driver.metrics.disconnected_total == 1)
            match waits:  # what it waited for comes
                case "held":
                    clock = gateway.driver.clock
                    gateway.driver.clock = lambda: clock() + 1000.0
                    gateway.driver.timers.fire()
                case "queued":
                    gateway.told(fake.entry(1))
                case "under a cap":
                    fake.writers[0].write(array(b"v"))
                    await until(lambda: f"{9:016x}" not in gateway.driver.requests)
            if leaves:
                await used(gateway, call(2, "read", "free"))  # a request behind it is served
                assert [words[2] for words in fake.commands[before:]] == [b"%016x" % 2]
            else:
                assert await raw.read(len(bulk(b"v"))) == bulk(b"v")

    run(test())
