"""The door for operators: one line in, one line out that begins with YES or NO, then it closes."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import cast

log = logging.getLogger(__name__)

LONGEST_LINE = 256  # bytes: a word and an id
LINE_S = 3.0  # for a whole line: the answer is owed to who asks, not to who is silent
ANSWER_S = 0.8  # for a call that waits for something: callers wait 1 s
MOST_CALLERS = 16  # connected at once: beyond, the longest connected gives way
DESCRIPTORS = MOST_CALLERS + 2  # of the door: the callers, the listener, a caller before it is counted

LARGEST_TOKEN = 1 << 53

Answer = tuple[bool, str]  # yes or no, and what is to be added
Handler = Callable[[str], Awaitable[Answer]]
Fence = Callable[[int], Awaitable[int]]  # a token: 0 if its holder may act, else the higher one seen


class Caller(asyncio.Protocol):
    """One connection: one call."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.line = b""
        self.called = False
        self.transport: asyncio.Transport | None = None
        self.overdue: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        self.overdue = self.door.loop.call_later(LINE_S, self.refuse, "no whole line in time")
        self.door.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.overdue:
            self.overdue.cancel()
        self.door.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.called:
            return
        line, end, _ = (self.line + data[: LONGEST_LINE + 2]).partition(b"\n")
        self.line = line
        if len(line) > LONGEST_LINE:
            self.refuse("the line is too long")
        elif end:
            self._call()

    def eof_received(self) -> bool:
        """A caller that ends its sending has said all; the connection stays open for the answer."""
        if not self.called:
            self._call()
        return True

    def _call(self) -> None:
        self.called = True
        self.task = self.door.loop.create_task(self._answer())

    async def _answer(self) -> None:
        yes, text = await self.door.answer(self.line)
        self._reply(yes, text)

    def refuse(self, why: str) -> None:
        """Answer no, unless the answer is under way already."""
        if not self.called:
            self.called = True
            self._reply(False, why)

    def _reply(self, yes: bool, text: str) -> None:
        if self.transport:
            line = f"{'YES' if yes else 'NO'} {text}".strip()
            self.transport.write(line.encode("ascii", "replace") + b"\n")
            self.transport.close()


class Door:
    """The listener for operators, and what each call does."""

    def __init__(self, calls: Mapping[str, Handler], fence: Fence | None = None) -> None:
        self.calls = dict(calls)
        self.fence = fence
        self.loop = asyncio.get_running_loop()
        self.callers: OrderedDict[Caller, None] = OrderedDict()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen; a door that can't be opened is logged and missing, the gateway serves all the same."""
        try:
            self.server = await self.bind(host, port)
        except OSError as error:
            log.error("no door for operators: %r", error)

    async def bind(self, host: str, port: int) -> asyncio.Server:
        """A listener at another address, for ``move``; OSError if there can be none."""
        return await self.loop.create_server(lambda: Caller(self), host, port)

    def move(self, server: asyncio.Server | None) -> None:
        """Listen there from now on, or nowhere; who is connected stays."""
        if self.server:
            self.server.close()
        self.server = server

    def opened(self, caller: Caller) -> None:
        """Guards against callers that connect and say nothing: they never keep another one out."""
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest, _ = self.callers.popitem(last=False)
            oldest.refuse("too many callers")
            if oldest.transport:
                oldest.transport.abort()

    async def answer(self, line: bytes) -> Answer:
        """What a call comes to. Whatever goes wrong with one, it is answered, and the door stays open."""
        words = line.decode("latin-1").split()
        if not words:
            return False, "an empty line"
        why = ""
        if words[0].upper() == "AS":
            words, why = await self._as(words)
        if why:
            return False, why
        name = words[0].upper()
        ids = words[1:]
        handler = self.calls.get(name)
        if handler is None:
            return False, "no such call; there are " + ", ".join(sorted(self.calls))
        takes = TAKES.get(name, NOTHING)
        if len(ids) not in takes:
            return False, f"{name} takes {' or '.join(takes.values())}"
        try:
            async with asyncio.timeout(ANSWER_S):
                return await handler(" ".join(ids))
        except TimeoutError:
            return False, "not done in time"
        except Exception:  # a fault of one call must not end the gateway
            log.exception("the call %s failed", name)
            return False, "failed"

    async def _as(self, words: list[str]) -> tuple[list[str], str]:
        """``AS TOKEN CALL ...``: the call, or why not. A caller that another has followed can do nothing."""
        token = words[1] if len(words) > 2 else ""
        if not (token.isascii() and token.isdecimal() and 0 < int(token) < LARGEST_TOKEN):
            return [], f"AS takes a token from 1 to {LARGEST_TOKEN - 1} and a call"
        try:
            async with asyncio.timeout(ANSWER_S):  # a process that starts does not know yet who has called
                higher = await self.fence(int(token)) if self.fence else 0
        except TimeoutError:
            return [], "not done in time"
        return words[2:], f"an older token: {higher} has called" if higher else ""

    def close(self) -> None:
        """Close the listener and what is connected."""
        if self.server:
            self.server.close()
        for caller in list(self.callers):
            with suppress(RuntimeError):
                if caller.transport:
                    caller.transport.abort()


NOTHING = {0: "nothing"}
TAKES: Mapping[str, Mapping[int, str]] = {  # words behind a call
    "OFFLINE": {1: "one id"},
    "ONLINE": {1: "one id"},
    "RELOAD": {0: "nothing", 2: "CONFIRM SECONDS"},
}
