"""The program as deploy/balancer.toml starts it: configuration, readiness, SIGTERM."""

import asyncio
import json
import logging
import os
import signal
import socket
import sys
import tomllib
from contextlib import asynccontextmanager, suppress
from math import inf
from pathlib import Path

import pytest
from fakes import SETTINGS as FAKE_SETTINGS
from fakes import (
    FakeDiscovery,
    FakeServer,
    Peer,
    Raw,
    array,
    call,
    chunk,
    listing,
    node,
    resp,
    row,
    run,
    until,
)
from test_simulator_adapter import ENV

from quota_gateway.process import shutdown as shutdown_module
from quota_gateway.process.log_limiter import RateLimitedLog
from quota_gateway.process.shutdown import GracefulShutdown

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
SETTINGS = {
    **ENV,
    "services": [{**ENV["services"][0], "name": "read", "hard_limit_ms": 60_000.0, "slo_ms": 30_000.0}],
    "tariffs": [{**ENV["tariffs"][0], "name": "free", "refill": 0.0, "most_at_once": 0.0}],
}


def command() -> str:
    """The deploy file's command; where its environment is not built, this interpreter in its place."""
    if (ROOT / ".venv" / "bin" / "python").exists():
        return RUN
    return RUN.replace(".venv/bin/python", sys.executable)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def test_passed_listener_is_adopted_and_outlives_the_program(tmp_path):
    async def test():
        server, admin_port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            at = f"127.0.0.1:{admin_port}"
            async with program(tmp_path, server, listener, EDGE_ADMIN=at) as (process, port, _):
                await healthy(admin_port)
                assert await (await connect(port)).ask(call(1)) == b"v"
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
            waiting = await connect(port)  # nobody accepts, and nobody refuses
            listener.setblocking(False)
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            connection.close()
            waiting.writer.close()

    run(test())


async def connect(port: int) -> Peer:
    """Connect as soon as the program listens."""
    while True:
        try:
            return await Peer().open(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


async def start(path, env, passed: socket.socket | None = None):
    """Start the program; where a listener is passed on, it is its descriptor 3, as on the platform."""
    if passed is None:
        return await asyncio.create_subprocess_shell(command(), cwd=ROOT, env=env)
    launch = "import os, sys; os.dup2(int(sys.argv[1]), 3); os.execv('/bin/sh', ['sh', '-c', sys.argv[2]])"
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        launch,
        str(passed.fileno()),
        command(),
        cwd=ROOT,
        env={**env, "EDGE_PASSED_SOCKET": "3"},
        pass_fds=[passed.fileno()],
    )


