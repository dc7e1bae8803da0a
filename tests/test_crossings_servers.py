"""Two events that cross on a connection to a server. A gate holds back the end of the handshake, so that
whatever is to cross it has come before it."""

import asyncio
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, Raw, array, call, node, run, until
from test_net_driver import Script, scripted
from test_net_servers import Ends

from quota_gateway import Idempotency, IdempotencyScope, Limits, ListKind, Send, ServerState, Status
from quota_gateway.net.servers import pool as pool_module

KINDS = ["read", "post", "buy"]
FREE = Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=60_000.0)
LIMITS = {"cancel": FREE, "no cancel": replace(FREE, can_cancel=False, may_duplicate=False)}


class Gate:
    """The loop, but connections come up only when the gate is open, or not at all."""

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


def port(gateway) -> int:
    return gateway.clients.listener.getsockname()[1]


def ahead(gateway, ms: float) -> None:
    """The decisions' clock, and the driver's, go on by so much."""
    clock = gateway.driver.clock
    gateway.driver.clock = lambda: clock() + ms


async def settled(gateway) -> None:
    """Every connection that was on its way has come up or has ended."""
    await until(lambda: all(one.transport for one in gateway.servers.connections))


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("crossing", ["drain", "gone", "restart", "client left", "time over"])
def test_no_first_byte_on_a_connection_that_comes_up_too_late(limits, kind, crossing):
    async def test():
        fake = FakeServer()
        async with node(fake, limits=LIMITS[limits]) as gateway:
            gate, raw = Gate(gateway), Raw(port(gateway))
            raw.send(call(1, kind))
            await until(lambda: bool(gate.sockets))
            match crossing:
                case "drain":
                    gateway.told(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                case "gone":
                    gateway.told(fake.entry(1, state=ServerState.REMOVED), kind=ListKind.CHANGES)
                case "restart":  # the process that was connected to is another's by now: asked for anew
                    gateway.told(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                    gateway.told(fake.entry(1, started_ms=1.0), kind=ListKind.CHANGES)
                    gateway.told(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                case "client left":
                    raw.sock.close()
                    await until(lambda: gateway.driver.metrics.disconnected_total == 1)
                case "time over":
                    ahead(gateway, 60_000.0)
            gate.open.set()
            await settled(gateway)
            await until(lambda: not gateway.driver.requests)
            if crossing != "client left":
                assert (await raw.read(5)) == b"-BUSY"  # it never ran
            assert not fake.commands
            assert gateway.driver.metrics.served_total == 0
            await let_go(gate)

    run(test())


async def let_go(gate: Gate) -> None:
    """No socket object keeps a descriptor that the loop has closed: it would close another's later."""
    for _ in range(100):
        await asyncio.sleep(0)
    assert [sock.fileno() for sock in gate.sockets] == [-1] * len(gate.sockets)


@pytest.mark.parametrize("turns", range(6))
@pytest.mark.parametrize("crossing", ["drain", "stopped"])
def test_descriptor_of_a_connection_that_ends_as_it_comes_up_is_closed_once(crossing, turns):
    async def test():
        fake = FakeServer()
        async with node(fake) as gateway:
            gate, ends = Gate(gateway), Ends()
            attempt = ends.attempt()
            gateway.servers.start(1, attempt)
            await until(lambda: bool(gate.sockets))
            gate.open.set()
            for _ in range(turns):  # of the loop, between its connection and its first byte
                await asyncio.sleep(0)
            if crossing == "drain":
                gateway.told(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
            gateway.servers.cancel(attempt, Status.CANCELLED)
            assert await ends.status() in (Status.CANCELLED, Status.CONNECT_FAILED)
            assert not gateway.servers.connections
            await let_go(gate)

    run(test())


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("scope", list(IdempotencyScope))
def test_repeat_is_not_written_once_its_window_has_ended_while_it_was_connected_for(limits, scope):
    key = replace(SETTINGS.classes[1], idempotency_scope=scope, idempotency_window_ms=1000.0)

    async def test():
        fake = FakeServer(lambda words: b"")  # takes the command and hangs up: it may have run
        classes = (SETTINGS.classes[0], key, SETTINGS.classes[2])
        async with node(fake, limits=LIMITS[limits], classes=classes) as gateway:
            raw, gate = Raw(port(gateway)), Gate(gateway)
            gate.open.set()
            raw.send(call(1, "post"))
            await until(lambda: bool(fake.commands))
            gate.open.clear()
            await until(lambda: len(gate.sockets) == 2)
            ahead(gateway, 1500.0)
            gate.open.set()
            assert await raw.read(5) == (b"-BUSY" if scope is IdempotencyScope.ALL else b"-ERR ")
            await settled(gateway)
            assert len(fake.commands) == 1

    run(test())


@pytest.mark.parametrize(("memory_ms", "sent"), [(60_000.0, 2), (1.0, 1)])
def test_repeat_within_its_window_is_written(memory_ms, sent):
    async def test():
        answers = iter([b"", array(b"v")])
        fake = FakeServer(lambda words: next(answers))
        key = replace(SETTINGS.classes[1], idempotency_window_ms=memory_ms)
        async with node(fake, classes=(SETTINGS.classes[0], key, SETTINGS.classes[2])) as gateway:
            raw = Raw(port(gateway))
            raw.send(call(1, "post"))
            assert await raw.read(2) == (b"$1" if sent == 2 else b"-E")
            assert len(fake.commands) == sent

    run(test())


def test_command_whose_last_byte_is_held_up_is_given_up_and_one_that_went_out_is_waited_for():
    async def test():
        fake = FakeServer(lambda words: None)
        async with node(fake) as gateway:
            sent, held = Ends(), Ends()
            out = sent.attempt()
            gateway.servers.start(1, out)
            await fake.until(lambda: len(fake.commands) == 1)
            long = held.attempt(bytes(64_000_000))
            gateway.servers.start(1, long)
            await until(lambda: bool(long.connection.transport))
            for attempt in (out, long):
                gateway.servers.cancel_unsent(attempt)
            assert await held.status() is Status.CONNECT_FAILED
            assert sent.empty()

    run(test())


@pytest.mark.usefixtures("no_rest")
def test_second_attempt_that_comes_up_after_the_answer_is_not_sent():
    async def test():
        quick, late = FakeServer(lambda words: array(b"v")), FakeServer()
        async with node(quick, late) as gateway:
            ends = Ends()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.OK  # so that one connection is there
            gate = Gate(gateway)
            script = Script(Request=lambda e: [Send("r", 1), Send("r", 2)])
            answers = scripted(gateway, script)
            await until(lambda: bool(answers) and bool(gate.sockets))
            gate.open.set()
            await until(lambda: len(script.outcomes()) == 2)
            assert script.outcomes() == [(0, Status.OK, True), (1, Status.NOT_SENT, True)]
            assert not late.commands

    run(test())


def test_what_never_went_out_is_not_held_against_its_server():
    async def test():
        fake = FakeServer()
        async with node(fake, limits=LIMITS["no cancel"]) as gateway:
            gate, raw = Gate(gateway), Raw(port(gateway))
            raw.send(call(1))
            await until(lambda: bool(gate.sockets))
            raw.sock.close()
            await until(lambda: gateway.driver.metrics.disconnected_total == 1)
            gate.open.set()
            await until(lambda: not gateway.driver.requests)
            assert not marks(gateway)

    run(test())


def marks(gateway) -> list:
    servers = gateway.driver.gateway.endpoints.servers
    return [record for server in servers.values() for record in server.failure_records.values()]


def test_socket_whose_transport_can_not_be_made_is_closed():
    async def test():
        async with node(FakeServer()) as gateway:
            gate, ends = Gate(gateway, broken=True), Ends()
            gate.open.set()
            gateway.servers.start(1, ends.attempt())
            assert await ends.status() is Status.CONNECT_FAILED
            await until(lambda: gate.sockets[0].fileno() < 0)
            assert not gateway.servers.connections

    run(test())


# ---- Answers


def test_second_answer_that_comes_behind_the_next_command_is_not_taken_for_its_answer(monkeypatch):
    monkeypatch.setattr(pool_module, "REUSE_DELAY_S", 3600.0)

    async def test():
        def answer(words):
            if words[2].endswith(b"2"):
                fake.writers[0].write(array(b"of the first, once more"))
            return array(words[2])

        fake = FakeServer(answer)
        async with node(fake) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == b"%016x" % 1
            assert await peer.ask(call(2)) == b"%016x" % 2
            await fake.until(lambda: fake.ended == 1)  # what came out of turn has ended its connection
            assert await peer.ask(call(3)) == b"%016x" % 3

    run(test())


def test_connection_that_has_rested_is_used_again_before_an_older_one(monkeypatch):
    monkeypatch.setattr(pool_module, "REUSE_DELAY_S", 0.0)

    async def test():
        fake = FakeServer()
        async with node(fake) as gateway:
            peer = await gateway.peer()
            for number in range(4):
                assert await peer.ask(call(number)) == b"%016x" % number
            assert fake.by == [0, 0, 0, 0]

    run(test())


# A value that is longer than it declares, and figures that are: no line's end where one has to be.
RUN_ON = [
    b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n",
    b"*3\r\n$4\r\nabcd\r$$-1\r\n$-1\r\n",
    b"*3\r\n$0\r\nx\n$-1\r\n$-1\r\n",
    b"*3\r\n$1\r\nv\r\n$4\r\ncost=1$-1\r\n",
]


@pytest.mark.parametrize("cut", [None, *range(1, 24)])
@pytest.mark.parametrize("run_on", RUN_ON)
def test_answer_that_runs_on_beyond_its_declared_length_is_broken_however_it_is_cut(run_on, cut):
    async def test():
        def answer(words):
            if fake.commands[0] is not words:
                return array(words[2])
            fake.writers[0].write(run_on[:cut])
            return None

        fake = FakeServer(answer)
        async with node(fake) as gateway:
            peer = await gateway.peer()
            peer.send(call(1, "buy"))
            await fake.until(lambda: len(fake.commands) == 1)
            if cut:
                await until(
                    lambda: (
                        not gateway.driver.requests
                        or any(one.decoder.holds_partial_reply() for one in gateway.servers.connections)
                    )
                )
                fake.writers[0].write(run_on[cut:])
            assert await peer.reply() == "-ERR failed"  # it may have run
            assert await peer.ask(call(2, "buy")) == b"%016x" % 2
            assert fake.by == [0, 1]

    run(test())


@pytest.mark.parametrize(
    "broken",
    [
        b"+OK\r\n",
        b"$1\r\nv\r\n",
        b"*0\r\n",
        b"*1\r\n:5\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        array(b"v") * 2,
        array(b"v") + b"*3\r\n$1",
        b"+half a li",
        b"*3\r\n$1\r\nv\r\n$",
        *RUN_ON,
    ],
)
def test_connection_of_a_broken_answer_is_never_used_again(monkeypatch, broken):
    monkeypatch.setattr(pool_module, "REUSE_DELAY_S", 0.0)

    async def test():
        answers = iter([broken])
        fake = FakeServer(lambda words: next(answers, array(words[2])))
        async with node(fake) as gateway:
            peer = await gateway.peer()
            if b"ha" in broken or broken.endswith(b"v\r\n$"):  # it never ends: its client leaves
                peer.send(call(1))
                await fake.until(lambda: len(fake.commands) == 1)
                peer.writer.close()
                await fake.until(lambda: fake.ended == 1)
                peer = await gateway.peer()
            else:
                await peer.ask(call(1))
            assert await peer.ask(call(2)) == b"%016x" % 2
            assert fake.by[-1] > 0

    run(test())


@pytest.mark.parametrize("breaks", [b"", array(b"v")[:-3], b"*3\r\n$100\r\nhalf", b"-ERR fail"])
@pytest.mark.parametrize("kind", KINDS)
def test_server_that_breaks_off_costs_each_request_one_answer_and_no_unsafe_one_runs_twice(kind, breaks):
    async def test():
        def answer(words):
            if breaks:
                bad.writers[bad.by[-1]].write(breaks)
            return b""

        bad, good = FakeServer(answer), FakeServer()
        async with node(bad, good) as gateway:
            peer = await gateway.peer()
            for number in range(12):
                reply = await peer.ask(call(number, kind))
                ran_at_bad = any(int(words[2], 16) == number for words in bad.commands)
                assert reply == (b"%016x" % number if kind != "buy" or not ran_at_bad else "-ERR failed")
            sent = [words[2] for words in bad.commands + good.commands]
            assert bad.commands
            assert kind != "buy" or len(sent) == len(set(sent)) == 12

    run(test())


def test_effects_of_the_table_are_all_there():
    assert {item.idempotency for item in SETTINGS.classes} == set(Idempotency)
