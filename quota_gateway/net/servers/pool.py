"""The servers of the endpoint list and all connections to them, bounded over all."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress

from quota_gateway import api
from quota_gateway.net.servers.attempt import Attempt
from quota_gateway.net.servers.connection import Connection
from quota_gateway.net.servers.host import Address, Host
from quota_gateway.net.servers.replies import Readings, Reply

IDLE_SHARE = 0.4  # of the servers' idle limit after which a connection is retired: well before they do
READ = 64 * 1024  # bytes read at once
LEAST_READ = 4 * 1024
MOST_HELD = 8 * 1024 * 1024  # bytes of long values on their way, over all
SWEEP_S = 1.0  # between two looks at idle connections
REST_S = 0.01  # after an answer before the next command: a second one may come some milliseconds behind it


class Servers:
    """The servers of discovery's list and all connections to them, bounded over all."""

    def __init__(self, settings: api.Settings, most_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.hosts: dict[int, Host] = {}
        self.elsewhere = 0  # connections that the process before this one still holds
        self.pass_on: Callable[[Connection, int], bool] | None = None  # to the next process, if it takes over
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
        return len(self.connections) + self.elsewhere > self.most_connections

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
        full = len(self.connections) + self.elsewhere >= self.most_connections
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
        passed = f", {self.elsewhere} in the process before" if self.elsewhere else ""
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
        if self.pass_on:
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

    def hand_over(self) -> None:
        """Pass on what is idle."""
        for host in self.hosts.values():
            for connection in list(host.idle):
                self._pass(connection)

    def _pass(self, connection: Connection) -> None:
        assert connection.socket
        if self.pass_on and connection.alive() and self.pass_on(connection, connection.socket.fileno()):
            connection.detach()
        else:
            connection.close(api.Status.RESET)

    async def adopt(self, server: int, sock: socket.socket) -> None:
        """Take an idle connection of the process before this one."""
        host = self.hosts.get(server)
        if host is None or not host.ready or len(self.connections) + self.elsewhere >= self.most_connections:
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
