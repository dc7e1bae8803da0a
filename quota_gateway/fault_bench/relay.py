"""TCP relays through which all connections of the fault bench pass; a link's faults act in its relay.

A silenced link stops reading: data and connection closes wait in the kernel, as they do where packets are
lost and sent again, and are relayed once the fault is undone. Delayed data waits in the relay. Memory is
bounded: while one socket of a connection accepts no more data, the relay doesn't read the other.
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
ZERO_LINGER = struct.pack("ii", 1, 0)  # for SO_LINGER: a close sends a reset
MAX_DELAYED_BYTES = 1024 * 1024  # held in the relay, for each direction of a connection
# Directions of a link: from the connecting party to the target, and back.
UP = "up"
DOWN = "down"


class Impairment:
    """The faults of one direction of a link. Times are seconds."""

    def __init__(self) -> None:
        self.delay = self.jitter = 0.0
        self.silence_count = 0  # faults that silence this direction now
        self.bytes_until_reset: int | None = None


class Link:
    """All connections from one party to another, through one listener."""

    def __init__(self, name: str, listen_address: Address, target: Address, random: Random) -> None:
        self.name = name
        self.listen_address = listen_address
        self.target = target
        self.random = random
        self.impairments = {UP: Impairment(), DOWN: Impairment()}
        self.connections: set[RelayedConnection] = set()
        self.refuse_count = 0  # faults that refuse new connections now
        self.server: asyncio.Server | None = None
        self.opened = 0  # connections accepted so far

    async def listen(self) -> None:
        """Start listening. Raises OSError if the address is taken."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: RelayedConnection(self).accepted_endpoint, *self.listen_address, backlog=1024
        )

    def impairments_of(self, direction: str) -> list[Impairment]:
        """The impairments of one direction ("up" or "down") or of "both"."""
        return [self.impairments[name] for name in (UP, DOWN) if direction in (name, "both")]

    def silence(self, direction: str = "both", on: bool = True) -> None:
        """Let nothing through, or undo one such call; data passes again once all are undone."""
        for impairment in self.impairments_of(direction):
            impairment.silence_count = max(0, impairment.silence_count + (1 if on else -1))
        for connection in list(self.connections):
            connection.update_flow()

    def reset(self, lose: bool = False) -> None:
        """Reset all connections; with ``lose`` also drop data that was relayed but not sent yet."""
        for connection in list(self.connections):
            connection.reset(lose)

    async def refuse(self, on: bool = True) -> None:
        """Refuse new connections, or undo one such call; they are accepted again once all are undone."""
        self.refuse_count = max(0, self.refuse_count + (1 if on else -1))
        if self.refuse_count and self.server:
            self.server.close()
            self.server = None
        elif not self.refuse_count and self.server is None:
            await self.listen()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.reset(True)


