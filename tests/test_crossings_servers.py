"""Races on connections to servers, such as a server that drains while a connection to it is being opened.

A gate holds connections back until the other event has happened.
"""

import asyncio
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, RawClient, call, local_gateway, port, run, server_reply, until
from test_net_driver import FakePolicy, accept_request
from test_net_servers import OutcomeCollector

from quota_gateway import Idempotency, IdempotencyScope, Limits, ListKind, Send, ServerState, Status
from quota_gateway.net.servers import pool as pool_module

KINDS = ["read", "post", "buy"]
FREE = Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=60_000.0)
LIMITS = {"cancel": FREE, "no cancel": replace(FREE, can_cancel=False, may_duplicate=False)}


class Gate:
    """Stands in for the event loop: connects only once the gate is open; if broken, creates no transport."""

    def __init__(self, gateway, broken: bool = False) -> None:
        self.loop, self.open, self.broken = gateway.servers.loop, asyncio.Event(), broken
        self.sockets: list = []
        gateway.servers.loop = self

    def __getattr__(self, name: str):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address) -> None:
        self.sockets.append(sock)
        await self.open.wait()
        await self.loop.sock_connect(sock, address)

    async def create_connection(self, *arguments, **more):
        if self.broken:
            raise OSError("no transport")
        return await self.loop.create_connection(*arguments, **more)


def advance_clock(gateway, ms: float) -> None:
    """Move the clock of the driver and the policy code forward."""
    clock = gateway.driver.clock
    gateway.driver.clock = lambda: clock() + ms


