"""The gateway process as deploy/balancer.toml starts it: readiness, signals, hot restart, admin endpoint."""

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
    RawClient,
    RespClient,
    call,
    chunk,
    listing,
    local_gateway,
    resp,
    row,
    run,
    server_reply,
    until,
)
from test_simulator_adapter import SETTINGS_DOCUMENT

from quota_gateway.process import shutdown as shutdown_module
from quota_gateway.process.log_limiter import RateLimitedLog
from quota_gateway.process.shutdown import GracefulShutdown

ROOT = Path(__file__).parent.parent
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
SETTINGS = {
    **SETTINGS_DOCUMENT,
    "services": [
        {**SETTINGS_DOCUMENT["services"][0], "name": "read", "hard_limit_ms": 60_000.0, "slo_ms": 30_000.0}
    ],
    "tariffs": [{**SETTINGS_DOCUMENT["tariffs"][0], "name": "free", "refill": 0.0, "most_at_once": 0.0}],
}


def command() -> str:
    """The deploy file's command, with this interpreter if the deploy file's environment is not built."""
    if (ROOT / ".venv" / "bin" / "python").exists():
        return RUN_COMMAND
    return RUN_COMMAND.replace(".venv/bin/python", sys.executable)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def test_passed_listener_is_adopted_and_outlives_the_process(tmp_path):
    async def test():
        server, admin_port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            admin_address = f"127.0.0.1:{admin_port}"
            async with program(tmp_path, server, listener, EDGE_ADMIN=admin_address) as (process, port, _):
                await wait_until_healthy(admin_port)
                assert await (await connect(port)).ask(call(1)) == b"v"
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
            waiting = await connect(port)  # neither accepted nor refused
            listener.setblocking(False)
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            connection.close()
            waiting.writer.close()

    run(test())


