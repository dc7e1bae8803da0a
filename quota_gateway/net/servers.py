"""Connections to servers and the attempts on them; one attempt at a time on a connection.

What an attempt came to is told once, by PROTOCOL's table: an attempt whose last byte was not handed to
the kernel never ran, one that was may have, whatever became of it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from typing import Protocol, cast

import hiredis

from quota_gateway import api
from quota_gateway.net.declared_lengths import END, LONG, Lengths, long_value
from quota_gateway.net.sockets import unread
from quota_gateway.settings_reader import REPORT_FIELD

log = logging.getLogger(__name__)

IDLE_SHARE = 0.4  # of the servers' idle limit after which a connection is retired: well before they do
LONGEST_ANSWER = 192 * 1024  # bytes without a whole answer: a value of 64 KiB, one read, and to spare
READ = 64 * 1024  # bytes read at once
LEAST_READ = 4 * 1024
MOST_HELD = 8 * 1024 * 1024  # bytes of long values on their way, over all
SILENT_S = 15.0  # a server that gives nothing of a value that it has begun for so long is gone
SWEEP_S = 1.0  # between two looks at idle connections
REST_S = 0.01  # after an answer before the next command: a second one may come some milliseconds behind it
Address = tuple[str, int]


class ServerError(Exception):
    """An error line, as hiredis gives it."""


@dataclass(slots=True)
class Reply:
    """What an attempt came to."""

    status: api.Status
    value: bytes | None = None
    used: float | None = None
    cost: float | None = None
    load: tuple[float, ...] | None = None
    broken: bool = False  # no answer of the protocol: the connection is of no further use


class Sink(Protocol):
    """Where a long value goes."""

    def write(self, data: bytes) -> None:
        """The next piece."""

    def end(self, whole: bool) -> None:
        """No more comes."""


class Source(Protocol):
    """Where a long value comes from."""

    def pause(self) -> None:
        """Give nothing until ``resume``."""

    def resume(self) -> None:
        """Give more."""


class Attempt:
    """A command on its way to a server; ``done`` is called once with what came of it.

    ``payload`` is asked for as the first byte could go out: None if by then it may not go any more.
    ``begun`` is called when a long value begins, with its length; it says where that goes, if anywhere.
    """

    __slots__ = ("payload", "done", "begun", "connection")

    def __init__(
        self,
        payload: Callable[[], bytes | None],
        done: Callable[[Reply], None],
        begun: Callable[[int, Source], Sink | None] = lambda _length, _source: None,
    ) -> None:
        self.payload = payload
        self.begun = begun
        self.done: Callable[[Reply], None] | None = done
        self.connection: Connection | None = None

    def finish(self, reply: Reply) -> None:
        """Tell the outcome, the first only."""
        done = self.done
        self.done = None
        self.connection = None
        if done:
            done(reply)


def _pairs(text: str) -> dict[str, float]:
    """``a=1,b=2`` as numbers; what is not of that form, or no figure at all, is left out."""
    found = {}
    for part in text.split(","):
        name, _, number = part.partition("=")
        with suppress(ValueError):
            figure = float(number)
            if 0.0 <= figure < inf:  # a cost of nan or below nought would wipe out a customer's excess
                found[name] = figure
    return found


class Readings:
    """Reads what servers answer, figures on use and load reports included."""

    def __init__(self, load_fields: tuple[str, ...]) -> None:
        self.load_fields = load_fields

    def reply(self, answer: object) -> Reply:
        """An answer as the protocol's table has it; what is malformed may have run."""
        if isinstance(answer, ServerError):
            return self._error(str(answer))
        if not isinstance(answer, list) or not answer or not isinstance(answer[0], bytes):
            log.warning("malformed answer: %.100r", answer)
            return Reply(api.Status.ERROR, broken=True)
        reply = Reply(api.Status.OK, answer[0])
        for figures in answer[1:]:
            if isinstance(figures, bytes):
                self._figures(reply, figures.decode("latin-1"))
        return reply

    def _error(self, line: str) -> Reply:
        word, *rest = line.split(" ")
        if word == "SYNTAX":
            log.error("a server could not read a command: %.200s", line)
        reply = Reply(api.Status.OVERLOADED if word == "BUSY" else api.Status.ERROR)
        for figures in rest:
            self._figures(reply, figures)
        return reply

    def _figures(self, reply: Reply, text: str) -> None:
        figures = _pairs(text)
        reply.used = figures.get("used", reply.used)
        reply.cost = figures.get("cost", reply.cost)
        load = {REPORT_FIELD.get(name, name): value for name, value in figures.items()}
        if self.load_fields and all(name in load for name in self.load_fields):
            reply.load = tuple(load[name] for name in self.load_fields)


