"""One connection to a server; it carries at most one attempt at a time."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING, cast

from quota_gateway import api
from quota_gateway.errors import ProtocolError
from quota_gateway.net.servers.attempt import Attempt, Sink
from quota_gateway.net.servers.endpoint import ServerEndpoint
from quota_gateway.net.servers.replies import Reply
from quota_gateway.net.servers.reply_decoder import DecodedReply, LongValueBegun, ReplyDecoder
from quota_gateway.net.sockets import has_unread_bytes
from quota_gateway.state_machine import transition

if TYPE_CHECKING:
    from quota_gateway.net.servers.pool import ServerPool

log = logging.getLogger(__name__)

STREAM_SILENCE_S = 15.0  # a server that sends nothing for this long within a value counts as gone


class ConnectionState(Enum):
    """The states of a connection to a server."""

    CONNECTING = "connecting"  # until its transport is up; opened for an attempt, or adopted in a hot restart
    IDLE = "idle"
    AWAITING_REPLY = "awaiting reply"  # an attempt has been sent, or is being sent
    STREAMING = "streaming"  # passes a long value on to the client; the reply's other fields follow it
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.CONNECTING: frozenset(
        {ConnectionState.AWAITING_REPLY, ConnectionState.IDLE, ConnectionState.CLOSED}
    ),
    ConnectionState.IDLE: frozenset({ConnectionState.AWAITING_REPLY, ConnectionState.CLOSED}),
    ConnectionState.AWAITING_REPLY: frozenset(
        {ConnectionState.STREAMING, ConnectionState.IDLE, ConnectionState.CLOSED}
    ),
    ConnectionState.STREAMING: frozenset({ConnectionState.AWAITING_REPLY, ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}


class PooledConnection(asyncio.BufferedProtocol):
    """One connection to a server. ``ServerPool`` owns it and keeps it idle for reuse, or closes it."""

    def __init__(self, pool: ServerPool, host: ServerEndpoint, attempt: Attempt | None) -> None:
        self.pool = pool
        self.host = host
        self.epoch = host.epoch
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None  # runs ``open``
        self.last_byte_sent = False  # the attempt's last byte was handed to the kernel
        self.idle_since = 0.0  # loop time (s)

        # Replies
        self.decoder = ReplyDecoder()
        self.sink: Sink | None = None  # receiver of the long value that is being streamed
        self.silence_timer: asyncio.TimerHandle | None = None

        if attempt:
            attempt.connection = self

    @property
    def closed(self) -> bool:
        """Whether the connection has been closed and can't be used any more."""
        return self.state is ConnectionState.CLOSED

    def _enter(self, state: ConnectionState) -> None:
        self.state = transition("connection to a server", TRANSITIONS, self.state, state)

    # ---- Connecting

    async def open(self) -> None:
        """Connect within ``connect_timeout_s``, then send the attempt for which the connection is opened."""
        loop = self.pool.loop
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.pool.connect_timeout_s):
                await loop.sock_connect(sock, self.host.address)
            self.socket = sock
        except (OSError, TimeoutError):  # OSError: also when descriptors run out; only the attempt fails
            self.close(api.Status.CONNECT_FAILED)
        finally:
            if sock and self.socket is None:
                sock.close()
        if self.socket:
            await self.create_transport(self.socket)

    async def create_transport(self, sock: socket.socket) -> None:
        """Create the transport of a connected socket, then send the attempt or become idle.

        A descriptor must not be closed twice: by the second time, its number may belong to another
        connection. The loop closes a transport's descriptor itself, but the socket object learns of that only
        once the loop has taken the socket over, which is when ``create_connection`` returns. Therefore
        nothing is closed from within ``connection_made``, and a socket object whose transport was closed
        before then is detached.
        """
        try:
            await self.pool.loop.create_connection(lambda: self, sock=sock)
        except (OSError, RuntimeError):  # RuntimeError: closed while the transport was being created
            self.close(api.Status.CONNECT_FAILED)
        finally:
            if self.transport is None:
                sock.close()
            elif self.transport.is_closing():
                sock.detach()
        if self.transport is None or self.transport.is_closing():
            return
        if self.closed:
            self.transport.abort()
        elif self.attempt is None:
            self.pool.release(self)
        else:
            self._begin_attempt(self.attempt)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the transport exists."""
        # No isinstance check: uvloop's transports don't inherit from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop calls resume_writing once the last byte has gone to the kernel.
        self.transport.set_write_buffer_limits(0)

    # ---- Attempts

    def become_idle(self) -> None:
        """Stay open, without an attempt, for the next one."""
        self._enter(ConnectionState.IDLE)
        self.idle_since = self.pool.loop.time()

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._begin_attempt(attempt)

    def _begin_attempt(self, attempt: Attempt) -> None:
        """Write the attempt, unless the check right before its first byte shows that it must not start.

        While the connection was being opened, the server may have begun to drain, been removed or moved to
        another address. Or the attempt's client may have disconnected, its deadline may have passed, or
        another attempt may have answered the request.
        """
        assert self.transport is not None
        self.last_byte_sent = False
        self._enter(ConnectionState.AWAITING_REPLY)
        if self.epoch != self.host.epoch or not self.host.ready:
            self.close(api.Status.CONNECT_FAILED)
        elif (payload := attempt.payload()) is None:
            self.close(api.Status.NOT_SENT)  # the server is not to blame
        else:
            self.transport.write(payload)
            self.last_byte_sent = self.transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """Called by the event loop once all written bytes have been handed to the kernel."""
        self.last_byte_sent = True

    # ---- Replies

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Buffer for the next read; all connections share it, as each read is copied out of it at once."""
        return self.pool.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop once it has read bytes into the buffer."""
        self._take_bytes(bytes(self.pool.buffer[:nbytes]))

    def _take_bytes(self, data: bytes) -> None:
        try:
            decoded = self._stream(data) if self.sink else self.decoder.feed(data, self.attempt is not None)
        except ProtocolError as error:
            log.warning("invalid reply from a server (%s), closing its connection: %.100r", error, data)
            if self.attempt is None:
                self.pool.on_second_reply(self.host)
            self.close(api.Status.ERROR)
            return
        if isinstance(decoded, LongValueBegun):
            self._begin_stream(decoded)
        elif decoded:
            self._end_reply(decoded)

    def _end_reply(self, decoded: DecodedReply) -> None:
        """Finish the attempt; keep the connection only if exactly one complete, valid reply was received."""
        if self.silence_timer:
            self.silence_timer.cancel()
        attempt = self.attempt
        self.attempt = None
        reply = self.pool.reply_reader.read(decoded.parsed) if attempt else None
        if reply is None or (decoded.has_more and not reply.malformed):
            self.pool.on_second_reply(self.host)
        if reply is None or not decoded.is_clean or reply.malformed:
            # Later bytes could not be told apart from the next reply. The attempt is already detached from
            # the connection: it ends with its reply below, not with this status.
            self.close(api.Status.RESET)
        else:
            self.pool.release(self)  # before the attempt ends: a new one that its outcome starts can reuse it
        if attempt and reply:
            attempt.finish(reply)

    # ---- Streamed values

    def _begin_stream(self, long_value: LongValueBegun) -> None:
        assert self.attempt
        sink = self.attempt.on_stream(long_value.value_bytes, self)
        if sink is None:
            self.close(api.Status.CANCELLED)  # no client waits for the value any more
            return
        if self.closed:  # closed while the sink's first bytes were written to the client
            sink.end(False)
            return
        self._enter(ConnectionState.STREAMING)
        self.sink = sink
        self.pool.streams += 1
        if long_value.data:
            self._take_bytes(long_value.data)
        else:
            self._restart_silence_timer()

    def _stream(self, data: bytes) -> DecodedReply | None:
        """Pass the value's bytes on to the sink; return the reply once the rest of it has been received too.

        The value counts as complete only if CRLF follows its last byte. Raises ProtocolError if it doesn't.
        """
        assert self.sink
        self._restart_silence_timer()
        in_value = self.decoder.split_value(data)
        if in_value:
            self.sink.write(data[:in_value])
        if not self.decoder.is_value_complete():
            return None
        if not self.decoder.take_line_end(data[in_value:]):
            return None
        if not self.sink:  # the write closed this connection: the client has disconnected
            return None
        self._end_stream(True)
        return self.decoder.resume_reply(self.attempt is not None)

    def _end_stream(self, is_complete: bool) -> None:
        sink = self.sink
        self.sink = None
        if sink:
            self.pool.streams -= 1
            if not self.closed:
                self._enter(ConnectionState.AWAITING_REPLY)
            self.resume()  # the reply's other fields may not have been read yet
            sink.end(is_complete)

    def _restart_silence_timer(self) -> None:
        """Close the connection if the server stops sending within a value: no other deadline ends it."""
        if self.silence_timer:
            self.silence_timer.cancel()
        self.silence_timer = self.pool.loop.call_later(STREAM_SILENCE_S, self.close, api.Status.RESET)

    def pause(self) -> None:
        """Stop reading from the server while the client accepts no more bytes."""
        if self.transport and not self.closed and self.transport.is_reading():
            self.transport.pause_reading()
            if self.silence_timer:
                self.silence_timer.cancel()

    def resume(self) -> None:
        """Continue reading from the server."""
        if self.transport and not self.closed and not self.transport.is_reading():
            self.transport.resume_reading()
            self._restart_silence_timer()

    # ---- Closing

    def is_usable(self) -> bool:
        """Whether the server has neither closed the idle connection nor sent bytes without a request.

        If the server's close has arrived but was not read yet, the next attempt would end with a reset, and a
        request that is not idempotent can't be retried after that.
        """
        assert self.socket is not None
        return not self.closed and not has_unread_bytes(self.socket.fileno())

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection is closed."""
        self.close(api.Status.RESET if self.last_byte_sent else api.Status.CONNECT_FAILED)

    def close(self, status: api.Status) -> None:
        """Close at once; the attempt on the connection, if any, ends with this status.

        The socket is shut down before the outcome is reported: the outcome may cause a retry, which must
        never run while this attempt is still in flight.
        """
        attempt = self.attempt
        self.attempt = None
        if not self.closed:
            self._enter(ConnectionState.CLOSED)
            if self.silence_timer:
                self.silence_timer.cancel()
            self._end_stream(False)
            self.pool.discard(self)
            if self.socket is None and self.task:
                self.task.cancel()
            if self.transport:
                with suppress(OSError):
                    if self.socket:
                        self.socket.shutdown(socket.SHUT_RDWR)
                self.transport.abort()
        if attempt:
            attempt.finish(Reply(status))

    def detach(self) -> None:
        """Give up the socket without shutting it down, as another process uses it now."""
        self._enter(ConnectionState.CLOSED)
        self.pool.discard(self)
        if self.transport:
            self.transport.abort()
