"""Races between two events on a client's connection, such as a request that arrives during a close.

Each race is forced by its order: bytes are in the gateway's kernel, unread, when the other event happens.
That event is a call between two iterations of the event loop.
"""

import asyncio
import socket
import struct
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, RawClient, call, local_gateway, port, resp, run, server_reply, until

from quota_gateway import Plan, SetServing
from quota_gateway.net.clients import connection as connection_module
from quota_gateway.net.clients import registry as registry_module
from quota_gateway.net.clients import reply_queue as reply_queue_module
from quota_gateway.net.clients.reply_queue import MAX_PIPELINED

TOO_MANY_CONNECTIONS = b"-ERR max number of clients reached\r\n"


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


async def connect_and_request(gateway, command: bytes = b"") -> RawClient:
    """Connect a client that sends one request and reads its reply; it is idle afterwards."""
    raw = RawClient(port(gateway))
    raw.send(command or call(900 + len(gateway.clients.connections)))
    assert await raw.read(len(bulk(b"v"))) == bulk(b"v")
    return raw


def server() -> FakeServer:
    return FakeServer(lambda words: server_reply(b"v"))


CLOSES = {
    "stop": lambda clients: clients.stop_listening(),
    "drain": lambda clients: clients.set_serving(SetServing(False, 0.0)),
    "fewer connections": lambda clients: clients.reconfigure(SETTINGS, 1),
}


@pytest.mark.parametrize("close_event", CLOSES)
@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_request_sent_just_before_a_close_is_served_and_the_close_follows_its_reply(close_event, kind):
    async def test():
        async with local_gateway(server()) as gateway:
            raw, _ = await connect_and_request(gateway), await connect_and_request(gateway)
            raw.send(call(1, kind))
            CLOSES[close_event](gateway.clients)
            answer = bulk(b"v")
            assert await raw.read(len(answer)) == answer
            if close_event != "fewer connections":
                assert await raw.read_to_end() == (b"", "end")

    run(test())


def test_connection_in_the_listener_queue_at_shutdown_is_served():
    async def test():
        async with local_gateway(server()) as gateway:
            raws = [RawClient(port(gateway)) for _ in range(5)]
            for number, raw in enumerate(raws):
                raw.send(call(number))
            gateway.clients.stop_listening()  # before the event loop could accept any of them
            for raw in raws:
                assert await raw.read_to_end() == (bulk(b"v"), "end")

    run(test())


@pytest.mark.parametrize("request_sent", [True, False])
def test_connection_reset_in_the_listener_queue_does_not_hide_later_ones_at_shutdown(request_sent):
    async def test():
        async with local_gateway(server()) as gateway:
            gone, behind = RawClient(port(gateway)), RawClient(port(gateway))
            if request_sent:
                gone.send(call(1))
            gone.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            gone.sock.close()  # sends a reset
            behind.send(call(2))
            gateway.clients.stop_listening()
            assert await behind.read_to_end() == (bulk(b"v"), "end")
            await until(gateway.clients.has_ended)

    run(test())


def test_new_connection_may_send_its_first_request_in_the_grace_period_of_the_shutdown(monkeypatch):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with local_gateway(server()) as gateway:
            raw = RawClient(port(gateway))
            gateway.clients.stop_listening()
            await until(lambda: len(gateway.clients.connections) == 1)
            raw.send(call(1))
            assert await raw.read_to_end() == (bulk(b"v"), "end")

    run(test())


def test_partial_command_at_shutdown_is_served_if_completed_in_the_grace_period(monkeypatch):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with local_gateway(server()) as gateway:
            raw, command = await connect_and_request(gateway), call(1)
            raw.send(command[:20])
            await until(
                lambda: any(client.stream.is_within_command() for client in gateway.clients.connections)
            )
            gateway.clients.stop_listening()
            raw.send(command[20:])
            assert await raw.read_to_end() == (bulk(b"v"), "end")

    run(test())


