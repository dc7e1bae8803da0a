"""The admin endpoint: one line in, one line out that begins with YES or NO, then the connection closes."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import NamedTuple, cast

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 256
LINE_TIMEOUT_S = 3.0  # for a complete line
ANSWER_TIMEOUT_S = 0.8  # for a command that waits for something: callers wait 1 s
MAX_CONNECTIONS = 16  # beyond, the longest connected gives way
DESCRIPTORS = MAX_CONNECTIONS + 2  # with the listener, and a connection before it is counted
TOKEN_PREFIX = "AS"  # AS TOKEN COMMAND ...
MAX_TOKEN = (1 << 53) - 1  # the largest that every reader of JSON keeps exactly

FencingCheck = Callable[
    [int], Awaitable[int]
]  # of a token: 0 if its holder may act, else the higher one seen


class AdminReply(NamedTuple):
    """The answer to a command: YES or NO, and what is added to it."""

    is_done: bool
    text: str

    def line(self) -> bytes:
        """The answer as it is written."""
        word = "YES" if self.is_done else "NO"
        return f"{word} {self.text}".strip().encode("ascii", "replace") + b"\n"


def done(text: str) -> AdminReply:
    """The answer of a command that was carried out."""
    return AdminReply(True, text)


def rejected(reason: str) -> AdminReply:
    """The answer of a command that changed nothing."""
    return AdminReply(False, reason)


Handler = Callable[[str], Awaitable[AdminReply]]


class Arguments(NamedTuple):
    """How many arguments a command takes, also in words for the answer to another number."""

    counts: tuple[int, ...]
    text: str


NO_ARGUMENT = Arguments((0,), "nothing")
ONE_ID = Arguments((1,), "one id")


class AdminCommand(NamedTuple):
    """A command of operators; its handler gets the arguments as one text, separated by one space."""

    handler: Handler
    arguments: Arguments = NO_ARGUMENT


class AdminConnection(asyncio.Protocol):
    """One connection of an operator, for one command."""

    def __init__(self, endpoint: AdminEndpoint) -> None:
        self._endpoint = endpoint
        self._line = b""
        self._is_answering = False  # the line is complete, or was rejected: nothing more is read
        self._transport: asyncio.Transport | None = None
        self._line_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the line."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self._transport = cast(asyncio.Transport, transport)
        loop = self._endpoint.loop
        self._line_timer = loop.call_later(LINE_TIMEOUT_S, self.reject, "no whole line in time")
        self._endpoint.opened(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """The operator or this end has closed it."""
        self._transport = None
        if self._line_timer:
            self._line_timer.cancel()
        self._endpoint.closed(self)

    def data_received(self, data: bytes) -> None:
        """Collect the line; what stands behind it is ignored."""
        if self._is_answering:
            return
        line, end, _ = (self._line + data[: MAX_LINE_BYTES + 2]).partition(b"\n")
        self._line = line
        if len(line) > MAX_LINE_BYTES:
            self.reject("the line is too long")
        elif end:
            self._begin_answer()

    def eof_received(self) -> bool:
        """Take what has come as the line; the connection stays open for the answer."""
        if not self._is_answering:
            self._begin_answer()
        return True

    def _begin_answer(self) -> None:
        self._is_answering = True
        self._task = self._endpoint.loop.create_task(self._answer(), name="admin command")

    async def _answer(self) -> None:
        self._reply(await self._endpoint.answer(self._line))

    def reject(self, reason: str) -> None:
        """Answer NO, unless an answer is under way already."""
        if not self._is_answering:
            self._is_answering = True
            self._reply(rejected(reason))

    def _reply(self, reply: AdminReply) -> None:
        if self._transport:
            self._transport.write(reply.line())
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport:
            self._transport.abort()


class AdminEndpoint:
    """The listener for operators, and the commands it knows.

    Everything runs in the gateway's own loop: YES means that the decisions have taken the command over.
    """

    def __init__(self, commands: Mapping[str, AdminCommand], fencing: FencingCheck | None = None) -> None:
        self.commands = dict(commands)
        self.loop = asyncio.get_running_loop()
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()  # the oldest first
        self.server: asyncio.Server | None = None
        self._fencing = fencing

    # ---- The listener

    async def listen(self, host: str, port: int) -> None:
        """Listen; where that fails it is logged, and the gateway serves without an endpoint."""
        try:
            self.server = await self.bind(host, port)
        except OSError as error:
            log.error("no admin endpoint: %r", error)

    async def bind(self, host: str, port: int) -> asyncio.Server:
        """A listener at another address, for ``move``.

        Raises:
            OSError: There can be none.
        """
        return await self.loop.create_server(lambda: AdminConnection(self), host, port)

    def move(self, server: asyncio.Server | None) -> None:
        """Listen there from now on, or nowhere; open connections stay."""
        if self.server:
            self.server.close()
        self.server = server

    def opened(self, connection: AdminConnection) -> None:
        """Count a connection.

        Guards against connections that say nothing: beyond the limit the oldest gives way, so that they never
        keep an operator out.
        """
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest, _ = self.connections.popitem(last=False)
            oldest.reject("too many callers")
            oldest.abort()

    def closed(self, connection: AdminConnection) -> None:
        """Count it no more."""
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            with suppress(RuntimeError):  # the loop's transport is closing already
                connection.abort()

    # ---- Commands

    async def answer(self, line: bytes) -> AdminReply:
        """Carry a line out; whatever goes wrong with it, there is an answer and the endpoint goes on."""
        words = line.decode("latin-1").split()
        if not words:
            return rejected("an empty line")
        if words[0].upper() == TOKEN_PREFIX:
            refusal = await self._check_token(words)
            if refusal:
                return rejected(refusal)
            words = words[2:]
        return await self._carry_out(words[0].upper(), words[1:])

    async def _check_token(self, words: list[str]) -> str:
        """Why ``AS TOKEN COMMAND ...`` may not act; empty if it may.

        Guards against a controller that was replaced: once a higher token has called, a lower one changes
        nothing any more.
        """
        token = words[1] if len(words) > 2 else ""
        if not (token.isascii() and token.isdecimal() and 0 < int(token) <= MAX_TOKEN):
            return f"AS takes a token from 1 to {MAX_TOKEN} and a call"
        if self._fencing is None:
            return ""
        try:
            # A process that starts does not know the tokens yet, and answers late.
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                higher = await self._fencing(int(token))
        except TimeoutError:
            return "not done in time"
        return f"an older token: {higher} has called" if higher else ""

    async def _carry_out(self, name: str, arguments: list[str]) -> AdminReply:
        command = self.commands.get(name)
        if command is None:
            return rejected("no such call; there are " + ", ".join(sorted(self.commands)))
        if len(arguments) not in command.arguments.counts:
            return rejected(f"{name} takes {command.arguments.text}")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await command.handler(" ".join(arguments))
        except TimeoutError:
            return rejected("not done in time")
        except Exception:  # a fault of one command must not end the gateway
            log.exception("the admin command %s failed", name)
            return rejected("failed")
