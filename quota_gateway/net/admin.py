"""The admin endpoint: a TCP listener through which operators and their tools command a running gateway.

A connection carries one command: the caller sends one line, the endpoint answers with one line that begins
with YES or NO, and closes the connection.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import NamedTuple, cast

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 256
LINE_TIMEOUT_S = 3.0  # from the connection's start until its command line is complete
ANSWER_TIMEOUT_S = 0.8  # for a command that has to wait; callers wait 1 s for the answer
MAX_CONNECTIONS = 16  # one more closes the connection that has been open longest
DESCRIPTORS = MAX_CONNECTIONS + 2  # file descriptors: also the listener, and a connection not yet counted
TOKEN_PREFIX = "AS"  # "AS TOKEN COMMAND ...": a command with its caller's fencing token
MAX_TOKEN = (1 << 53) - 1  # the largest integer that every JSON parser represents exactly

# Takes a fencing token; returns 0 if its holder may act, else the higher token that was seen before.
FencingCheck = Callable[[int], Awaitable[int]]


class AdminReply(NamedTuple):
    """The answer to a command: YES or NO, and the text after it."""

    is_done: bool
    text: str

    def line(self) -> bytes:
        """The answer as a line of bytes for the connection."""
        word = "YES" if self.is_done else "NO"
        return f"{word} {self.text}".strip().encode("ascii", "replace") + b"\n"


def done(text: str) -> AdminReply:
    """The answer to a command that was carried out."""
    return AdminReply(True, text)


def rejected(reason: str) -> AdminReply:
    """The answer to a command that was not carried out."""
    return AdminReply(False, reason)


Handler = Callable[[str], Awaitable[AdminReply]]


class Arguments(NamedTuple):
    """The numbers of arguments that a command accepts, and the same in words for a rejection."""

    counts: tuple[int, ...]
    text: str


NO_ARGUMENT = Arguments((0,), "nothing")
ONE_ID = Arguments((1,), "one id")


class AdminCommand(NamedTuple):
    """A command of the endpoint; its handler gets the arguments as one string, separated by single spaces."""

    handler: Handler
    arguments: Arguments = NO_ARGUMENT


class AdminConnection(asyncio.Protocol):
    """One connection to the admin endpoint; it carries one command."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self._endpoint = endpoint
        self._line = b""
        self._is_answering = False  # the line is complete or was rejected: further data is ignored
        self._transport: asyncio.Transport | None = None
        self._line_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the timeout of its command line."""
        # uvloop's transports don't inherit from asyncio.Transport, so isinstance would be false.
        self._transport = cast(asyncio.Transport, transport)
        loop = self._endpoint.loop
        self._line_timer = loop.call_later(LINE_TIMEOUT_S, self.reject, "no whole line in time")
        self._endpoint.connection_opened(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Stop the timer and unregister the connection; called whichever end closed it."""
        self._transport = None
        if self._line_timer:
            self._line_timer.cancel()
        self._endpoint.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Collect the command line; data after its end is ignored."""
        if self._is_answering:
            return
        line, end, _ = (self._line + data[: MAX_LINE_BYTES + 2]).partition(b"\n")
        self._line = line
        if len(line) > MAX_LINE_BYTES:
            self.reject("the line is too long")
        elif end:
            self._begin_answer()

    def eof_received(self) -> bool:
        """Treat the data received so far as the line; the connection stays open for the answer."""
        if not self._is_answering:
            self._begin_answer()
        return True

    def _begin_answer(self) -> None:
        self._is_answering = True
        self._task = self._endpoint.loop.create_task(self._answer(), name="admin command")

    async def _answer(self) -> None:
        self._reply(await self._endpoint.answer(self._line))

    def reject(self, reason: str) -> None:
        """Answer NO with the reason and close, unless the command is already being answered."""
        if not self._is_answering:
            self._is_answering = True
            self._reply(rejected(reason))

    def _reply(self, reply: AdminReply) -> None:
        if self._transport:
            self._transport.write(reply.line())
            self._transport.close()

    def abort(self) -> None:
        """Close the connection without sending what is still buffered."""
        if self._transport:
            self._transport.abort()


class AdminEndpoint:
    """The listener of the admin endpoint, its open connections and the table of commands.

    Everything runs in the gateway's event loop: YES means that the policy has processed the command.
    """

    def __init__(self, commands: Mapping[str, AdminCommand], fencing: FencingCheck | None = None) -> None:
        self.commands = dict(commands)
        self.loop = asyncio.get_running_loop()
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()  # oldest first
        self.server: asyncio.Server | None = None
        self._fencing = fencing

    # ---- The listener

    async def listen(self, host: str, port: int) -> None:
        """Open the listener. A failure is logged, and the gateway serves without an admin endpoint."""
        try:
            self.server = await self.bind(host, port)
        except OSError as error:
            log.error("no admin endpoint, its listener can't be opened: %r", error)

    async def bind(self, host: str, port: int) -> asyncio.Server:
        """Open a listener without replacing the present one, which ``move`` does.

        Raises:
            OSError: The address can't be bound.
        """
        return await self.loop.create_server(lambda: AdminConnection(self), host, port)

    def move(self, server: asyncio.Server | None) -> None:
        """Replace the listener by this one, or by none; open connections stay."""
        if self.server:
            self.server.close()
        self.server = server

    def connection_opened(self, connection: AdminConnection) -> None:
        """Register a connection, and close the oldest one if there are too many.

        Otherwise connections that send nothing could occupy all places and keep an operator out.
        """
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest, _ = self.connections.popitem(last=False)
            oldest.reject("too many admin connections, this was the oldest")
            oldest.abort()

    def connection_closed(self, connection: AdminConnection) -> None:
        """Unregister a connection that has ended."""
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            with suppress(RuntimeError):  # raised where the transport is closing already
                connection.abort()

    # ---- Commands

    async def answer(self, line: bytes) -> AdminReply:
        """Carry out a command line. Any failure becomes the answer NO and leaves the endpoint working."""
        words = line.decode("latin-1").split()
        if not words:
            return rejected("the line is empty")
        if words[0].upper() == TOKEN_PREFIX:
            refusal = await self._check_token(words)
            if refusal:
                return rejected(refusal)
            words = words[2:]
        return await self._carry_out(words[0].upper(), words[1:])

    async def _check_token(self, words: list[str]) -> str:
        """The reason to reject ``AS TOKEN COMMAND ...``; empty if the command may be carried out.

        This fences off a rollout controller that was replaced: once a command with a higher token has come,
        commands with a lower one are rejected.
        """
        token = words[1] if len(words) > 2 else ""
        if not (token.isascii() and token.isdecimal() and 0 < int(token) <= MAX_TOKEN):
            return f"AS takes a token from 1 to {MAX_TOKEN} and a command"
        if self._fencing is None:
            return ""
        try:
            # A process that is starting doesn't know the highest token yet: the check waits until it serves.
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                higher = await self._fencing(int(token))
        except TimeoutError:
            return "not done in time"
        return f"an older token: {higher} has called" if higher else ""

    async def _carry_out(self, name: str, arguments: list[str]) -> AdminReply:
        command = self.commands.get(name)
        if command is None:
            return rejected("no such call; the commands are " + ", ".join(sorted(self.commands)))
        if len(arguments) not in command.arguments.counts:
            return rejected(f"{name} takes {command.arguments.text}")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await command.handler(" ".join(arguments))
        except TimeoutError:
            return rejected("not done in time")
        except Exception:  # a bug in one command must not end the gateway
            log.exception("the admin command %s failed", name)
            return rejected("failed, see the gateway's log")
