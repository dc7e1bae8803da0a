"""The admin endpoint: one command line, one answer line, and limits on slow and silent connections."""

import asyncio
import socket

import pytest
from fakes import run

from quota_gateway.net import admin


class AdminClient:
    """One connection to the admin endpoint."""

    async def open(self, endpoint: admin.AdminEndpoint) -> "AdminClient":
        assert endpoint.server
        port = endpoint.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    async def ask(self, line: bytes) -> bytes:
        """Send a line; returns all that comes back until the endpoint closes the connection."""
        self.writer.write(line)
        return await self.answer()

    async def answer(self) -> bytes:
        try:
            return await self.reader.read()
        except ConnectionResetError:
            return b""


async def open_endpoint(**extra_commands) -> admin.AdminEndpoint:
    taken_out = []

    async def health(_: str) -> admin.AdminReply:
        return admin.done("serving")

    async def offline(name: str) -> admin.AdminReply:
        taken_out.append(name)
        return admin.done("") if name == "s-1" else admin.rejected("nobody has this id")

    async def raise_error(_: str) -> admin.AdminReply:
        raise ZeroDivisionError

    admin_endpoint = admin.AdminEndpoint(
        {
            "HEALTH": admin.AdminCommand(health),
            "OFFLINE": admin.AdminCommand(offline, admin.ONE_ID),
            "LEAVE": admin.AdminCommand(raise_error),
            **extra_commands,
        }
    )
    await admin_endpoint.listen("127.0.0.1", 0)
    return admin_endpoint


@pytest.mark.parametrize(
    ("line", "answer_prefix"),
    [
        (b"HEALTH\n", b"YES"),
        (b"HEALTH\r\n", b"YES"),
        (b" health \n", b"YES"),
        (b"OFFLINE s-1\n", b"YES"),
        (b"OFFLINE s-2\n", b"NO nobody"),
        (b"OFFLINE\n", b"NO "),
        (b"OFFLINE s-1 s-1\n", b"NO "),
        (b"HEALTH s-1\n", b"NO "),
        (b"\n", b"NO "),
        (b"NONSENSE\n", b"NO "),
        (b"\xff\x00\xfe\n", b"NO "),
        (b"LEAVE\n", b"NO failed"),
        (b"OFFLINE " + b"x" * 300 + b"\n", b"NO the line"),
        (b"x" * 300, b"NO the line"),
    ],
)
def test_each_command_line_gets_one_answer_line_and_the_connection_closes(line, answer_prefix):
    async def test():
        endpoint = await open_endpoint()
        answer = await (await AdminClient().open(endpoint)).ask(line)
        assert answer.startswith(answer_prefix)
        assert answer.endswith(b"\n")
        assert answer.count(b"\n") == 1
        assert (await (await AdminClient().open(endpoint)).ask(b"HEALTH\n")).startswith(b"YES")
        endpoint.close()

    run(test())


def test_line_may_come_byte_by_byte_and_end_with_end_of_stream():
    async def test():
        endpoint = await open_endpoint()
        client = await AdminClient().open(endpoint)
        for byte in b"OFFLINE s-1":
            client.writer.write(bytes([byte]))
            await client.writer.drain()
        client.writer.write_eof()
        assert (await client.answer()).startswith(b"YES")
        endpoint.close()

    run(test())


def test_silent_connections_time_out_with_no_and_the_oldest_are_closed_for_new_ones(monkeypatch):
    """Connections that send nothing must not keep an operator out of the endpoint during an incident.

    The oldest are closed for new ones, and each that stays open is answered NO at its timeout.
    """
    monkeypatch.setattr(admin, "LINE_TIMEOUT_S", 0.2)

    async def test():
        endpoint = await open_endpoint()
        silent = [await AdminClient().open(endpoint) for _ in range(3 * admin.MAX_CONNECTIONS)]
        assert (await (await AdminClient().open(endpoint)).ask(b"HEALTH\n")).startswith(b"YES")
        assert len(endpoint.connections) <= admin.MAX_CONNECTIONS
        answers = [await client.answer() for client in silent]
        assert answers[-1].startswith(b"NO no whole line")
        assert not endpoint.connections
        endpoint.close()

    run(test())


def test_command_that_exceeds_the_timeout_is_answered_no(monkeypatch):
    """A command that waits forever is answered NO within the time that operators' tools wait.

    Otherwise its operator would wait without end and not know whether it was carried out.
    """
    monkeypatch.setattr(admin, "ANSWER_TIMEOUT_S", 0.05)

    async def test():
        async def wait_forever(_: str) -> admin.AdminReply:
            await asyncio.get_running_loop().create_future()
            return admin.done("")

        endpoint = await open_endpoint(JOIN=admin.AdminCommand(wait_forever))
        assert (await (await AdminClient().open(endpoint)).ask(b"JOIN\n")).startswith(b"NO not done in time")
        endpoint.close()

    run(test())


def test_gateway_runs_without_an_admin_endpoint_if_its_address_is_taken():
    """A gateway that ended because its admin address is in use would be missing as serving capacity."""

    async def test():
        with socket.create_server(("127.0.0.1", 0)) as taken:
            endpoint = admin.AdminEndpoint({})
            await endpoint.listen(*taken.getsockname())
            assert endpoint.server is None
            endpoint.close()

    run(test())