class RelayEndpoint(asyncio.Protocol):
    """One of the two sockets of a relayed connection; ``direction`` is the direction of the data it reads."""

    def __init__(self, connection: RelayedConnection, direction: str) -> None:
        self.connection = connection
        self.direction = direction
        self.impairment = connection.link.impairments[direction]
        self.transport: asyncio.Transport | None = None
        self.reading = True
        self.write_paused = False  # this socket accepts no more data for now
        self.delayed_bytes = 0  # read here and not yet passed to the other endpoint
        self.due_s = 0.0  # loop time of the latest scheduled delivery
        self.end_forwarded = False  # the peer has ended its sending, and the other endpoint was told

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.connection.endpoint_connected(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        if self.impairment.bytes_until_reset is not None:
            data, self.impairment.bytes_until_reset = (
                data[: self.impairment.bytes_until_reset],
                self.impairment.bytes_until_reset - len(data),
            )
        self._call_later(len(data), self._forward, data)
        if self.impairment.bytes_until_reset is not None and self.impairment.bytes_until_reset <= 0:
            self.impairment.bytes_until_reset = None
            self._call_later(0, self.connection.reset, False)
        self.connection.update_flow()

    def eof_received(self) -> bool:
        """Called by the event loop once the peer has ended its sending."""
        self._call_later(0, self._forward_end)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self._call_later(0, self.connection.reset, True) if exc else self._call_later(
            0, self.connection.close
        )

    def _call_later(self, size: int, call: Callable[..., None], *arguments: object) -> None:
        """Make a call after the delay of this direction; calls keep their order."""
        delay_s = self.impairment.delay + self.impairment.jitter * self.connection.link.random.random()
        loop = asyncio.get_running_loop()
        self.due_s = max(self.due_s, loop.time() + delay_s)
        if self.due_s <= loop.time() and not self.delayed_bytes:
            call(*arguments)
            return
        self.delayed_bytes += size

        def arrive() -> None:
            self.delayed_bytes -= size
            call(*arguments)
            self.connection.update_flow()

        loop.call_at(self.due_s, arrive)

    def _forward(self, data: bytes) -> None:
        other = self.connection.other(self)
        if data and other.transport and not other.transport.is_closing():
            other.transport.write(data)

    def _forward_end(self) -> None:
        other = self.connection.other(self)
        self.end_forwarded = True
        if other.end_forwarded:
            self.connection.close()
        elif other.transport and not other.transport.is_closing():
            with suppress(OSError, RuntimeError):
                other.transport.write_eof()

    def pause_writing(self) -> None:
        """Called by the event loop when the peer accepts no more data for now."""
        self.write_paused = True
        self.connection.update_flow()

    def resume_writing(self) -> None:
        """Called by the event loop when the peer accepts data again."""
        self.write_paused = False
        self.connection.update_flow()

    def update_flow(self) -> None:
        """Pause or resume reading by the link's faults, the other endpoint and the amount of delayed data."""
        other = self.connection.other(self)
        should_read = (
            not self.impairment.silence_count
            and other.transport is not None
            and not other.write_paused
            and self.delayed_bytes < MAX_DELAYED_BYTES
        )
        if self.transport and not self.transport.is_closing() and should_read != self.reading:
            self.reading = should_read
            (self.transport.resume_reading if should_read else self.transport.pause_reading)()


class RelayedConnection:
    """A connection that was accepted, together with the relay's own connection to the target."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.accepted_endpoint = RelayEndpoint(self, UP)
        self.target_endpoint = RelayEndpoint(self, DOWN)
        self.task: asyncio.Task[None] | None = None
        self.source: Address | None = None  # of the connection to the target, as the target sees it
        self.waiting_calls: list[Callable[[], None]] = []  # calls to make once "down" is not silenced
        self.ended = False

    def other(self, endpoint: RelayEndpoint) -> RelayEndpoint:
        """The other endpoint of the connection."""
        return self.target_endpoint if endpoint is self.accepted_endpoint else self.accepted_endpoint

    def endpoint_connected(self, endpoint: RelayEndpoint) -> None:
        """Called by an endpoint once its connection is up."""
        if endpoint is self.accepted_endpoint:
            self.link.connections.add(self)
            self.link.opened += 1
            self.task = asyncio.get_running_loop().create_task(self._connect())
        self.update_flow()

    async def _connect(self) -> None:
        while self.link.impairments[UP].silence_count and not self.ended:
            await asyncio.sleep(0.01)  # a silenced link delivers no connection attempt either
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(self._target_endpoint, *self.link.target)
        except OSError:
            self.reset(True)

    def _target_endpoint(self) -> RelayEndpoint:
        return self.target_endpoint

    def update_flow(self) -> None:
        """Apply a change of faults or of an endpoint: pause or resume reading, run waiting calls."""
        if self.target_endpoint.transport and self.source is None:
            self.source = self.target_endpoint.transport.get_extra_info("sockname")
            CONNECTIONS_BY_SOURCE[self.source] = self
        self.accepted_endpoint.update_flow()
        self.target_endpoint.update_flow()
        if not self.link.impairments[DOWN].silence_count:
            waiting_calls = self.waiting_calls
            self.waiting_calls = []
            for call in waiting_calls:
                call()

    def call_when_deliverable(self, call: Callable[[], None]) -> None:
        """Call this once data written now can reach the connecting party; never if it ends before."""
        self.waiting_calls.append(call)
        self.update_flow()

    def close(self) -> None:
        """Close both sockets, each after sending what was written to it."""
        self._mark_ended()
        for endpoint in (self.accepted_endpoint, self.target_endpoint):
            if endpoint.transport and not endpoint.transport.is_closing():
                endpoint.transport.close()

    def reset(self, lose: bool) -> None:
        """Abort both sockets; without ``lose``, one that has data left to write is closed without a reset."""
        self._mark_ended()
        for endpoint in (self.accepted_endpoint, self.target_endpoint):
            if endpoint.transport and not endpoint.transport.is_closing():
                sock = endpoint.transport.get_extra_info("socket")
                if sock and (lose or endpoint.transport.get_write_buffer_size() == 0):
                    with suppress(OSError):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
                endpoint.transport.abort()

    def _mark_ended(self) -> None:
        self.ended = True
        self.waiting_calls.clear()
        self.link.connections.discard(self)
        if self.source:
            CONNECTIONS_BY_SOURCE.pop(self.source, None)
        if self.task and not self.task.done() and self.task is not asyncio.current_task():
            self.task.cancel()


# All relayed connections of this process, by the address from which the relay connects to the target.
CONNECTIONS_BY_SOURCE: dict[Address, RelayedConnection] = {}


def relayed_connection_of(transport: asyncio.BaseTransport) -> RelayedConnection | None:
    """The relayed connection whose target accepted this socket; None if it came through no relay."""
    return CONNECTIONS_BY_SOURCE.get(transport.get_extra_info("peername"))