async def tell(port: int, line: str) -> str:
    """Call the admin endpoint; empty while there is none."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + b"\n")
        return (await reader.read()).decode()
    except OSError:
        return ""


async def healthy(port: int) -> None:
    while not (await tell(port, "HEALTH")).startswith("YES"):
        await asyncio.sleep(0.01)


@asynccontextmanager
async def program(tmp_path, server: FakeServer, passed: socket.socket | None = None, **more: str):
    """The running program, the port it listens on and the discovery it watches."""
    discovery = await FakeDiscovery().start()
    port = passed.getsockname()[1] if passed else free_port()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"generation": 1, "reset": True, "instances": [row("s-1", server.port)]},
                "settings": SETTINGS,
            }
        )
    )
    env = {
        **os.environ,
        "EDGE_CONFIG": str(path),
        "EDGE_NAME": "n0",
        "EDGE_LISTEN": f"127.0.0.1:{port}",
        "EDGE_DISCOVERY": f"127.0.0.1:{discovery.port}",
        "TMPDIR": str(tmp_path),
        **more,
    }
    process = await start(path, env, passed)
    try:
        yield process, port, discovery
    finally:
        await end(process)


async def end(process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


@asynccontextmanager
async def next_process(
    tmp_path, port: int, discovery: FakeDiscovery, passed: socket.socket | None = None, name: str = "n0"
):
    """A second process of the same gateway, and its own admin port."""
    admin_port = free_port()
    env = {
        **os.environ,
        "EDGE_CONFIG": str(tmp_path / "config.json"),
        "EDGE_NAME": name,
        "EDGE_LISTEN": f"127.0.0.1:{port}",
        "EDGE_DISCOVERY": f"127.0.0.1:{discovery.port}",
        "TMPDIR": str(tmp_path),
        "EDGE_ADMIN": f"127.0.0.1:{admin_port}",
    }
    process = await start(tmp_path / "config.json", env, passed)
    try:
        yield process, admin_port
    finally:
        await end(process)


def test_starts_is_ready_once_it_has_a_list_and_serves(tmp_path):
    async def test():
        server = await FakeServer(lambda words: array(b"v")).start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer = await connect(port)
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            while await peer.ask(resp("PING")) != b"PONG":
                await asyncio.sleep(0.01)
            assert await peer.ask(call(1)) == b"v"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_sigterm_answers_what_was_taken_and_closes_between_requests(tmp_path):
    """SIGTERM comes while requests run, one of them at a server that stays silent.

    A client whose connection closed under its request would not know whether it ran. Each request that was
    accepted gets its answer before SIGKILL, the silent one a rejection, and then its connection closes.
    """

    async def test():
        server = await FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"v")).start()
        async with program(tmp_path, server) as (process, port, _):
            idle, busy, silent = await connect(port), await connect(port), await connect(port)
            assert await idle.ask(call(2)) == b"v"
            silent.send(call(17, wait=60_000))
            busy.send(call(1, wait=60_000))
            await server.until(lambda: len(server.commands) == 3)
            process.send_signal(signal.SIGTERM)
            assert await idle.reply() is None
            number = next(
                n
                for n, words in zip(server.by, server.commands, strict=True)
                if words[2] == b"0000000000000001"
            )
            server.writers[number].write(array(b"late"))
            assert await busy.reply() == b"late"
            assert await busy.reply() is None
            # The server stays silent on this one, whose client would wait for a minute: refused in time.
            assert await silent.reply() == "-BUSY"
            assert await silent.reply() is None
            assert await process.wait() == 0

    run(test())


def test_sighup_reads_the_configuration_again_and_discovery_moves(tmp_path):
    async def test():
        server, other = FakeServer(lambda words: array(b"v")), FakeServer(lambda words: array(b"w"))
        await server.start()
        await other.start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer, path = await connect(port), tmp_path / "config.json"
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            while await peer.ask(call(1)) != b"v":
                await asyncio.sleep(0.01)
            document, moved = json.loads(path.read_text()), await FakeDiscovery().start()
            path.write_text("{")  # half written: read again until it is whole
            process.send_signal(signal.SIGHUP)
            assert await peer.ask(call(2)) == b"v"
            path.write_text(json.dumps({**document, "discovery": f"127.0.0.1:{moved.port}"}))
            process.send_signal(signal.SIGHUP)
            target, watch = await moved.watch()
            assert target.endswith("from=2")
            watch.write(chunk(listing(3, row("s-2", other.port), reset=True)))
            number = 2
            while await peer.ask(call(number := number + 1)) != b"w":
                await asyncio.sleep(0.01)
            assert process.returncode is None

    run(test())


def test_log_is_bounded_and_tells_how_much_is_missing():
    now = 7.0
    limiter = RateLimitedLog(lambda: now)

    def line() -> logging.LogRecord:
        return logging.LogRecord("n", logging.WARNING, "p", 1, "broken %s", ("x",), None)

    assert [limiter.filter(line()) for _ in range(30)] == [True] * 20 + [False] * 10
    now = 8.0
    first, second = line(), line()
    assert limiter.filter(first)
    assert limiter.filter(second)
    assert first.getMessage() == "broken x (10 lines left out)"
    assert second.getMessage() == "broken x"


def test_while_stopping_it_accepts_for_a_while_and_then_closes_between_requests(monkeypatch):
    """Clients go on sending after SIGTERM, as the load balancer learns late that the gateway stops.

    A gateway that closed at once would turn those requests into errors. It accepts new connections and
    answers until shortly before the end.
    """
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_WAIT_S", 1.0)
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", 0.8)  # accepts for 1 s, answers for 1.5 s

    async def test():
        async with node(FakeServer()) as gateway:
            old, clock = await gateway.peer(), asyncio.get_running_loop().time
            leaving = asyncio.ensure_future(
                GracefulShutdown(FAKE_SETTINGS, gateway.driver, gateway.clients).run()
            )
            ends = clock() + 0.5  # well before it takes no more, well after the front has been told
            while clock() < ends:
                await asyncio.sleep(0.01)
            assert await old.ask(call(2)) == b"0000000000000002"
            late = await gateway.peer()
            assert await late.ask(call(3)) == b"0000000000000003"
            assert await late.reply() is None
            assert await old.reply() is None
            await leaving
            assert not gateway.clients.connections

    run(test())


def test_operators_take_servers_out_and_drain_through_the_admin_endpoint(tmp_path):
    async def test():
        server, port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{port}") as (_, clients, discovery):
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            await healthy(port)
            peer = await connect(clients)
            assert (await tell(port, "OFFLINE s-9")).startswith("NO")
            assert (await tell(port, "ONLINE s-9")).startswith("NO")
            assert (await tell(port, "OFFLINE s-1")).startswith("YES")
            watch.write(chunk(listing(3, reset=True)))  # gone for discovery: still known as out
            while "once" not in await tell(port, "ONLINE s-1"):
                assert (await tell(port, "OFFLINE s-1")).startswith(("YES", "NO"))
            assert (await tell(port, "ONLINE s-1")).startswith("NO")
            watch.write(chunk(listing(4, row("s-1", server.port), reset=True)))
            while await peer.ask(call(free_port())) != b"v":
                await asyncio.sleep(0.01)
            assert (await tell(port, "LEAVE")).startswith("YES")
            assert (await peer.ask(resp("PING"))).startswith("-")
            assert (await tell(port, "HEALTH")).startswith("YES drained")
            assert (await tell(port, "JOIN")).startswith("YES")
            assert await peer.ask(resp("PING")) == b"PONG"

    run(test())


@pytest.mark.parametrize("by_platform", [True, False])
def test_upgrade_passes_connections_on_keeps_servers_out_and_ends_the_old_early(tmp_path, by_platform):
    def slow(words):
        return None if words[2].endswith(b"1") else array(b"v")

    async def test():
        one, two = await FakeServer(slow).start(), await FakeServer(slow).start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            passed, admin_port = listener if by_platform else None, free_port()
            async with program(tmp_path, one, passed, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (
                old,
                port,
                found,
            ):
                _, watch = await found.watch()
                watch.write(chunk(listing(2, row("s-1", one.port), row("s-2", two.port), reset=True)))
                await healthy(admin_port)
                while not (await tell(admin_port, "OFFLINE s-2")).startswith("YES"):
                    await asyncio.sleep(0.01)
                idle, busy = await connect(port), await connect(port)
                assert await idle.ask(call(2)) == b"v"
                busy.send(call(1, wait=60_000))
                await one.until(lambda: len(one.commands) == 2)
                two.commands.clear()
                async with next_process(tmp_path, port, found, passed) as (new, new_door):
                    await healthy(new_door)
                    assert "1 servers out" in await tell(new_door, "HEALTH")
                    assert (await tell(admin_port, "HEALTH")).startswith("NO")
                    assert await idle.ask(call(3)) == b"v"  # the connection is the new process's now
                    assert await (await connect(port)).ask(call(4)) == b"v"
                    # Called at the old endpoint, it holds for the new process too.
                    assert (await tell(admin_port, "LEAVE")).startswith("YES")
                    assert "drained" in await tell(new_door, "HEALTH")
                    assert (await tell(admin_port, "JOIN")).startswith("YES")
                    number = next(n for n, w in zip(one.by, one.commands, strict=True) if w[2].endswith(b"1"))
                    one.writers[number].write(array(b"late"))
                    assert await busy.reply() == b"late"
                    assert await busy.ask(call(5)) == b"v"
                    old.send_signal(signal.SIGTERM)
                    assert await old.wait() == 0
                    assert await busy.ask(call(6)) == b"v"
                    assert await idle.ask(call(7)) == b"v"
                    assert await (await connect(port)).ask(call(8)) == b"v"
                    assert not two.commands
                    assert (await tell(new_door, "ONLINE s-2")).startswith("YES")
                    new.send_signal(signal.SIGTERM)
                    assert await new.wait() == 0

    run(test())


def test_next_process_that_dies_leaves_the_old_one_serving(tmp_path):
    """The next process of an upgrade dies once it has taken over.

    Clients would find nobody at the address. The predecessor accepts again, with what operators asked of the
    dead one, and the next attempt at an upgrade finds it.
    """

    async def test():
        server, admin_port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (old, port, found):
            await healthy(admin_port)
            async with next_process(tmp_path, port, found) as (_, new_door):
                await healthy(new_door)
                assert (await tell(new_door, "LEAVE")).startswith("YES")
            await healthy(admin_port)
            assert "drained" in await tell(admin_port, "HEALTH")
            assert (await tell(admin_port, "JOIN")).startswith("YES")
            peer = await connect(port)
            assert await peer.ask(call(2)) == b"v"
            async with next_process(tmp_path, port, found) as (_, new_door):  # and another one may come
                await healthy(new_door)
                assert await peer.ask(call(3)) == b"v"
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0

    run(test())


def test_next_process_that_nothing_is_handed_to_waits_for_the_address_and_serves_when_it_is_free(tmp_path):
    async def test():
        server, admin_port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (old, port, found):
            await healthy(admin_port)
            async with next_process(tmp_path, port, found, name="other") as (new, new_door):
                while not await tell(new_door, "HEALTH"):
                    await asyncio.sleep(0.01)
                assert (await tell(new_door, "HEALTH")).startswith("NO")
                assert await (await connect(port)).ask(call(2)) == b"v"
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                await healthy(new_door)
                assert await (await connect(port)).ask(call(3)) == b"v"
                assert new.returncode is None

    run(test())


def faster(path, **plan) -> None:
    """The file, with another plan."""
    document = json.loads(path.read_text())
    document["settings"]["tariffs"][0].update(plan)
    path.write_text(json.dumps(document))


def test_configuration_is_changed_tried_and_taken_back_through_the_admin_endpoint(tmp_path):
    async def test():
        server, port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{port}") as (process, clients, _):
            await healthy(port)
            path = tmp_path / "config.json"
            faster(path, refill=-1)
            assert "settings.tariffs[0].refill: -1, want a number" in await tell(port, "RELOAD")
            faster(path, refill=5.0, most_at_once=50.0)
            assert (await tell(port, "RELOAD CONFIRM 60")).startswith("YES revision 2, 2 changes")
            assert "on trial for" in await tell(port, "CONFIG")
            assert await (await connect(clients)).ask(call(1)) == b"v"
            assert (await tell(port, "ROLLBACK")).startswith("YES revision 3")
            assert (await tell(port, "CONFIG")).startswith("YES revision 3")
            assert process.returncode is None

    run(test())


def test_way_back_after_an_upgrade_is_the_new_processs_own(tmp_path):
    async def test():
        server, admin_port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (old, port, found):
            await healthy(admin_port)
            path = tmp_path / "config.json"
            faster(path, refill=5.0, most_at_once=50.0)
            assert (await tell(admin_port, "RELOAD")).startswith("YES revision 2")
            peer = await connect(port)
            assert await peer.ask(call(1)) == b"v"
            async with next_process(tmp_path, port, found) as (new, new_door):
                await healthy(new_door)
                for line in ("RELOAD", "ROLLBACK", "CONFIRM"):
                    assert (await tell(admin_port, line)).startswith(
                        "NO"
                    )  # the old one changes nothing any more
                old.send_signal(signal.SIGHUP)
                assert (await tell(new_door, "CONFIG")).startswith("YES revision 1")
                assert "nothing to go back to" in await tell(new_door, "ROLLBACK")
                faster(path, refill=6.0)
                assert (await tell(new_door, "RELOAD")).startswith("YES revision 2")
                assert (await tell(new_door, "ROLLBACK")).startswith("YES revision 3")
                assert await peer.ask(call(2)) == b"v"
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                assert await (await connect(port)).ask(call(3)) == b"v"
                assert new.returncode is None

    run(test())


def test_sighup_never_ends_it_before_it_serves_in_a_drain_or_while_it_stops(tmp_path):
    """SIGHUP comes before the gateway serves, in a drain, and every half millisecond until it has ended.

    The default of the signal is to kill: requests in flight would be lost, and the exit would count as a
    crash. The gateway ends by SIGTERM alone, with exit code 0.
    """

    async def test():
        server, admin_port = await FakeServer(lambda words: array(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (process, port, found):
            while not await tell(admin_port, "HEALTH"):  # the endpoint opens before it serves
                await asyncio.sleep(0.001)
            process.send_signal(signal.SIGHUP)
            await healthy(admin_port)
            assert (await tell(admin_port, "LEAVE")).startswith("YES")
            moved = await FakeDiscovery().start()
            path = tmp_path / "config.json"
            path.write_text(
                json.dumps({**json.loads(path.read_text()), "discovery": f"127.0.0.1:{moved.port}"})
            )
            process.send_signal(signal.SIGHUP)
            await moved.watch()
            assert "drained" in await tell(admin_port, "HEALTH")
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.0005)  # to its very last moment
            assert await process.wait() == 0

    run(test())


@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_last_answers_of_a_stop_are_written_although_the_loop_is_late(monkeypatch, kind):
    """The loop is slow while the process stops, so the last rejections fall due as it ends.

    A client would see its connection reset without an answer. The process waits until each answer is written
    and its connection has closed in order.
    """
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_WAIT_S", 0.2)
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", 0.7)
    monkeypatch.setattr(shutdown_module, "FLUSH_S", 30.0)

    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            raw, clock = Raw(gateway.clients.listener.getsockname()[1]), gateway.driver.clock
            raw.send(call(1, kind))
            await server.until(lambda: len(server.commands) == 1)
            leaving = asyncio.ensure_future(
                GracefulShutdown(FAKE_SETTINGS, gateway.driver, gateway.clients).run()
            )
            await until(lambda: gateway.driver.gateway.responses.shutdown_at_ms < inf)
            began = clock()
            gateway.driver.clock = lambda: began + (clock() - began) / 2.0  # all timers come late
            data, end = await raw.rest()
            assert data == (b"-BUSY\r\n" if kind == "read" else b"-ERR failed\r\n")
            assert end == "end"
            await leaving

    run(test())


def test_stop_waits_for_connections_that_it_has_only_begun_to_accept(monkeypatch):
    """A connection with a request on it waits in the listener's queue as the process stops.

    The process would end over it, as nobody else is connected, and the client would see a reset. It is
    accepted and answered first.
    """
    monkeypatch.setattr(
        shutdown_module, "MAX_DEADLINE_WAIT_S", 0.0
    )  # the last half second of a stop begins at once
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", 0.8)

    async def test():
        async with node(FakeServer(lambda words: array(b"v"))) as gateway:
            raw = Raw(gateway.clients.listener.getsockname()[1])
            raw.send(call(1))  # in the listener's queue, and nobody else is connected
            await GracefulShutdown(FAKE_SETTINGS, gateway.driver, gateway.clients).run()
            assert raw.sock.recv(100) == b"$1\r\nv\r\n"  # written by then

    run(test())
