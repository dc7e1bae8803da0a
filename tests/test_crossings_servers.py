"""Two events that cross on a connection to a server. A gate holds back the end of the handshake, so that
whatever is to cross it has come before it."""

import asyncio
from dataclasses import replace

import pytest
from fakes import SETTINGS, FakeServer, Raw, array, call, node, run, until
from test_net_driver import Script, scripted
from test_net_servers import Ends

from brackenloft import KeyScope, Limits, ListKind, Send, ServerState, Status

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
                    gateway.told(fake.entry(1, state=ServerState.GONE), kind=ListKind.CHANGES)
                case "restart":  # the process that was connected to is another's by now: asked for anew
                    gateway.told(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                    gateway.told(fake.entry(1, started_ms=1.0), kind=ListKind.CHANGES)
                    gateway.told(fake.entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
                case "client left":
                    raw.sock.close()
                    await until(lambda: gateway.driver.figures.gone == 1)
                case "time over":
                    ahead(gateway, 60_000.0)
            gate.open.set()
            await settled(gateway)
            await until(lambda: not gateway.driver.calls)
            if crossing != "client left":
                assert (await raw.read(5)) == b"-BUSY"  # it never ran
            assert not fake.commands and gateway.driver.figures.served == 0

    run(test())


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("scope", list(KeyScope))
def test_repeat_is_not_written_once_its_window_has_ended_while_it_was_connected_for(limits, scope):
    key = replace(SETTINGS.classes[1], key_scope=scope, key_memory_ms=1000.0)

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
            assert await raw.read(5) == (b"-BUSY" if scope is KeyScope.ALL else b"-ERR ")
            await settled(gateway)
            assert len(fake.commands) == 1

    run(test())


@pytest.mark.parametrize("memory_ms, sent", [(60_000.0, 2), (1.0, 1)])
def test_repeat_within_its_window_is_written(memory_ms, sent):
    async def test():
        answers = iter([b"", array(b"v")])
        fake = FakeServer(lambda words: next(answers))
        key = replace(SETTINGS.classes[1], key_memory_ms=memory_ms)
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
                gateway.servers.stop_unsent(attempt)
            assert await held.status() is Status.CONNECT_FAILED and sent.empty()

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
            await until(lambda: gateway.driver.figures.gone == 1)
            gate.open.set()
            await until(lambda: not gateway.driver.calls)
            assert not marks(gateway)

    run(test())


def marks(gateway) -> list:
    return [mark for server in gateway.driver.gateway.servers.values() for mark in server.marks.values()]


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
