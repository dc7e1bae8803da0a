"""Connections that are chosen to be closed while something that was read or written on them is still owed.

A client that reads slowly fills the gateway's write buffer. Its further commands have been read and wait in
the parser, and the replies before them have left the queue: only these commands show that it is not idle.
"""

import asyncio

import pytest
from fakes import SETTINGS, FakeServer, RawClient, call, local_gateway, port, run, server_reply, until

from quota_gateway import SetServing
from quota_gateway.net.clients import Client
from quota_gateway.net.clients import registry as registry_module
from quota_gateway.net.clients import reply_queue as reply_queue_module
from quota_gateway.process import shutdown as shutdown_module
from quota_gateway.process.shutdown import GracefulShutdown

VALUE = b"v" * 60_000
REPLY = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
COMMANDS = 120


async def slow_reader(gateway) -> tuple[RawClient, Client]:
    """A client whose replies fill the write buffer while its further commands wait, and its connection."""
    raw = RawClient(port(gateway), receive_buffer_bytes=4096)
    raw.send(*(call(number) for number in range(COMMANDS)))
    await until(lambda: any(c.replies.is_stuck and not c.replies.slots for c in gateway.clients.connections))
    client = next(c for c in gateway.clients.connections if c.replies.is_stuck)
    assert client.stream.unparsed_commands()
    assert not client.has_unread_bytes()
    return raw, client


async def crowd(gateway) -> None:
    gateway.clients.most_connections = 1
    newest = RawClient(port(gateway))
    assert (await newest.read(4)) == b"-ERR"
    newest.sock.close()


async def drain(gateway) -> None:
    gateway.clients.set_serving(SetServing(False, 0.0))


async def lower_limit(gateway) -> None:
    partial = RawClient(port(gateway))
    partial.send(call(COMMANDS)[:10])  # not to be closed either, so that the limit stays exceeded
    await until(lambda: any(c.stream.is_within_command() for c in gateway.clients.connections))
    gateway.clients.reconfigure(SETTINGS, 1)
    partial.sock.close()


async def shut_down(gateway) -> None:
    gateway.clients.stop_listening()


@pytest.mark.parametrize("close_event", [drain, crowd, lower_limit, shut_down])
def test_commands_that_were_read_are_answered_before_a_slow_reader_is_closed(monkeypatch, close_event):
    """Guards against LEAVE, a crowd, SIGHUP or SIGTERM dropping commands that wait behind unread replies."""
    monkeypatch.setattr(reply_queue_module, "MAX_PIPELINED", 1)
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 0.0)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(VALUE))) as gateway:
            raw, client = await slow_reader(gateway)
            await close_event(gateway)
            for _ in range(COMMANDS):
                assert await raw.read(len(REPLY)) == REPLY
            assert gateway.driver.metrics.dropped_commands_total == 0
            if close_event in (drain, shut_down):
                assert await raw.read_to_end() == (b"", "end")
            raw.sock.close()

    run(test())


def test_half_closed_connection_with_unsent_replies_is_not_aborted_for_new_ones(monkeypatch):
    """Guards against new connections beyond the limit cutting off replies that a client still reads."""
    monkeypatch.setattr(registry_module, "MAX_LINGERING", 1)
    monkeypatch.setattr(reply_queue_module, "MAX_PIPELINED", 1)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(VALUE))) as gateway:
            raw, client = await slow_reader(gateway)
            commands_left = client.stream.unparsed_commands()
            client.close()
            gateway.clients.most_connections = 0
            for _ in range(3):
                await crowd_out(gateway)
            for _ in range(COMMANDS - commands_left):
                assert await raw.read(len(REPLY)) == REPLY
            assert await raw.read_to_end() == (b"", "end")

    async def crowd_out(gateway) -> None:
        newest = RawClient(port(gateway))
        assert (await newest.read(4)) == b"-ERR"
        await until(lambda: len(gateway.clients.lingering) <= 1)
        newest.sock.close()

    run(test())


