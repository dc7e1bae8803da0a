"""Relays between processes: every connection passes one, and each does what its link says.

A link that is silent stops reading, so bytes and ends wait in the kernel, as they do where packets are lost
and sent again; healed, they go on. What is delayed waits here. Nothing grows: a side that is not read pauses
the other.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import cast

Address = tuple[str, int]
RESET_AT_ONCE = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends a reset
MOST_DELAYED = 1024 * 1024  # bytes on their way, one way of a connection
# from who connects, and back
UP = "up"
DOWN = "down"


class Weather:
    """What one way of a link does to bytes. Times in seconds; ``cut``: bytes until a reset."""

    def __init__(self) -> None:
        self.delay = self.jitter = 0.0
        self.silent = 0  # how many faults want it so
        self.cut: int | None = None


class Link:
    """All connections from one party to another, through one listener."""

    def __init__(self, name: str, at: Address, target: Address, random: Random) -> None:
        self.name = name
        self.at = at
        self.target = target
        self.random = random
        self.ways = {UP: Weather(), DOWN: Weather()}
        self.pairs: set[Pair] = set()
        self.refusing = 0
        self.server: asyncio.Server | None = None
        self.opened = 0

    async def listen(self) -> None:
        """Raises OSError where the address is taken."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Pair(self).near, *self.at, backlog=1024)

    def weather(self, way: str) -> list[Weather]:
        """The ways that are meant: up, down or both."""
        return [self.ways[name] for name in (UP, DOWN) if way in (name, "both")]

    def silence(self, way: str = "both", on: bool = True) -> None:
        """Let nothing through, or end one such wish."""
        for weather in self.weather(way):
            weather.silent = max(0, weather.silent + (1 if on else -1))
        for pair in list(self.pairs):
            pair.look()

    def reset(self, lose: bool = False) -> None:
        """Reset all connections; what is under way in the relay goes first, unless it is to be lost."""
        for pair in list(self.pairs):
            pair.reset(lose)

    async def refuse(self, on: bool = True) -> None:
        """Refuse new connections, or take them again."""
        self.refusing = max(0, self.refusing + (1 if on else -1))
        if self.refusing and self.server:
            self.server.close()
            self.server = None
        elif not self.refusing and self.server is None:
            await self.listen()

    def close(self) -> None:
        """At the end."""
        if self.server:
            self.server.close()
        for pair in list(self.pairs):
            pair.reset(True)


class Side(asyncio.Protocol):
    """One socket of a connection; ``way`` is that of the bytes it reads."""

    def __init__(self, pair: Pair, way: str) -> None:
        self.pair = pair
        self.way = way
        self.weather = pair.link.ways[way]
        self.transport: asyncio.Transport | None = None
        self.reading = True
        self.full = False  # this socket takes no more for now
        self.under_way = 0  # bytes that were read here and are delayed
        self.due = 0.0
        self.said_all = False  # its end has been passed on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.pair.made(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        if self.weather.cut is not None:
            data, self.weather.cut = data[: self.weather.cut], self.weather.cut - len(data)
        self._later(len(data), self._give, data)
        if self.weather.cut is not None and self.weather.cut <= 0:
            self.weather.cut = None
            self._later(0, self.pair.reset, False)
        self.pair.look()

    def eof_received(self) -> bool:
        """Called by the event loop once the peer has ended its sending."""
        self._later(0, self._end)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self._later(0, self.pair.reset, True) if exc else self._later(0, self.pair.close)

    def _later(self, size: int, call: Callable[..., None], *arguments: object) -> None:
        """In order, after the delay of this way."""
        wait = self.weather.delay + self.weather.jitter * self.pair.link.random.random()
        loop = asyncio.get_running_loop()
        self.due = max(self.due, loop.time() + wait)
        if self.due <= loop.time() and not self.under_way:
            call(*arguments)
            return
        self.under_way += size

        def arrive() -> None:
            self.under_way -= size
            call(*arguments)
            self.pair.look()

        loop.call_at(self.due, arrive)

    def _give(self, data: bytes) -> None:
        other = self.pair.other(self)
        if data and other.transport and not other.transport.is_closing():
            other.transport.write(data)

    def _end(self) -> None:
        other = self.pair.other(self)
        self.said_all = True
        if other.said_all:
            self.pair.close()
        elif other.transport and not other.transport.is_closing():
            with suppress(OSError, RuntimeError):
                other.transport.write_eof()

    def pause_writing(self) -> None:
        """Called by the event loop as the peer takes no more for now."""
        self.full = True
        self.pair.look()

    def resume_writing(self) -> None:
        """Called by the event loop as the peer takes data again."""
        self.full = False
        self.pair.look()

    def look(self) -> None:
        """Read or not, as the link, the other side and what is under way want it."""
        other = self.pair.other(self)
        want = (
            not self.weather.silent
            and other.transport is not None
            and not other.full
            and self.under_way < MOST_DELAYED
        )
        if self.transport and not self.transport.is_closing() and want != self.reading:
            self.reading = want
            (self.transport.resume_reading if want else self.transport.pause_reading)()


