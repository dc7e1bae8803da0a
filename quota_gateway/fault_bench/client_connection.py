"""A client's connection to a gateway; it carries one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import hiredis


class ErrorReply(Exception):  # noqa: N818  # the RESP parser yields it as a value; nobody raises it
    """An error reply (RESP ``-...``)."""


class ConnectionEndedError(Exception):
    """The connection ended before the reply.

    Attributes:
        was_used: whether replies to earlier requests had arrived on the connection.
    """

    def __init__(self, was_used: bool) -> None:
        super().__init__()
        self.was_used = was_used


class ClientConnection(asyncio.Protocol):
    """A connection from a client or from the load balancer to a gateway."""

    def __init__(self, on_unexpected_reply: Callable[[], None]) -> None:
        self.reader = hiredis.Reader(replyError=ErrorReply)
        self.transport: asyncio.Transport | None = None
        self.reply: asyncio.Future[Any] | None = None  # of the request in flight
        self.on_unexpected_reply = on_unexpected_reply
        self.replies = 0
        self.is_open = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self._take_reply(reply)
        except hiredis.ProtocolError:
            self.close()

    def _take_reply(self, reply: Any) -> None:
        waiting = self.reply
        self.reply = None
        if waiting is None or waiting.done():
            self.on_unexpected_reply()
            self.close()
            return
        self.replies += 1
        waiting.set_result(reply)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.is_open = False
        if self.reply and not self.reply.done():
            self.reply.set_exception(ConnectionEndedError(self.replies > 0))

    async def request(self, command: bytes) -> Any:
        """Write a command and wait for its reply. Raises ConnectionEndedError if none arrives."""
        if not self.is_open or self.transport is None or self.transport.is_closing():
            raise ConnectionEndedError(self.replies > 0)
        self.reply = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        return await self.reply

    def close(self) -> None:
        """Abort the connection."""
        self.is_open = False
        if self.transport:
            self.transport.abort()


def encode_command(*words: str) -> bytes:
    """Encode a command in RESP."""
    parts = [word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