def test_connection_with_commands_waiting_is_not_reported_as_all_answered(monkeypatch):
    """Guards against a supervisor giving a client to another process that lacks the commands read here."""
    monkeypatch.setattr(reply_queue_module, "MAX_PIPELINED", 1)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(VALUE))) as gateway:
            reported = []
            gateway.clients.on_all_answered = lambda client: reported.append(
                client.stream.unparsed_commands()
            )
            raw, _ = await slow_reader(gateway)
            for _ in range(COMMANDS):
                assert await raw.read(len(REPLY)) == REPLY
            await asyncio.sleep(0)
            assert reported
            assert not any(reported)

    run(test())


# ---- The end of a process


LONG_VALUE = b"v" * (256 * 1024)


async def server_within_a_long_value(gateway, server: FakeServer) -> RawClient:
    """A client that has received the first half of its long value; the server holds the second half back."""
    raw = RawClient(port(gateway))
    raw.send(call(1))
    await server.until(lambda: len(server.commands) == 1)
    server.writers[0].write(b"*3\r\n$%d\r\n%b" % (len(LONG_VALUE), LONG_VALUE[::2]))
    assert len(await raw.read(len(LONG_VALUE) // 2)) == len(LONG_VALUE) // 2
    return raw


def shorten_shutdown(monkeypatch) -> None:
    monkeypatch.setattr(shutdown_module, "MAX_DEADLINE_WAIT_S", 0.0)
    monkeypatch.setattr(shutdown_module, "SIGKILL_DELAY_S", shutdown_module.SIGKILL_MARGIN_S)
    monkeypatch.setattr(shutdown_module, "FLUSH_S", 0.0)
    monkeypatch.setattr(registry_module, "SHUTDOWN_GRACE_S", 0.0)


async def begin_shutdown(gateway) -> asyncio.Task[None]:
    """Begin to shut the process down; returns once its time is over."""
    shutdown = GracefulShutdown(SETTINGS, gateway.driver, gateway.clients)
    task = asyncio.create_task(shutdown.run())
    ends_s = shutdown.answered_by_s + 0.2
    await until(lambda: asyncio.get_running_loop().time() > ends_s)
    return task


def test_long_value_under_way_at_sigterm_is_passed_on_to_its_end(monkeypatch):
    """Guards against a process that ends by itself while a server still writes a value, which cuts it off."""
    shorten_shutdown(monkeypatch)

    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            raw = await server_within_a_long_value(gateway, server)
            task = await begin_shutdown(gateway)
            assert not task.done()
            server.writers[0].write(LONG_VALUE[::2] + b"\r\n$-1\r\n$-1\r\n")
            rest, end = await raw.read_to_end()
            assert rest.endswith(b"v\r\n")
            assert len(rest) == len(b"$%d\r\n\r\n" % len(LONG_VALUE)) + len(LONG_VALUE) // 2
            assert end == "end"
            await task

    run(test())


def test_commands_of_a_slow_reader_are_answered_before_the_process_ends(monkeypatch):
    """Guards against a process that ends while a client still reads the answers to commands it took."""
    shorten_shutdown(monkeypatch)
    monkeypatch.setattr(reply_queue_module, "MAX_PIPELINED", 1)

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(VALUE))) as gateway:
            raw, client = await slow_reader(gateway)
            served = COMMANDS - client.stream.unparsed_commands()
            task = await begin_shutdown(gateway)
            assert not task.done()
            for _ in range(served):
                assert await raw.read(len(REPLY)) == REPLY
            rest, end = await raw.read_to_end()
            assert rest.count(b"\r\n") == COMMANDS - served  # taken too late to be served: one line each
            assert end == "end"
            await task

    run(test())


def test_process_ends_although_a_value_never_does_and_a_client_keeps_sending(monkeypatch):
    """Guards against peers that keep a process alive: what is owed has a limit, new commands are not owed."""
    shorten_shutdown(monkeypatch)
    monkeypatch.setattr(shutdown_module, "MAX_OWED_ANSWERS_S", 0.5)

    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            raw = await server_within_a_long_value(gateway, server)
            peer = await gateway.connect_client()
            sending = asyncio.create_task(keep_sending(peer))
            task = await begin_shutdown(gateway)
            await task
            await sending
            assert len((await raw.read_to_end())[0]) < len(LONG_VALUE)
            assert not gateway.driver.metrics.broken_off_total

    async def keep_sending(peer) -> None:
        number = 1000
        while not peer.writer.transport.is_closing():
            number += 1
            peer.send(call(number))
            await asyncio.sleep(0.0005)

    run(test())