class Pair:
    """A connection that was accepted and its other half, towards the target."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.near = Side(self, UP)
        self.far = Side(self, DOWN)
        self.task: asyncio.Task[None] | None = None
        self.source: Address | None = None  # of the far half, as the target sees it
        self.waiting: list[Callable[[], None]] = []  # until the way down is clear
        self.ended = False

    def other(self, side: Side) -> Side:
        """The other half."""
        return self.far if side is self.near else self.near

    def made(self, side: Side) -> None:
        """A half is connected."""
        if side is self.near:
            self.link.pairs.add(self)
            self.link.opened += 1
            self.task = asyncio.get_running_loop().create_task(self._connect())
        self.look()

    async def _connect(self) -> None:
        while self.link.ways[UP].silent and not self.ended:
            await asyncio.sleep(0.01)  # nothing reaches the target, not even a connection
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(self._connected, *self.link.target)
        except OSError:
            self.reset(True)

    def _connected(self) -> Side:
        return self.far

    def look(self) -> None:
        """Something about the weather or a half has changed."""
        if self.far.transport and self.source is None:
            self.source = self.far.transport.get_extra_info("sockname")
            SOURCES[self.source] = self
        self.near.look()
        self.far.look()
        if not self.link.ways[DOWN].silent:
            waiting = self.waiting
            self.waiting = []
            for call in waiting:
                call()

    def when_clear(self, call: Callable[[], None]) -> None:
        """Call this once what is written now can get through; never, if the connection ends first."""
        self.waiting.append(call)
        self.look()

    def close(self) -> None:
        """Orderly, once all that was written has gone."""
        self._ended()
        for side in (self.near, self.far):
            if side.transport and not side.transport.is_closing():
                side.transport.close()

    def reset(self, lose: bool) -> None:
        """Both halves at once."""
        self._ended()
        for side in (self.near, self.far):
            if side.transport and not side.transport.is_closing():
                sock = side.transport.get_extra_info("socket")
                if sock and (lose or side.transport.get_write_buffer_size() == 0):
                    with suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
                side.transport.abort()

    def _ended(self) -> None:
        self.ended = True
        self.waiting.clear()
        self.link.pairs.discard(self)
        if self.source:
            SOURCES.pop(self.source, None)
        if self.task and not self.task.done() and self.task is not asyncio.current_task():
            self.task.cancel()


SOURCES: dict[Address, Pair] = {}  # of this process: whose connection a stand-in has accepted


def pair_of(transport: asyncio.BaseTransport) -> Pair | None:
    """The relayed connection behind a socket that a stand-in has accepted."""
    return SOURCES.get(transport.get_extra_info("peername"))