async def connect(port: int) -> RespClient:
    """Connect as soon as the program listens."""
    while True:
        try:
            return await RespClient().open(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


async def start(path, env, passed: socket.socket | None = None):
    """Start the program; a listener that is passed on becomes its descriptor 3, as on the platform."""
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


async def admin_call(port: int, line: str) -> str:
    """Send a command to the admin endpoint and return its answer, empty if the endpoint is not open."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + b"\n")
        return (await reader.read()).decode()
    except OSError:
        return ""


async def wait_until_healthy(port: int) -> None:
    while not (await admin_call(port, "HEALTH")).startswith("YES"):
        await asyncio.sleep(0.01)


@asynccontextmanager
async def program(
    tmp_path, server: FakeServer, passed: socket.socket | None = None, **extra_environment: str
):
    """A running program, the port on which it listens and the discovery that it watches."""
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
        **extra_environment,
    }
    process = await start(path, env, passed)
    try:
        yield process, port, discovery
    finally:
        await kill_if_running(process)


async def kill_if_running(process) -> None:
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
        await kill_if_running(process)


async def ready_client(port: int, discovery: FakeDiscovery, server: FakeServer) -> RespClient:
    """A client of the process, which is ready: it knows the list with this server."""
    peer = await connect(port)
    _, watch = await discovery.watch()
    watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
    while await peer.ask(resp("PING")) != b"PONG":
        await asyncio.sleep(0.01)
    return peer


def test_program_is_ready_once_it_has_a_server_list_and_serves(tmp_path):
    async def test():
        server = await FakeServer(lambda words: server_reply(b"v")).start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer = await ready_client(port, discovery, server)
            assert await peer.ask(call(1)) == b"v"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(test())


def test_sigterm_answers_accepted_requests_and_closes_between_requests(tmp_path):
    """SIGTERM arrives while requests are in flight, one of them at a server that does not answer.

    A client whose connection closed during its request would not know whether the request ran. Each accepted
    request is answered before SIGKILL, the one at the silent server with a rejection, and then its connection
    is closed.
    """

    async def test():
        server = await FakeServer(
            lambda words: None if words[2].endswith(b"1") else server_reply(b"v")
        ).start()
        async with program(tmp_path, server) as (process, port, _):
            idle, busy, silent = await connect(port), await connect(port), await connect(port)
            assert await idle.ask(call(2)) == b"v"
            silent.send(call(17, timeout_ms=60_000))
            busy.send(call(1, timeout_ms=60_000))
            await server.until(lambda: len(server.commands) == 3)
            process.send_signal(signal.SIGTERM)
            assert await idle.reply() is None
            number = next(
                n
                for n, words in zip(server.connection_numbers, server.commands, strict=True)
                if words[2] == b"0000000000000001"
            )
            server.writers[number].write(server_reply(b"late"))
            assert await busy.reply() == b"late"
            assert await busy.reply() is None
            # The server does not answer this one and its client would wait for a minute: rejected in time.
            assert await silent.reply() == "-BUSY"
            assert await silent.reply() is None
            assert await process.wait() == 0

    run(test())


def test_sighup_reloads_the_configuration_and_changes_the_discovery_address(tmp_path):
    async def test():
        server, other = (
            FakeServer(lambda words: server_reply(b"v")),
            FakeServer(lambda words: server_reply(b"w")),
        )
        await server.start()
        await other.start()
        async with program(tmp_path, server) as (process, port, discovery):
            peer, path = await connect(port), tmp_path / "config.json"
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            while await peer.ask(call(1)) != b"v":
                await asyncio.sleep(0.01)
            document, moved = json.loads(path.read_text()), await FakeDiscovery().start()
            path.write_text("{")  # partly written: it is read again until it is complete
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


def test_log_rate_is_limited_and_dropped_lines_are_counted():
    now = 7.0
    limiter = RateLimitedLog(lambda: now)

    def line() -> logging.LogRecord:
        return logging.LogRecord("n", logging.WARNING, "p", 1, "broken %s", ("x",), None)

    assert [limiter.filter(line()) for _ in range(30)] == [True] * 20 + [False] * 10
    now = 8.0
    first, second = line(), line()
    assert limiter.filter(first)
    assert limiter.filter(second)
    assert first.getMessage() == "broken x (10 lines dropped by the rate limit)"
    assert second.getMessage() == "broken x"


def test_shutdown_keeps_accepting_for_a_while_and_then_closes_between_requests(monkeypatch):
    """Clients keep sending after SIGTERM, as the load balancer learns late that the gateway is stopping.

    A gateway that closed at once would turn those requests into errors. It keeps accepting connections and
    answering requests until shortly before the end.
    """
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_WAIT_S", 1.0)
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", 0.8)  # accepts for 1 s, answers for 1.5 s

    async def test():
        async with local_gateway(FakeServer()) as gateway:
            old, clock = await gateway.connect_client(), asyncio.get_running_loop().time
            shutdown = asyncio.ensure_future(
                GracefulShutdown(FAKE_SETTINGS, gateway.driver, gateway.clients).run()
            )
            # Well before it stops accepting, well after the load balancer has learned of the shutdown.
            ends = clock() + 0.5
            while clock() < ends:
                await asyncio.sleep(0.01)
            assert await old.ask(call(2)) == b"0000000000000002"
            late = await gateway.connect_client()
            assert await late.ask(call(3)) == b"0000000000000003"
            assert await late.reply() is None
            assert await old.reply() is None
            await shutdown
            assert not gateway.clients.connections

    run(test())


def test_admin_endpoint_takes_servers_out_and_drains_the_gateway(tmp_path):
    async def test():
        server, port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{port}") as (_, clients, discovery):
            _, watch = await discovery.watch()
            watch.write(chunk(listing(2, row("s-1", server.port), reset=True)))
            await wait_until_healthy(port)
            peer = await connect(clients)
            assert (await admin_call(port, "OFFLINE s-9")).startswith("NO")
            assert (await admin_call(port, "ONLINE s-9")).startswith("NO")
            assert (await admin_call(port, "OFFLINE s-1")).startswith("YES")
            watch.write(chunk(listing(3, reset=True)))  # not listed any more: still taken out
            while "once" not in await admin_call(port, "ONLINE s-1"):
                assert (await admin_call(port, "OFFLINE s-1")).startswith(("YES", "NO"))
            assert (await admin_call(port, "ONLINE s-1")).startswith("NO")
            watch.write(chunk(listing(4, row("s-1", server.port), reset=True)))
            while await peer.ask(call(free_port())) != b"v":
                await asyncio.sleep(0.01)
            assert (await admin_call(port, "LEAVE")).startswith("YES")
            assert (await peer.ask(resp("PING"))).startswith("-")
            assert (await admin_call(port, "HEALTH")).startswith("YES drained")
            assert (await admin_call(port, "JOIN")).startswith("YES")
            assert await peer.ask(resp("PING")) == b"PONG"

    run(test())


@pytest.mark.parametrize("by_platform", [True, False])
def test_upgrade_hands_over_connections_and_servers_taken_out_and_ends_the_old_process_early(
    tmp_path, by_platform
):
    def no_answer_to_1(words):
        return None if words[2].endswith(b"1") else server_reply(b"v")

    async def test():
        first, second = await FakeServer(no_answer_to_1).start(), await FakeServer(no_answer_to_1).start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            passed, admin_port = listener if by_platform else None, free_port()
            async with program(tmp_path, first, passed, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (
                old,
                port,
                discovery,
            ):
                _, watch = await discovery.watch()
                watch.write(chunk(listing(2, row("s-1", first.port), row("s-2", second.port), reset=True)))
                await wait_until_healthy(admin_port)
                while not (await admin_call(admin_port, "OFFLINE s-2")).startswith("YES"):
                    await asyncio.sleep(0.01)
                idle, busy = await connect(port), await connect(port)
                assert await idle.ask(call(2)) == b"v"
                busy.send(call(1, timeout_ms=60_000))
                await first.until(lambda: len(first.commands) == 2)
                second.commands.clear()
                async with next_process(tmp_path, port, discovery, passed) as (new, new_admin_port):
                    await wait_until_healthy(new_admin_port)
                    assert "1 servers out" in await admin_call(new_admin_port, "HEALTH")
                    assert (await admin_call(admin_port, "HEALTH")).startswith("NO")
                    assert await idle.ask(call(3)) == b"v"  # the connection belongs to the new process now
                    assert await (await connect(port)).ask(call(4)) == b"v"
                    # A command at the old process's endpoint takes effect in the new process too.
                    assert (await admin_call(admin_port, "LEAVE")).startswith("YES")
                    assert "drained" in await admin_call(new_admin_port, "HEALTH")
                    assert (await admin_call(admin_port, "JOIN")).startswith("YES")
                    number = next(
                        n
                        for n, w in zip(first.connection_numbers, first.commands, strict=True)
                        if w[2].endswith(b"1")
                    )
                    first.writers[number].write(server_reply(b"late"))
                    assert await busy.reply() == b"late"
                    assert await busy.ask(call(5)) == b"v"
                    old.send_signal(signal.SIGTERM)
                    assert await old.wait() == 0
                    assert await busy.ask(call(6)) == b"v"
                    assert await idle.ask(call(7)) == b"v"
                    assert await (await connect(port)).ask(call(8)) == b"v"
                    assert not second.commands
                    assert (await admin_call(new_admin_port, "ONLINE s-2")).startswith("YES")
                    new.send_signal(signal.SIGTERM)
                    assert await new.wait() == 0

    run(test())


def test_old_process_serves_again_when_the_new_one_dies(tmp_path):
    """The new process of an upgrade dies after it has taken over.

    Clients would find no process at the address. The predecessor accepts connections again, with what
    operators requested of the dead process, and can hand over to another new process.
    """

    async def test():
        server, admin_port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (old, port, discovery):
            await wait_until_healthy(admin_port)
            async with next_process(tmp_path, port, discovery) as (_, new_admin_port):
                await wait_until_healthy(new_admin_port)
                assert (await admin_call(new_admin_port, "LEAVE")).startswith("YES")
            await wait_until_healthy(admin_port)
            assert "drained" in await admin_call(admin_port, "HEALTH")
            assert (await admin_call(admin_port, "JOIN")).startswith("YES")
            peer = await connect(port)
            assert await peer.ask(call(2)) == b"v"
            # Another upgrade is possible.
            async with next_process(tmp_path, port, discovery) as (_, new_admin_port):
                await wait_until_healthy(new_admin_port)
                assert await peer.ask(call(3)) == b"v"
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0

    run(test())


def test_new_process_without_handover_waits_until_the_address_is_free_and_serves(tmp_path):
    async def test():
        server, admin_port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (old, port, discovery):
            await wait_until_healthy(admin_port)
            async with next_process(tmp_path, port, discovery, name="other") as (new, new_admin_port):
                while not await admin_call(new_admin_port, "HEALTH"):
                    await asyncio.sleep(0.01)
                assert (await admin_call(new_admin_port, "HEALTH")).startswith("NO")
                assert await (await connect(port)).ask(call(2)) == b"v"
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                await wait_until_healthy(new_admin_port)
                assert await (await connect(port)).ask(call(3)) == b"v"
                assert new.returncode is None

    run(test())


def change_plan(path, **plan) -> None:
    """Change values of the first plan in the configuration file."""
    document = json.loads(path.read_text())
    document["settings"]["tariffs"][0].update(plan)
    path.write_text(json.dumps(document))


def test_admin_endpoint_reloads_tries_and_rolls_back_the_configuration(tmp_path):
    async def test():
        server, port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{port}") as (process, clients, _):
            await wait_until_healthy(port)
            path = tmp_path / "config.json"
            change_plan(path, refill=-1)
            assert "settings.tariffs[0].refill: -1, want a number" in await admin_call(port, "RELOAD")
            change_plan(path, refill=5.0, most_at_once=50.0)
            assert (await admin_call(port, "RELOAD CONFIRM 60")).startswith("YES revision 2, 2 changes")
            assert "on trial for" in await admin_call(port, "CONFIG")
            assert await (await connect(clients)).ask(call(1)) == b"v"
            assert (await admin_call(port, "ROLLBACK")).startswith("YES revision 3")
            assert (await admin_call(port, "CONFIG")).startswith("YES revision 3")
            assert process.returncode is None

    run(test())


def test_rollback_after_an_upgrade_reverts_only_changes_of_the_new_process(tmp_path):
    async def test():
        server, admin_port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (old, port, discovery):
            await wait_until_healthy(admin_port)
            path = tmp_path / "config.json"
            change_plan(path, refill=5.0, most_at_once=50.0)
            assert (await admin_call(admin_port, "RELOAD")).startswith("YES revision 2")
            peer = await connect(port)
            assert await peer.ask(call(1)) == b"v"
            async with next_process(tmp_path, port, discovery) as (new, new_admin_port):
                await wait_until_healthy(new_admin_port)
                for line in ("RELOAD", "ROLLBACK", "CONFIRM"):
                    assert (await admin_call(admin_port, line)).startswith(
                        "NO"
                    )  # the old process no longer accepts changes
                old.send_signal(signal.SIGHUP)
                assert (await admin_call(new_admin_port, "CONFIG")).startswith("YES revision 1")
                assert "nothing to go back to" in await admin_call(new_admin_port, "ROLLBACK")
                change_plan(path, refill=6.0)
                assert (await admin_call(new_admin_port, "RELOAD")).startswith("YES revision 2")
                assert (await admin_call(new_admin_port, "ROLLBACK")).startswith("YES revision 3")
                assert await peer.ask(call(2)) == b"v"
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                assert await (await connect(port)).ask(call(3)) == b"v"
                assert new.returncode is None

    run(test())


def test_sighup_never_ends_the_process_before_serving_in_a_drain_or_while_stopping(tmp_path):
    """SIGHUP arrives before the gateway serves, in a drain, and every half millisecond until it has ended.

    The signal's default action kills the process: requests in flight would be lost, and the exit would count
    as a crash. Only SIGTERM ends the gateway, with exit code 0.
    """

    async def test():
        server, admin_port = await FakeServer(lambda words: server_reply(b"v")).start(), free_port()
        async with program(tmp_path, server, EDGE_ADMIN=f"127.0.0.1:{admin_port}") as (
            process,
            port,
            discovery,
        ):
            while not await admin_call(admin_port, "HEALTH"):  # the endpoint opens before it serves
                await asyncio.sleep(0.001)
            process.send_signal(signal.SIGHUP)
            await wait_until_healthy(admin_port)
            assert (await admin_call(admin_port, "LEAVE")).startswith("YES")
            moved = await FakeDiscovery().start()
            path = tmp_path / "config.json"
            path.write_text(
                json.dumps({**json.loads(path.read_text()), "discovery": f"127.0.0.1:{moved.port}"})
            )
            process.send_signal(signal.SIGHUP)
            await moved.watch()
            assert "drained" in await admin_call(admin_port, "HEALTH")
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.0005)  # until the process has ended
            assert await process.wait() == 0

    run(test())


@pytest.mark.parametrize("kind", ["read", "post", "buy"])
def test_last_answers_of_a_shutdown_are_written_although_the_loop_is_late(monkeypatch, kind):
    """The event loop is slow while the process stops, so that the last rejections fall due as it ends.

    A client would see its connection reset without an answer. The process waits until each answer is written
    and its connection has been closed normally.
    """
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_WAIT_S", 0.2)
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", 0.7)
    monkeypatch.setattr(shutdown_module, "FLUSH_S", 30.0)

    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            raw, clock = RawClient(gateway.clients.listener.getsockname()[1]), gateway.driver.clock
            raw.send(call(1, kind))
            await server.until(lambda: len(server.commands) == 1)
            shutdown = asyncio.ensure_future(
                GracefulShutdown(FAKE_SETTINGS, gateway.driver, gateway.clients).run()
            )
            await until(lambda: gateway.driver.gateway.responses.shutdown_at_ms < inf)
            began = clock()
            gateway.driver.clock = lambda: began + (clock() - began) / 2.0  # all timers fire late
            data, end = await raw.read_to_end()
            assert data == (b"-BUSY\r\n" if kind == "read" else b"-ERR failed\r\n")
            assert end == "end"
            await shutdown

    run(test())


def test_shutdown_answers_connections_that_still_wait_in_the_listener_queue(monkeypatch):
    """A connection with a request on it waits in the listener's queue as the process stops.

    With no other client connected, the process would end without accepting it, and the client would see a
    reset. It is accepted and answered first.
    """
    monkeypatch.setattr(
        shutdown_module, "MAX_DEADLINE_WAIT_S", 0.0
    )  # the last half second of the shutdown begins at once
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", 0.8)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(b"v"))) as gateway:
            raw = RawClient(gateway.clients.listener.getsockname()[1])
            raw.send(call(1))  # in the listener's queue; no other client is connected
            await GracefulShutdown(FAKE_SETTINGS, gateway.driver, gateway.clients).run()
            assert raw.sock.recv(100) == b"$1\r\nv\r\n"  # written before the shutdown returned

    run(test())