async def wait_until_connections_settle(gateway) -> None:
    """Wait until each connection has a transport or has been closed."""
    await until(lambda: all(connection.transport for connection in gateway.servers.connections))


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("event", ["drain", "gone", "restart", "client left", "time over"])
def test_nothing_is_sent_on_a_connection_that_is_opened_too_late(limits, kind, event):
    async def test():
        fake = FakeServer()
        async with local_gateway(fake, limits=LIMITS[limits]) as gateway:
            gate, raw = Gate(gateway), RawClient(port(gateway))
            raw.send(call(1, kind))
            await until(lambda: bool(gate.sockets))
            match event:
                case "drain":
                    gateway.update_servers(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                case "gone":
                    gateway.update_servers(fake.entry(1, state=ServerState.REMOVED), kind=ListKind.CHANGES)
                case "restart":  # another process runs there now: it needs a new connection
                    gateway.update_servers(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                    gateway.update_servers(fake.entry(1, started_ms=1.0), kind=ListKind.CHANGES)
                    gateway.update_servers(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                case "client left":
                    raw.sock.close()
                    await until(lambda: gateway.driver.metrics.disconnected_total == 1)
                case "time over":
                    advance_clock(gateway, 60_000.0)
            gate.open.set()
            await wait_until_connections_settle(gateway)
            await until(lambda: not gateway.driver.requests)
            if event != "client left":
                assert (await raw.read(5)) == b"-BUSY"  # it never ran
            assert not fake.commands
            assert gateway.driver.metrics.served_total == 0
            await assert_descriptors_released(gate)

    run(test())


async def assert_descriptors_released(gate: Gate) -> None:
    """Check that no socket object keeps a descriptor that the loop closed: it would close another's later."""
    for _ in range(100):
        await asyncio.sleep(0)
    assert [sock.fileno() for sock in gate.sockets] == [-1] * len(gate.sockets)


@pytest.mark.parametrize("turns", range(6))
@pytest.mark.parametrize("event", ["drain", "stopped"])
def test_descriptor_of_a_connection_that_is_closed_while_being_opened_is_closed_once(event, turns):
    async def test():
        fake = FakeServer()
        async with local_gateway(fake) as gateway:
            gate, collector = Gate(gateway), OutcomeCollector()
            attempt = collector.attempt()
            gateway.servers.start(1, attempt)
            await until(lambda: bool(gate.sockets))
            gate.open.set()
            for _ in range(turns):  # of the event loop, between connecting and the first byte
                await asyncio.sleep(0)
            if event == "drain":
                gateway.update_servers(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
            gateway.servers.cancel(attempt, Status.CANCELLED)
            assert await collector.status() in (Status.CANCELLED, Status.CONNECT_FAILED)
            assert not gateway.servers.connections
            await assert_descriptors_released(gate)

    run(test())


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("scope", list(IdempotencyScope))
def test_retry_is_not_sent_if_its_idempotency_window_ends_while_the_connection_is_opened(limits, scope):
    key = replace(SETTINGS.classes[1], idempotency_scope=scope, idempotency_window_ms=1000.0)

    async def test():
        fake = FakeServer(lambda words: b"")  # takes the command and closes: it may have run
        classes = (SETTINGS.classes[0], key, SETTINGS.classes[2])
        async with local_gateway(fake, limits=LIMITS[limits], classes=classes) as gateway:
            raw, gate = RawClient(port(gateway)), Gate(gateway)
            gate.open.set()
            raw.send(call(1, "post"))
            await until(lambda: bool(fake.commands))
            gate.open.clear()
            await until(lambda: len(gate.sockets) == 2)
            advance_clock(gateway, 1500.0)
            gate.open.set()
            assert await raw.read(5) == (b"-BUSY" if scope is IdempotencyScope.ALL else b"-ERR ")
            await wait_until_connections_settle(gateway)
            assert len(fake.commands) == 1

    run(test())


@pytest.mark.parametrize(("memory_ms", "sent"), [(60_000.0, 2), (1.0, 1)])
def test_retry_is_sent_only_within_its_idempotency_window(memory_ms, sent):
    async def test():
        answers = iter([b"", server_reply(b"v")])
        fake = FakeServer(lambda words: next(answers))
        key = replace(SETTINGS.classes[1], idempotency_window_ms=memory_ms)
        async with local_gateway(fake, classes=(SETTINGS.classes[0], key, SETTINGS.classes[2])) as gateway:
            raw = RawClient(port(gateway))
            raw.send(call(1, "post"))
            assert await raw.read(2) == (b"$1" if sent == 2 else b"-E")
            assert len(fake.commands) == sent

    run(test())


def test_cancel_unsent_stops_only_an_attempt_whose_last_byte_was_not_sent():
    async def test():
        fake = FakeServer(lambda words: None)
        async with local_gateway(fake) as gateway:
            sent, unsent = OutcomeCollector(), OutcomeCollector()
            sent_attempt = sent.attempt()
            gateway.servers.start(1, sent_attempt)
            await fake.until(lambda: len(fake.commands) == 1)
            unsent_attempt = unsent.attempt(bytes(64_000_000))
            gateway.servers.start(1, unsent_attempt)
            await until(lambda: bool(unsent_attempt.connection.transport))
            for attempt in (sent_attempt, unsent_attempt):
                gateway.servers.cancel_unsent(attempt)
            assert await unsent.status() is Status.CONNECT_FAILED
            assert sent.empty()

    run(test())


@pytest.mark.usefixtures("immediate_connection_reuse")
def test_second_attempt_is_not_sent_if_it_connects_after_the_request_was_answered():
    async def test():
        quick, late = FakeServer(lambda words: server_reply(b"v")), FakeServer()
        async with local_gateway(quick, late) as gateway:
            collector = OutcomeCollector()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.OK  # leaves one idle connection
            gate = Gate(gateway)
            script = FakePolicy(Request=lambda e: [Send("r", 1), Send("r", 2)])
            answers = accept_request(gateway, script)
            await until(lambda: bool(answers) and bool(gate.sockets))
            gate.open.set()
            await until(lambda: len(script.outcomes()) == 2)
            assert script.outcomes() == [(0, Status.OK, True), (1, Status.NOT_SENT, True)]
            assert not late.commands

    run(test())


def test_attempt_that_was_never_sent_is_not_counted_as_a_failure_of_its_server():
    async def test():
        fake = FakeServer()
        async with local_gateway(fake, limits=LIMITS["no cancel"]) as gateway:
            gate, raw = Gate(gateway), RawClient(port(gateway))
            raw.send(call(1))
            await until(lambda: bool(gate.sockets))
            raw.sock.close()
            await until(lambda: gateway.driver.metrics.disconnected_total == 1)
            gate.open.set()
            await until(lambda: not gateway.driver.requests)
            assert not failure_records_of(gateway)

    run(test())


def failure_records_of(gateway) -> list:
    servers = gateway.driver.gateway.endpoints.servers
    return [record for server in servers.values() for record in server.failure_records.values()]


def test_socket_is_closed_if_its_transport_can_not_be_created():
    async def test():
        async with local_gateway(FakeServer()) as gateway:
            gate, collector = Gate(gateway, broken=True), OutcomeCollector()
            gate.open.set()
            gateway.servers.start(1, collector.attempt())
            assert await collector.status() is Status.CONNECT_FAILED
            await until(lambda: gate.sockets[0].fileno() < 0)
            assert not gateway.servers.connections

    run(test())


# ---- Replies


def test_duplicate_reply_is_not_taken_for_the_reply_to_the_next_command(monkeypatch):
    monkeypatch.setattr(pool_module, "REUSE_DELAY_S", 3600.0)

    async def test():
        def answer(words):
            if words[2].endswith(b"2"):
                fake.writers[0].write(server_reply(b"of the first, once more"))
            return server_reply(words[2])

        fake = FakeServer(answer)
        async with local_gateway(fake) as gateway:
            peer = await gateway.connect_client()
            assert await peer.ask(call(1)) == b"%016x" % 1
            assert await peer.ask(call(2)) == b"%016x" % 2
            # The reply without a request has closed its connection; the other one is used once.
            await fake.until(lambda: fake.closed_connections == 2)
            assert await peer.ask(call(3)) == b"%016x" % 3
            assert fake.connection_numbers == [0, 1, 2]

    run(test())


@pytest.mark.usefixtures("immediate_connection_reuse")
@pytest.mark.parametrize("is_glued", [True, False])
def test_no_connection_to_a_server_that_repeats_a_reply_is_used_again_until_it_restarts(is_glued):
    """A server repeats replies, some of them after it has stood still for a part of a second.

    Such a reply was served to the client whose request was in flight on that connection by then.
    """

    async def test():
        def answer(words):
            reply = server_reply(words[2])
            if words[2].endswith(b"3") and not fake.writers[1].is_closing():
                fake.writers[1].write(server_reply(b"%016x" % 2))  # of the request before, once more
            return reply * 2 if words[2].endswith(b"1") and is_glued else reply

        fake, other = FakeServer(answer), FakeServer()
        async with local_gateway(fake) as gateway:
            peer = await gateway.connect_client()
            assert await peer.ask(call(1)) == b"%016x" % 1
            if not is_glued:
                fake.writers[0].write(server_reply(b"%016x" % 1))
            await fake.until(lambda: fake.closed_connections == 1)
            assert await peer.ask(call(2)) == b"%016x" % 2
            assert await peer.ask(call(3)) == b"%016x" % 3
            assert fake.connection_numbers == [0, 1, 2]
            assert "1 second replies" in gateway.servers.describe_and_reset()

            await other.start()
            gateway.update_servers(other.entry(1), kind=ListKind.CHANGES)  # it has restarted elsewhere
            assert await peer.ask(call(4)) == b"%016x" % 4
            assert await peer.ask(call(5)) == b"%016x" % 5
            assert other.connection_numbers == [0, 0]

    run(test())


def test_idle_connection_past_its_reuse_delay_is_reused(monkeypatch):
    monkeypatch.setattr(pool_module, "REUSE_DELAY_S", 0.0)

    async def test():
        fake = FakeServer()
        async with local_gateway(fake) as gateway:
            peer = await gateway.connect_client()
            for number in range(4):
                assert await peer.ask(call(number)) == b"%016x" % number
            assert fake.connection_numbers == [0, 0, 0, 0]

    run(test())


# Replies with a value, or a field after it, longer than declared: CRLF is missing where it has to be.
OVERLONG_REPLIES = [
    b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n",
    b"*3\r\n$4\r\nabcd\r$$-1\r\n$-1\r\n",
    b"*3\r\n$0\r\nx\n$-1\r\n$-1\r\n",
    b"*3\r\n$1\r\nv\r\n$4\r\ncost=1$-1\r\n",
]


@pytest.mark.parametrize("cut", [None, *range(1, 24)])
@pytest.mark.parametrize("overlong_reply", OVERLONG_REPLIES)
def test_reply_longer_than_declared_fails_the_request_however_it_is_split(overlong_reply, cut):
    async def test():
        def answer(words):
            if fake.commands[0] is not words:
                return server_reply(words[2])
            fake.writers[0].write(overlong_reply[:cut])
            return None

        fake = FakeServer(answer)
        async with local_gateway(fake) as gateway:
            peer = await gateway.connect_client()
            peer.send(call(1, "buy"))
            await fake.until(lambda: len(fake.commands) == 1)
            if cut:
                await until(
                    lambda: (
                        not gateway.driver.requests
                        or any(
                            connection.decoder.holds_partial_reply()
                            for connection in gateway.servers.connections
                        )
                    )
                )
                fake.writers[0].write(overlong_reply[cut:])
            assert await peer.reply() == "-ERR failed"  # it may have run
            assert await peer.ask(call(2, "buy")) == b"%016x" % 2
            assert fake.connection_numbers == [0, 1]

    run(test())


@pytest.mark.parametrize(
    "broken",
    [
        b"+OK\r\n",
        b"$1\r\nv\r\n",
        b"*0\r\n",
        b"*1\r\n:5\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        server_reply(b"v") * 2,
        server_reply(b"v") + b"*3\r\n$1",
        b"+half a li",
        b"*3\r\n$1\r\nv\r\n$",
        *OVERLONG_REPLIES,
    ],
)
def test_connection_is_never_reused_after_a_malformed_or_extra_reply(monkeypatch, broken):
    monkeypatch.setattr(pool_module, "REUSE_DELAY_S", 0.0)

    async def test():
        answers = iter([broken])
        fake = FakeServer(lambda words: next(answers, server_reply(words[2])))
        async with local_gateway(fake) as gateway:
            peer = await gateway.connect_client()
            if b"ha" in broken or broken.endswith(b"v\r\n$"):  # incomplete: the client disconnects
                peer.send(call(1))
                await fake.until(lambda: len(fake.commands) == 1)
                peer.writer.close()
                await fake.until(lambda: fake.closed_connections == 1)
                peer = await gateway.connect_client()
            else:
                await peer.ask(call(1))
            assert await peer.ask(call(2)) == b"%016x" % 2
            assert fake.connection_numbers[-1] > 0

    run(test())


@pytest.mark.parametrize("partial_reply", [b"", server_reply(b"v")[:-3], b"*3\r\n$100\r\nhalf", b"-ERR fail"])
@pytest.mark.parametrize("kind", KINDS)
def test_each_request_is_answered_and_no_unsafe_one_sent_twice_if_a_server_closes_early(kind, partial_reply):
    async def test():
        def answer(words):
            if partial_reply:
                bad.writers[bad.connection_numbers[-1]].write(partial_reply)
            return b""

        bad, good = FakeServer(answer), FakeServer()
        async with local_gateway(bad, good) as gateway:
            peer = await gateway.connect_client()
            for number in range(12):
                reply = await peer.ask(call(number, kind))
                ran_at_bad = any(int(words[2], 16) == number for words in bad.commands)
                assert reply == (b"%016x" % number if kind != "buy" or not ran_at_bad else "-ERR failed")
            sent = [words[2] for words in bad.commands + good.commands]
            assert bad.commands
            assert kind != "buy" or len(sent) == len(set(sent)) == 12

    run(test())


def test_classes_under_test_cover_every_idempotency_kind():
    assert {item.idempotency for item in SETTINGS.classes} == set(Idempotency)
