"""One connection to a server, with at most one attempt on it."""

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

STREAM_SILENCE_S = 15.0  # a server that sends nothing of a value that it has begun for so long is gone


class ConnectionState(Enum):
    """Where a connection to a server stands."""

    CONNECTING = "connecting"  # until its transport is up; with the attempt that asked for it, or adopted
    IDLE = "idle"
    AWAITING_REPLY = "awaiting reply"  # an attempt is on it
    STREAMING = "streaming"  # a long value is being passed to the client; the reply's other fields follow
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
    """One connection to a server. Owned by ``ServerPool``, which closes it or keeps it idle."""

    def __init__(self, servers: ServerPool, host: ServerEndpoint, attempt: Attempt | None) -> None:
        self.servers = servers
        self.host = host
        self.epoch = host.epoch
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None  # of connecting
        self.last_byte_sent = False  # the attempt's last byte was handed to the kernel
        self.idle_since = 0.0  # loop time (s)

        # Replies
        self.decoder = ReplyDecoder()
        self.sink: Sink | None = None  # of the long value that is being streamed
        self.silence_timer: asyncio.TimerHandle | None = None

        if attempt:
            attempt.connection = self

    @property
    def closed(self) -> bool:
        """Whether it is of no further use."""
        return self.state is ConnectionState.CLOSED

    def _enter(self, state: ConnectionState) -> None:
        self.state = transition("connection to a server", TRANSITIONS, self.state, state)

    # ---- Connecting

    async def open(self) -> None:
        """Connect within the settings' timeout, then send the attempt that asked for the connection."""
        loop = self.servers.loop
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.servers.connect_timeout_s):
                await loop.sock_connect(sock, self.host.address)
            self.socket = sock
        except (OSError, TimeoutError):  # out of descriptors is an OSError too: an outcome, not a crash
            self.close(api.Status.CONNECT_FAILED)
        finally:
            if sock and self.socket is None:
                sock.close()
        if self.socket:
            await self.come_up(self.socket)

    async def come_up(self, sock: socket.socket) -> None:
        """Make the transport of a connected socket, then send the attempt or become idle.

        A descriptor must not be closed twice, the second time as another connection's. The loop closes a
        transport's descriptor by itself, but the socket object learns of it only once the loop has taken the
        socket over, which is as ``create_connection`` returns. So nothing is closed from within
        ``connection_made``, and a socket object whose transport was closed before then is detached.
        """
        try:
            await self.servers.loop.create_connection(lambda: self, sock=sock)
        except (OSError, RuntimeError):  # RuntimeError: closed as it came up
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
            self.servers.release(self)
        else:
            self._begin_attempt(self.attempt)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop calls resume_writing once the last byte has gone to the kernel.
        self.transport.set_write_buffer_limits(0)

    # ---- Attempts

    def become_idle(self) -> None:
        """Stay open for the next attempt."""
        self._enter(ConnectionState.IDLE)
        self.idle_since = self.servers.loop.time()

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._begin_attempt(attempt)

    def _begin_attempt(self, attempt: Attempt) -> None:
        """Write the attempt, after the one check before a first byte goes out.

        While the connection came up, the server may have begun to drain, left or moved; or the attempt's
        client may have left, its time may be over, or another attempt may have answered.
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
        """Called by the event loop once everything written has gone to the kernel."""
        self.last_byte_sent = True

    # ---- Replies

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Buffer for the next read: one for all connections, as each read is consumed at once."""
        return self.servers.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop once bytes are in the buffer."""
        self._take_bytes(bytes(self.servers.buffer[:nbytes]))

    def _take_bytes(self, data: bytes) -> None:
        try:
            decoded = self._stream(data) if self.sink else self.decoder.feed(data, self.attempt is not None)
        except ProtocolError as error:
            log.warning("a server broke the protocol, %s: %.100r", error, data)
            self.close(api.Status.ERROR)
            return
        if isinstance(decoded, LongValueBegun):
            self._begin_stream(decoded)
        elif decoded:
            self._end_reply(decoded)

    def _end_reply(self, decoded: DecodedReply) -> None:
        """Finish the attempt; the connection stays open if nothing but one complete reply has come."""
        if self.silence_timer:
            self.silence_timer.cancel()
        attempt = self.attempt
        self.attempt = None
        reply = self.servers.reply_reader.read(decoded.parsed) if attempt else None
        if reply is None or not decoded.is_clean or reply.malformed:
            # What follows can't be told apart from the next reply. The attempt is off already: it ends with
            # its reply below, not with this status.
            self.close(api.Status.RESET)
        else:
            self.servers.release(self)  # before the attempt's end, so that what follows may use it
        if attempt and reply:
            attempt.finish(reply)

    # ---- Streamed values

    def _begin_stream(self, begun: LongValueBegun) -> None:
        assert self.attempt
        sink = self.attempt.begun(begun.value_bytes, self)
        if sink is None:
            self.close(api.Status.CANCELLED)  # nobody waits for it
            return
        if self.closed:  # by what the sink's first bytes led to
            sink.end(False)
            return
        self._enter(ConnectionState.STREAMING)
        self.sink = sink
        self.servers.streams += 1
        if begun.data:
            self._take_bytes(begun.data)
        else:
            self._restart_silence_timer()

    def _stream(self, data: bytes) -> DecodedReply | None:
        """Pass on what belongs to the value; the reply, if the rest of it has come as well.

        Behind its last byte the value is complete only if its line ends there. Raises ProtocolError.
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
        if not self.sink:  # closed by the write: the client has gone
            return None
        self._end_stream(True)
        return self.decoder.resume_reply(self.attempt is not None)

    def _end_stream(self, is_complete: bool) -> None:
        sink = self.sink
        self.sink = None
        if sink:
            self.servers.streams -= 1
            if not self.closed:
                self._enter(ConnectionState.AWAITING_REPLY)
            self.resume()  # the reply's other fields may still come
            sink.end(is_complete)

    def _restart_silence_timer(self) -> None:
        """A server that begins a value and sends no more is closed: no deadline ends a streamed value."""
        if self.silence_timer:
            self.silence_timer.cancel()
        self.silence_timer = self.servers.loop.call_later(STREAM_SILENCE_S, self.close, api.Status.RESET)

    def pause(self) -> None:
        """Read nothing more: the client takes no more for now."""
        if self.transport and not self.closed and self.transport.is_reading():
            self.transport.pause_reading()
            if self.silence_timer:
                self.silence_timer.cancel()

    def resume(self) -> None:
        """Read on."""
        if self.transport and not self.closed and not self.transport.is_reading():
            self.transport.resume_reading()
            self._restart_silence_timer()

    # ---- The end

    def is_usable(self) -> bool:
        """Whether the server neither closed it nor wrote out of turn while it was idle.

        An end that has come but was not read yet would end the next request as a reset, which is final for
        one that is not idempotent.
        """
        assert self.socket is not None
        return not self.closed and not has_unread_bytes(self.socket.fileno())

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.close(api.Status.RESET if self.last_byte_sent else api.Status.CONNECT_FAILED)

    def close(self, status: api.Status) -> None:
        """Close at once; the attempt on it, if any, ends with this status.

        The socket is shut down before the outcome is reported, so that a retry, which the outcome may bring
        about, never finds this attempt still in flight.
        """
        attempt = self.attempt
        self.attempt = None
        if not self.closed:
            self._enter(ConnectionState.CLOSED)
            if self.silence_timer:
                self.silence_timer.cancel()
            self._end_stream(False)
            self.servers.discard(self)
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
        """Release the socket without shutting it down: another process has it by now."""
        self._enter(ConnectionState.CLOSED)
        self.servers.discard(self)
        if self.transport:
            self.transport.abort()
