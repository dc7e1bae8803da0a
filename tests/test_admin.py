"""The admin endpoint: one line in, one line out, and no caller keeps another one out."""

import asyncio
import socket

import pytest
from fakes import run

from quota_gateway.net import admin


class Caller:
    """One connection to the admin endpoint."""

    async def open(self, endpoint: admin.AdminEndpoint) -> "Caller":
        assert endpoint.server
        port = endpoint.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    async def ask(self, line: bytes) -> bytes:
        """What comes back until the endpoint closes."""
        self.writer.write(line)
        return await self.answer()

    async def answer(self) -> bytes:
        try:
            return await self.reader.read()
        except ConnectionResetError:
            return b""


async def an_endpoint(**more) -> admin.AdminEndpoint:
    asked = []

    async def health(_: str) -> admin.AdminReply:
        return admin.done("serving")

    async def offline(name: str) -> admin.AdminReply:
        asked.append(name)
        return admin.done("") if name == "s-1" else admin.rejected("nobody has this id")

    async def broken(_: str) -> admin.AdminReply:
        raise ZeroDivisionError

    made = admin.AdminEndpoint(
        {
            "HEALTH": admin.AdminCommand(health),
            "OFFLINE": admin.AdminCommand(offline, admin.ONE_ID),
            "LEAVE": admin.AdminCommand(broken),
            **more,
        }
    )
    await made.listen("127.0.0.1", 0)
    return made


@pytest.mark.parametrize(
    ("line", "begins"),
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
def test_one_line_in_one_line_out_and_then_it_closes(line, begins):
    async def test():
        endpoint = await an_endpoint()
        answer = await (await Caller().open(endpoint)).ask(line)
        assert answer.startswith(begins)
        assert answer.endswith(b"\n")
        assert answer.count(b"\n") == 1
        assert (await (await Caller().open(endpoint)).ask(b"HEALTH\n")).startswith(b"YES")
        endpoint.close()

    run(test())


def test_line_in_pieces_or_ended_by_the_end_of_sending_is_a_line():
    async def test():
        endpoint = await an_endpoint()
        caller = await Caller().open(endpoint)
        for byte in b"OFFLINE s-1":
            caller.writer.write(bytes([byte]))
            await caller.writer.drain()
        caller.writer.write_eof()
        assert (await caller.answer()).startswith(b"YES")
        endpoint.close()

    run(test())


def test_silent_callers_are_told_no_after_a_while_and_give_way_to_new_ones(monkeypatch):
    """Many connect to the admin endpoint and send nothing.

    An operator would find it full in the middle of an incident. The oldest give way, and each that is left is
    answered NO when its time is up.
    """
    monkeypatch.setattr(admin, "LINE_TIMEOUT_S", 0.2)

    async def test():
        endpoint = await an_endpoint()
        silent = [await Caller().open(endpoint) for _ in range(3 * admin.MAX_CONNECTIONS)]
        assert (await (await Caller().open(endpoint)).ask(b"HEALTH\n")).startswith(b"YES")
        assert len(endpoint.connections) <= admin.MAX_CONNECTIONS
        answers = [await caller.answer() for caller in silent]
        assert answers[-1].startswith(b"NO no whole line")
        assert not endpoint.connections
        endpoint.close()

    run(test())


def test_call_that_takes_too_long_is_answered_no(monkeypatch):
    """A command waits for something that never comes.

    Its operator would wait without end and not know whether it was done. The answer is NO, within the time
    that operators' tools wait.
    """
    monkeypatch.setattr(admin, "ANSWER_TIMEOUT_S", 0.05)

    async def test():
        async def never(_: str) -> admin.AdminReply:
            await asyncio.get_running_loop().create_future()
            return admin.done("")

        endpoint = await an_endpoint(JOIN=admin.AdminCommand(never))
        assert (await (await Caller().open(endpoint)).ask(b"JOIN\n")).startswith(b"NO not done in time")
        endpoint.close()

    run(test())


def test_admin_endpoint_that_can_not_be_opened_is_missing_and_no_crash():
    """The admin endpoint's address is taken as the gateway starts.

    A gateway that ended over it would take its clients' capacity along. It serves without the endpoint.
    """

    async def test():
        with socket.create_server(("127.0.0.1", 0)) as taken:
            endpoint = admin.AdminEndpoint({})
            await endpoint.listen(*taken.getsockname())
            assert endpoint.server is None
            endpoint.close()

    run(test())