def test_unread_request_at_the_end_of_the_grace_period_is_served(monkeypatch):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with local_gateway(server()) as gateway:
            raws = [RawClient(port(gateway)), await connect_and_request(gateway)]
            raws[1].send(call(1)[:20])
            await until(
                lambda: any(client.stream.is_within_command() for client in gateway.clients.connections)
            )
            gateway.clients.stop_listening()
            await until(lambda: len(gateway.clients.connections) == 2)
            raws[0].send(call(2))
            raws[1].send(call(1)[20:])
            gateway.clients._end_grace()  # before the event loop could read any of them
            for raw in raws:
                assert await raw.read_to_end() == (bulk(b"v"), "end")

    run(test())


@pytest.mark.parametrize("had_request", [True, False])
@pytest.mark.parametrize("late", [False, True])
def test_connection_adopted_during_shutdown_is_served_and_closed(monkeypatch, had_request, late):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 3600.0)

    async def test():
        async with local_gateway(server()) as gateway:
            gateway.clients.stop_listening()
            if late:
                gateway.clients._end_grace()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                raw = RawClient(listener.getsockname()[1])
                sock, _ = listener.accept()
            sock.setblocking(False)
            raw.send(call(1))
            gateway.clients.adopt(sock, had_request, 0.0)
            assert not gateway.clients.has_ended()
            assert await raw.read_to_end() == (bulk(b"v"), "end")
            await until(gateway.clients.has_ended)

    run(test())


@pytest.mark.parametrize("parts", [1, 0])
def test_command_completed_after_the_grace_period_is_never_forwarded(monkeypatch, parts):
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 0.0)
    monkeypatch.setattr(connection_module, "LINGER_S", 3600.0)

    async def test():
        fake = server()
        async with local_gateway(fake) as gateway:
            raw, command = await connect_and_request(gateway), call(1)
            served = len(fake.commands)
            raw.send(command[: 20 * parts])
            (client,) = gateway.clients.connections
            await until(lambda: client.stream.is_within_command() == bool(parts))
            gateway.clients.stop_listening()
            assert await raw.read_to_end() == (b"", "end")
            raw.send(command[20 * parts :], call(2))  # arrives after the gateway has half-closed
            await until(lambda: client.throttle.discarded_bytes >= len(command) - 20 * parts)
            raw.sock.close()
            await until(lambda: not gateway.clients.lingering)
            assert len(fake.commands) == served
            assert not gateway.driver.requests

    run(test())


@pytest.mark.parametrize("behind", [b"*4\r\n$8\r\nCALL", b"junk\r\n" * 20])
def test_unread_reply_survives_bytes_that_arrive_during_the_close(behind):
    value = bytes(60_000)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(value))) as gateway:
            raw = RawClient(port(gateway), receive_buffer_bytes=2048)
            raw.send(call(1))
            await until(lambda: gateway.driver.metrics.requests_total and not gateway.driver.requests)
            raw.send(behind)
            gateway.clients.stop_listening()
            data, end = await raw.read_to_end()
            assert data.startswith(bulk(value))
            assert end == "end"

    run(test())


def test_new_connection_beyond_the_limit_gets_an_error_although_its_request_has_arrived():
    async def test():
        async with local_gateway(FakeServer(lambda words: None), most_connections=1) as gateway:
            busy = RawClient(port(gateway))
            busy.send(call(1))
            await until(lambda: len(gateway.driver.requests) == 1)
            raw = RawClient(port(gateway))
            raw.send(call(2))
            assert await raw.read_to_end() == (TOO_MANY_CONNECTIONS, "end")
            assert list(gateway.driver.requests) == [f"{1:016x}"]

    run(test())


def test_connection_with_an_unread_request_is_not_evicted_for_a_new_one():
    async def test():
        async with local_gateway(server()) as gateway:
            raw, newest = await connect_and_request(gateway), await connect_and_request(gateway)
            gateway.clients.most_connections = 1
            raw.send(call(1))
            gateway.clients.register(list(gateway.clients.connections)[-1])
            answer = bulk(b"v")
            assert await raw.read(len(answer)) == answer
            assert await newest.read_to_end() == (TOO_MANY_CONNECTIONS, "end")

    run(test())


