"""One connection to a server, with at most one attempt on it."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from typing import TYPE_CHECKING, cast

import hiredis

from quota_gateway import api
from quota_gateway.net.declared_lengths import END, LONG, Lengths, long_value
from quota_gateway.net.servers.attempt import Attempt, Sink
from quota_gateway.net.servers.host import Host
from quota_gateway.net.servers.replies import Reply, ServerError
from quota_gateway.net.sockets import unread

if TYPE_CHECKING:
    from quota_gateway.net.servers.pool import Servers

log = logging.getLogger(__name__)

LONGEST_ANSWER = 192 * 1024  # bytes without a whole answer: a value of 64 KiB, one read, and to spare
SILENT_S = 15.0  # a server that gives nothing of a value that it has begun for so long is gone


class Connection(asyncio.BufferedProtocol):
    """One connection to a server: connecting, idle, or with one attempt out."""

    def __init__(self, servers: Servers, host: Host, attempt: Attempt | None) -> None:
        self.servers = servers
        self.host = host
        self.epoch = host.epoch
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None
        self.task: asyncio.Task[None] | None = None
        self.reader = hiredis.Reader(replyError=ServerError)
        self.lengths = Lengths(LONG, answers=True)
        self.head = b""  # of an answer, until it can be told whether a long value comes
        self.known = False  # it has been told
        self.sink: Sink | None = None  # where the long value goes whose rest is awaited
        # of the answer it begins; and its bytes to come
        self.words = 0
        self.left = 0
        self.silent: asyncio.TimerHandle | None = None
        self.handed = False  # the attempt's last byte to the kernel
        self.idle_since = 0.0
        self.unread = 0
        self.closed = False
        if attempt:
            attempt.connection = self

    # ---- Coming up

    async def open(self) -> None:
        """Connect within the time-out of the settings, then send the attempt that asked for it."""
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
        """Make the transport of a socket that is connected, then go on.

        Guards against a descriptor that is closed twice, the second time as another connection's: the loop
        closes a transport's descriptor by itself, but tells the socket's object so only once it has taken
        that over, which is as ``create_connection`` returns. So nothing is closed from within
        ``connection_made``, and an object whose transport was closed before that lets go of its descriptor.
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
            self.servers.give_back(self)
        else:
            self._begin_attempt(self.attempt)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0 the loop tells when the last byte has gone to the kernel (resume_writing).
        self.transport.set_write_buffer_limits(0)

    # ---- An attempt

    def send(self, attempt: Attempt) -> None:
        """Send on an idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._begin_attempt(attempt)

    def _begin_attempt(self, attempt: Attempt) -> None:
        """The one check before a first byte goes out.

        Guards against one to a server that began to drain, left or moved while it was connected to; and
        against one that nobody waits for any more, that comes too late, or that may run a second time.
        """
        assert self.transport is not None
        self.handed = False
        if self.epoch != self.host.epoch or not self.host.ready:
            self.close(api.Status.CONNECT_FAILED)
        elif (payload := attempt.payload()) is None:
            self.close(api.Status.NOT_SENT)  # nothing that the server is to blame for
        else:
            self.transport.write(payload)
            self.handed = self.transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        """Called by the event loop as the peer takes data again."""
        self.handed = True

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Where the next read goes: one room for all, as each read is taken over at once."""
        return self.servers.room()

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop once bytes are in the buffer."""
        self.data_received(bytes(self.servers.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer."""
        if self.sink:
            self._pass_on(data)
            return
        if self.attempt and not self.known:
            self.head += data
            found = long_value(self.head)
            if found is None:
                return
            data = self.head
            self.head = b""
            self.known = True
            words, length, begins = found
            if words:
                self._begin(words, length, data[begins:])
                return
        self._parse(data)

    # ---- A long value

    def _begin(self, words: int, length: int, data: bytes) -> None:
        assert self.attempt
        sink = self.attempt.begun(length, self)
        if sink is None:
            self.close(api.Status.CANCELLED)  # nobody waits for it: not worth its bytes
            return
        if self.closed:
            sink.end(False)
            return
        self.sink = sink
        self.words = words
        self.left = length
        self.servers.passing += 1
        if data:
            self._pass_on(data)
        else:
            self._heard()

    def _pass_on(self, data: bytes) -> None:
        assert self.sink
        self._heard()
        value = data[: self.left]
        self.left = max(0, self.left - len(data))
        rest = data[len(value) :]
        if value:
            self.sink.write(value)
        if not self.left:
            self._line_end(rest)

    def _line_end(self, data: bytes) -> None:
        """All of the value has been passed on: it is whole if its line's end comes now."""
        self.head += data
        if not self.head.startswith(END[: len(self.head)]):
            log.warning("a server's long value runs on: %.100r", self.head)
            self.close(api.Status.ERROR)
        elif self.sink and len(self.head) >= len(END):
            head = self.head
            self.head = b""
            self._end_value(True)
            self._parse(b"*%d\r\n$0\r\n" % self.words + head)

    def _end_value(self, whole: bool) -> None:
        sink = self.sink
        self.sink = None
        if sink:
            self.servers.passing -= 1
            self.resume()  # the figures on use may still come
            sink.end(whole)

    def _heard(self) -> None:
        """Guards against a server that begins a value and gives no more: no deadline ends that."""
        if self.silent:
            self.silent.cancel()
        self.silent = self.servers.loop.call_later(SILENT_S, self.close, api.Status.RESET)

    def pause(self) -> None:
        """The client takes no more for now."""
        if self.transport and not self.closed and self.transport.is_reading():
            self.transport.pause_reading()
            if self.silent:
                self.silent.cancel()

    def resume(self) -> None:
        """The client takes more."""
        if self.transport and not self.closed and not self.transport.is_reading():
            self.transport.resume_reading()
            self._heard()

    def _parse(self, data: bytes) -> None:
        good = self.lengths.good(data)
        self.reader.feed(data[:good])
        self.unread += len(data)
        try:
            answer = self.reader.gets()
            more = self.reader.has_data() or good < len(data)
            if answer is False and good < len(data):
                raise ValueError("a length out of bounds")
        except (hiredis.HiredisError, ValueError, MemoryError):
            log.warning("a server broke the protocol: %.100r", data)
            self.close(api.Status.ERROR)
            return
        if answer is False and self.attempt and self.unread <= LONGEST_ANSWER:
            return
        self.unread = 0
        self.known = False
        if self.silent:
            self.silent.cancel()
        attempt = self.attempt
        self.attempt = None
        reply = self.servers.readings.reply(answer) if attempt else None
        if reply is None or more or answer is False or reply.broken:
            self.close(api.Status.RESET)  # bytes that answer nothing: what follows can't be told apart
        else:
            self.servers.give_back(self)
        if attempt and reply:
            attempt.finish(reply)

    def alive(self) -> bool:
        """Whether the server has not closed it, or written out of turn, while it was idle.

        Guards against writing to a connection whose end has come but was not read yet: the request would
        end as a reset, which is fatal for an unsafe one.
        """
        assert self.socket is not None
        return not self.closed and not unread(self.socket.fileno())

    # ---- The end

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.close(api.Status.RESET if self.handed else api.Status.CONNECT_FAILED)

    def close(self, status: api.Status) -> None:
        """Close at once; the attempt on it, if any, ends with this status.

        The socket is shut down before the outcome is told, so that a further attempt, which the outcome
        may bring about, never finds this one still out.
        """
        attempt = self.attempt
        self.attempt = None
        if not self.closed:
            self.closed = True
            if self.silent:
                self.silent.cancel()
            self._end_value(False)
            self.servers.forget(self)
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
        """Let go of the socket, which another process has by now: it must not be shut down."""
        self.closed = True
        self.servers.forget(self)
        if self.transport:
            self.transport.abort()