class Host:
    """A server as discovery last told it. Each change that makes old connections useless is an epoch."""

    __slots__ = ("number", "address", "started", "listed", "ready", "idle", "epoch", "told")

    def __init__(self, number: int) -> None:
        self.number = number
        self.address: Address = ("", 0)
        self.started = 0.0
        self.epoch = 0
        self.listed = self.ready = False  # ready: listed so, and not held
        self.idle: list[Connection] = []  # the most recently used last
        self.told = False  # whether the decisions think that one is idle


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


class Servers:
    """The servers of discovery's list and all connections to them, bounded over all."""

    def __init__(self, settings: api.Settings, most_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.hosts: dict[int, Host] = {}
        self.peer_connections = 0  # connections that the process before this one still holds
        self.transfer: Callable[[Connection, int], bool] | None = (
            None  # to the next process, if it takes over
        )
        self.held: set[int] = set()  # not to be used whatever discovery lists
        self.connections: set[Connection] = set()
        self.buffer = memoryview(bytearray(READ))
        self.passing = 0  # long values on their way
        # Since the last look: connections begun, attempts on one that stood idle, idle ones closed for want
        # of room, attempts that found no room.
        self.handshakes = self.reuses = self.evicted = self.no_room = 0
        self.on_linked: Callable[[api.IdleConnectionChanged], None] = lambda _: (
            None
        )  # set by who tells the decisions
        self.retell(settings, most_connections)
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def retell(self, settings: api.Settings, most_connections: int) -> None:
        """Go by these settings from now on; beyond the limit idle connections go, the longest idle first."""
        self.connect_timeout_s = settings.limits.connect_timeout_ms / 1000.0
        self.idle_limit_s = settings.limits.connection_idle_ms / 1000.0 * IDLE_SHARE
        self.readings = Readings(settings.load_fields)
        self.most_connections = most_connections
        while self._beyond() and self._evict():
            pass

    def _beyond(self) -> bool:
        """Whether there are more connections than there may be."""
        return len(self.connections) + self.peer_connections > self.most_connections

    def update(self, news: api.ServerList, addresses: Mapping[int, Address]) -> None:
        """Take over discovery's news; connections that it makes useless are closed."""
        listed = {entry.server for entry in news.entries}
        if news.kind is not api.ListKind.CHANGES:
            for server in [number for number in self.hosts if number not in listed]:
                self._remove(server)
        for entry in news.entries:
            if entry.state is api.ServerState.REMOVED:
                self._remove(entry.server)
                continue
            host = self.hosts.setdefault(entry.server, Host(entry.server))
            address = addresses[entry.server]
            # Guards against an old connection to a server that restarted or whose address was replaced.
            fresh = host.address == address and host.started == entry.started_ms
            host.address = address
            host.started = entry.started_ms
            host.listed = entry.state is api.ServerState.READY
            host.ready = host.listed and entry.server not in self.held
            if not (fresh and host.ready):
                self._renew(host)

    def room(self) -> memoryview:
        """Room for one read: less for each when many long values are held by clients that are slow."""
        size = max(LEAST_READ, min(READ, MOST_HELD // max(1, self.passing)))
        return self.buffer[:size]

    def hold(self, server: int, held: bool) -> None:
        """Use no connection to a server any more, or use it again; what is out there goes on."""
        (self.held.add if held else self.held.discard)(server)
        host = self.hosts.get(server)
        if host:
            host.ready = host.listed and not held
            self._renew(host)

    def _remove(self, server: int) -> None:
        host = self.hosts.pop(server, None)
        if host:
            host.ready = False
            self._renew(host)

    def _renew(self, host: Host) -> None:
        host.epoch += 1
        for connection in list(host.idle):
            connection.close(api.Status.RESET)

    def start(self, server: int, attempt: Attempt) -> None:
        """Send on the connection used last, or on a new one."""
        host = self.hosts.get(server)
        if host is None or not host.ready:
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        while connection := self._rested(host):
            if connection.alive():
                host.idle.remove(connection)
                connection.send(attempt)
                self.reuses += 1
                self._tell(host)
                return
            connection.close(api.Status.RESET)
        self._connect(host, attempt)

    def _rested(self, host: Host) -> Connection | None:
        """The idle connection used last, of those that have been quiet for a moment since their answer.

        Guards against an answer that comes twice: behind the next command the second one would be taken for
        that command's. While the connection is idle, whatever comes ends it.
        """
        before = self.loop.time() - REST_S
        return next((one for one in reversed(host.idle) if one.idle_since <= before), None)

    def _connect(self, host: Host, attempt: Attempt) -> None:
        full = len(self.connections) + self.peer_connections >= self.most_connections
        if full and not self._evict():
            self.no_room += 1
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        self.handshakes += 1
        connection = Connection(self, host, attempt)
        self.connections.add(connection)
        connection.task = self.loop.create_task(connection.open())

    def _evict(self) -> bool:
        """Close the connection that has been idle longest, to make room under the limit on descriptors."""
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        oldest = min(idle, key=lambda connection: connection.idle_since, default=None)
        if oldest:
            self.evicted += 1
            oldest.close(api.Status.RESET)
        return oldest is not None

    def look(self) -> str:
        """What the pools hold, and what they have done since the last look."""
        held = len(self.connections)
        idle = sum(len(host.idle) for host in self.hosts.values())
        opening = sum(connection.transport is None for connection in self.connections)
        counts = (
            f"{self.handshakes} handshakes, {self.reuses} reuses, {self.evicted} evicted, "
            f"{self.no_room} turned away for want of room since the last look"
        )
        self.handshakes = self.reuses = self.evicted = self.no_room = 0
        passed = f", {self.peer_connections} in the process before" if self.peer_connections else ""
        return (
            f"{held} open ({idle} idle, {opening} opening) of {self.most_connections}{passed} "
            f"to {len(self.hosts)} servers; {counts}"
        )

    def stop(self, attempt: Attempt, status: api.Status) -> None:
        """Close the connection, then report the outcome. Without its last byte the attempt never ran."""
        connection = attempt.connection
        if attempt.done and connection:
            connection.close(status if connection.handed else api.Status.CONNECT_FAILED)

    def stop_unsent(self, attempt: Attempt) -> None:
        """The same where its last byte has not gone out; one that is on its way is waited for."""
        connection = attempt.connection
        if attempt.done and connection and not connection.handed:
            connection.close(api.Status.CONNECT_FAILED)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        for connection in list(host.idle) if host else []:
            connection.close(api.Status.RESET)

    def give_back(self, connection: Connection) -> None:
        """An attempt has ended well: keep its connection, unless the server changed meanwhile."""
        if connection.closed or connection.epoch != connection.host.epoch or self._beyond():
            connection.close(api.Status.RESET)
            return
        if self.transfer:
            self._pass(connection)
            return
        connection.idle_since = self.loop.time()
        connection.host.idle.append(connection)
        self._tell(connection.host)

    def _tell(self, host: Host) -> None:
        """Tell the decisions when the first connection becomes idle, or none is any more."""
        if host.told != bool(host.idle):
            host.told = not host.told
            self.on_linked(api.IdleConnectionChanged(host.number, host.told))

    def transfer_idle(self) -> None:
        """Pass on what is idle."""
        for host in self.hosts.values():
            for connection in list(host.idle):
                self._pass(connection)

    def _pass(self, connection: Connection) -> None:
        assert connection.socket
        if self.transfer and connection.alive() and self.transfer(connection, connection.socket.fileno()):
            connection.detach()
        else:
            connection.close(api.Status.RESET)

    async def adopt(self, server: int, sock: socket.socket) -> None:
        """Take an idle connection of the process before this one."""
        host = self.hosts.get(server)
        if (
            host is None
            or not host.ready
            or len(self.connections) + self.peer_connections >= self.most_connections
        ):
            sock.close()
            return
        connection = Connection(self, host, None)
        connection.socket = sock
        self.connections.add(connection)
        await connection.come_up(sock)

    def forget(self, connection: Connection) -> None:
        """A connection that is closing counts no more."""
        self.connections.discard(connection)
        with suppress(ValueError):
            connection.host.idle.remove(connection)
        self._tell(connection.host)

    def _sweep(self) -> None:
        """Retire idle connections well before the server does, which would reset a request written then."""
        before = self.loop.time() - self.idle_limit_s
        for host in self.hosts.values():
            for connection in [c for c in host.idle if c.idle_since < before]:
                connection.close(api.Status.RESET)
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Close everything, at the end."""
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close(api.Status.CANCELLED)
