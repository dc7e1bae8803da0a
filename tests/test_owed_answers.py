"""Connections that are chosen to be closed while something that was read or written on them is still owed.

A client that reads slowly fills the gateway's write buffer. Its further commands have been read and wait in
the parser, and the replies before them have left the queue: only these commands show that it is not idle.
"""

import asyncio

import pytest
from fakes import SETTINGS, FakeServer, RawClient, call, local_gateway, run, server_reply, until

from quota_gateway import SetServing
from quota_gateway.net.clients import Client
from quota_gateway.net.clients import registry as registry_module
from quota_gateway.net.clients import reply_queue as reply_queue_module

VALUE = b"v" * 60_000
REPLY = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
COMMANDS = 120


def port(gateway) -> int:
    return gateway.clients.listener.getsockname()[1]


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