def test_number_of_lingering_connections_is_limited(monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_S", 3600.0)
    monkeypatch.setattr(registry_module, "MAX_LINGERING", 2)

    async def test():
        async with local_gateway(FakeServer(lambda words: None), most_connections=1) as gateway:
            busy = RawClient(port(gateway))
            busy.send(call(1))
            await until(lambda: len(gateway.driver.requests) == 1)
            raws = []
            for _ in range(6):
                raws.append(RawClient(port(gateway)))
                assert await raws[-1].read(len(TOO_MANY_CONNECTIONS)) == TOO_MANY_CONNECTIONS
            await until(lambda: len(gateway.clients.lingering) == 2)
            assert len(gateway.clients.connections) == 1

    run(test())


def test_input_discarded_after_a_close_is_limited(monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_S", 3600.0)

    async def test():
        async with local_gateway(server()) as gateway:
            raw = RawClient(port(gateway))
            raw.send(b"junk\r\n")
            await until(lambda: bool(gateway.clients.lingering))
            with pytest.raises(OSError):  # noqa: PT011, PT012  reset or broken pipe, depending on the write
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
def test_disconnect_of_a_client_with_the_maximum_in_flight_is_detected(more):
    async def test():
        fake = FakeServer(lambda words: None)
        async with local_gateway(fake) as gateway:
            raw = RawClient(port(gateway))
            raw.send(*(call(number) for number in range(MAX_PIPELINED)), *more)
            await fake.until(lambda: len(fake.commands) == MAX_PIPELINED)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.requests
            assert gateway.driver.metrics.disconnected_total == MAX_PIPELINED
            assert len(fake.commands) == MAX_PIPELINED

    run(test())


def test_peer_gets_its_protocol_error_whatever_it_sends_afterwards():
    async def test():
        async with local_gateway(server()) as gateway:
            raw = RawClient(port(gateway))
            raw.send(resp("PING"), b"junk\r\n", bytes(200_000))
            data, end = await raw.read_to_end()
            assert data == b"+PONG\r\n-ERR Protocol error\r\n"
            assert end == "end"

    run(test())


def test_disconnect_after_a_malformed_command_is_detected_while_an_earlier_request_is_in_flight():
    async def test():
        fake = FakeServer(lambda words: None)
        async with local_gateway(fake) as gateway:
            raw = RawClient(port(gateway))
            raw.send(call(1), b"junk\r\n")
            await fake.until(lambda: len(fake.commands) == 1)
            raw.sock.close()
            await until(lambda: not gateway.clients.connections)
            assert not gateway.driver.requests
            assert gateway.driver.metrics.disconnected_total == 1

    run(test())


@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_time_that_a_command_waited_for_the_maximum_in_flight_counts_towards_its_timeout(kind):
    first = range(MAX_PIPELINED)
    classes = tuple(
        replace(item, latency_objective_ms=60_000.0, deadline_ms=60_000.0) for item in SETTINGS.classes
    )

    async def test():
        fake = FakeServer(lambda words: server_reply(b"v") if int(words[2], 16) not in first else None)
        async with local_gateway(fake, classes=classes) as gateway:
            raw = RawClient(port(gateway))
            raw.send(
                *(call(number, timeout_ms=60_000) for number in first),
                call(1000, kind, timeout_ms=6000),
                call(1001, kind, timeout_ms=1000),
            )
            await fake.until(lambda: len(fake.commands) == MAX_PIPELINED)
            (client,) = gateway.clients.connections
            assert client.is_parsing_blocked  # both were read and wait
            clock = gateway.driver.clock
            gateway.driver.clock = lambda: clock() + 2000.0
            for number in (0, 1):
                position = [int(words[2], 16) for words in fake.commands].index(number)
                fake.writers[fake.connection_numbers[position]].write(server_reply(b"v"))
            await until(lambda: gateway.driver.metrics.requests_total == MAX_PIPELINED + 2)
            await until(lambda: len(gateway.driver.requests) == MAX_PIPELINED - 2)
            behind = [words for words in fake.commands if int(words[2], 16) not in first]
            assert [int(words[2], 16) for words in behind] == [1000]  # the other one has timed out
            assert sent_timeout_ms(behind[0]) <= 4000

    run(test())


def test_later_reads_do_not_give_a_command_that_waits_more_time(monkeypatch):
    """A command waits behind others while its client sends more.

    It was taken to have waited since the latest read: the server was told more time than the client had left.
    """
    monkeypatch.setattr(reply_queue_module, "MAX_PIPELINED", 1)
    classes = tuple(
        replace(item, latency_objective_ms=60_000.0, deadline_ms=60_000.0) for item in SETTINGS.classes
    )

    async def test():
        fake = FakeServer(lambda words: server_reply(b"v") if int(words[2], 16) else None)
        async with local_gateway(fake, classes=classes) as gateway:
            raw = RawClient(port(gateway))
            half = call(3, timeout_ms=6000)[:20]
            raw.send(call(0, timeout_ms=60_000), call(1, timeout_ms=6000), call(2, timeout_ms=6000), half)
            await fake.until(lambda: len(fake.commands) == 1)
            (client,) = gateway.clients.connections
            clock = gateway.driver.clock
            gateway.driver.clock = lambda: clock() + 2000.0
            before = client.total_read_bytes
            raw.send(call(3, timeout_ms=6000)[20:], call(4, timeout_ms=6000))
            await until(lambda: client.total_read_bytes > before)
            gateway.driver.clock = lambda: clock() + 3000.0
            fake.writers[0].write(server_reply(b"v"))
            await fake.until(lambda: len(fake.commands) == 5)
            left_ms = [sent_timeout_ms(words) for words in fake.commands[1:]]
            assert [round((6000 - left) / 1000) for left in left_ms] == [3, 3, 1, 1]

    run(test())


def sent_timeout_ms(words: list[bytes]) -> int:
    """The timeout in a command that was sent to a server, in ms."""
    return int(dict(part.split(b"=") for part in words[3].split(b","))[b"d"])


@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("disconnects", [True, False])
@pytest.mark.parametrize("kind", ["read", "post", "buy"])
@pytest.mark.parametrize("waits_for", ["held", "queued", "under a cap"])
def test_waiting_request_of_disconnected_client_is_never_forwarded(waits_for, kind, disconnects, can_cancel):
    plans = (Plan("free"), Plan("held", rate=4.0, burst=1.0), Plan("under a cap", max_in_flight=1))
    limits = replace(SETTINGS.limits, can_cancel=can_cancel)

    async def test():
        fake = FakeServer(lambda words: None if words[2].endswith(b"9") else server_reply(b"v"))
        async with local_gateway(fake, plans=plans, limits=limits, gateways=1) as gateway:
            first, raw = RawClient(port(gateway)), RawClient(port(gateway))
            plan = "free" if waits_for == "queued" else waits_for
            if waits_for == "queued":
                gateway.update_servers()  # no server is ready
            else:
                first.send(call(9, "read", plan))
                await fake.until(lambda: len(fake.commands) == 1)
            raw.send(call(1, kind, plan))
            await until(lambda: f"{1:016x}" in gateway.driver.requests)
            before = len(fake.commands)
            if disconnects:
                raw.sock.close()
                await until(lambda: gateway.driver.metrics.disconnected_total == 1)
            match waits_for:  # whatever the request waits for happens
                case "held":
                    clock = gateway.driver.clock
                    gateway.driver.clock = lambda: clock() + 1000.0
                    gateway.driver.timers.fire()
                case "queued":
                    gateway.update_servers(fake.entry(1))
                case "under a cap":
                    fake.writers[0].write(server_reply(b"v"))
                    await until(lambda: f"{9:016x}" not in gateway.driver.requests)
            if disconnects:
                await connect_and_request(gateway, call(2, "read", "free"))  # a later request is served
                assert [words[2] for words in fake.commands[before:]] == [b"%016x" % 2]
            else:
                assert await raw.read(len(bulk(b"v"))) == bulk(b"v")

    run(test())
