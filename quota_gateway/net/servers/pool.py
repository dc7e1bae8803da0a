"""The servers of the endpoint list and the pool of connections to them, with one limit over all servers."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

from quota_gateway import api
from quota_gateway.net.servers.attempt import Attempt
from quota_gateway.net.servers.connection import PooledConnection
from quota_gateway.net.servers.endpoint import Address, ServerEndpoint
from quota_gateway.net.servers.replies import Reply, ReplyReader

log = logging.getLogger(__name__)

IDLE_LIMIT_RATIO = 0.4  # of the servers' idle timeout: idle connections are closed well before servers do it
READ_BYTES = 64 * 1024
MIN_READ_BYTES = 4 * 1024
MAX_STREAMED_BYTES = 8 * 1024 * 1024  # of streamed values buffered for slow clients, over all connections
RETIRE_INTERVAL_S = 1.0
REUSE_DELAY_S = 0.01  # after a reply: servers may send a second one some milliseconds later


@dataclass(slots=True)
class PoolCounts:
    """What the pool has done since the last POOLS command of an operator."""

    handshakes: int = 0  # new connections for attempts
    reuses: int = 0  # attempts sent on a connection that was idle
    evicted: int = 0  # idle connections closed to make room for others
    rejected: int = 0  # attempts that failed because no more connections were allowed
    second_replies: int = 0  # times that a server sent bytes which no command had asked for

    def describe(self) -> str:
        """The counts as text, for the reply to the admin command POOLS."""
        return (
            f"{self.handshakes} handshakes, {self.reuses} reuses, {self.evicted} evicted, "
            f"{self.rejected} turned away for want of room, {self.second_replies} second replies "
            "since the last look"
        )


class ServerPool:
    """The servers of the endpoint list and all connections to them; starts attempts on these connections."""

    def __init__(self, settings: api.Settings, most_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.hosts: dict[int, ServerEndpoint] = {}
        self.admin_down: set[int] = set()  # servers set down by operators, whatever discovery lists
        self.connections: set[PooledConnection] = set()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.streams = 0  # number of values that are being streamed
        self.counts = PoolCounts()
        self.peer_connections = 0  # connections that the previous process still holds (hot restart)
        # Set during a hot restart: passes a connection on to the next process; returns false if that failed.
        self.transfer: Callable[[PooledConnection, int], bool] | None = None
        # Set by the driver; called when the first connection to a server becomes idle, or when none is left.
        self.on_idle_changed: Callable[[api.IdleConnectionChanged], None] = lambda _: None
        self.reconfigure(settings, most_connections)
        self.retire_timer = self.loop.call_later(RETIRE_INTERVAL_S, self._retire_idle)

    # ---- Settings and the endpoint list

    def reconfigure(self, settings: api.Settings, most_connections: int) -> None:
        """Apply new settings; idle connections beyond the limit are closed, those idle the longest first."""
        self.connect_timeout_s = settings.limits.connect_timeout_ms / 1000.0
        self.idle_limit_s = settings.limits.connection_idle_ms / 1000.0 * IDLE_LIMIT_RATIO
        self.reply_reader = ReplyReader(settings.load_fields)
        self.most_connections = most_connections
        while self._is_over_limit() and self._evict():
            pass

    def update(self, endpoints: api.ServerList, addresses: Mapping[int, Address]) -> None:
        """Apply an endpoint list; close connections that it makes unusable, busy ones after their reply."""
        listed = {entry.server for entry in endpoints.entries}
        if endpoints.kind is not api.ListKind.CHANGES:
            for server in [number for number in self.hosts if number not in listed]:
                self._remove(server)
        for entry in endpoints.entries:
            if entry.state is api.ServerState.REMOVED:
                self._remove(entry.server)
            else:
                self._update_host(entry, addresses[entry.server])

    def _update_host(self, entry: api.ServerEntry, address: Address) -> None:
        host = self.hosts.setdefault(entry.server, ServerEndpoint(entry.server))
        # After a server has restarted or moved, nothing may be sent on its older connections.
        is_same_process = host.address == address and host.started_ms == entry.started_ms
        host.repeats_replies = host.repeats_replies and is_same_process
        host.address = address
        host.started_ms = entry.started_ms
        host.listed = entry.state is api.ServerState.READY
        host.ready = host.listed and entry.server not in self.admin_down
        if not (is_same_process and host.ready):
            self._invalidate(host)

    def set_admin_down(self, server: int, admin_down: bool) -> None:
        """Stop sending attempts to a server, or allow them again; attempts in flight continue."""
        if admin_down:
            self.admin_down.add(server)
        else:
            self.admin_down.discard(server)
        host = self.hosts.get(server)
        if host:
            host.ready = host.listed and not admin_down
            self._invalidate(host)

    def _remove(self, server: int) -> None:
        host = self.hosts.pop(server, None)
        if host:
            host.ready = False
            self._invalidate(host)

    def _invalidate(self, host: ServerEndpoint) -> None:
        """Close the idle connections to the server and mark the others, which are not used again."""
        host.epoch += 1
        for connection in list(host.idle):
            connection.close(api.Status.RESET)

    # ---- Attempts

    def start(self, server: int, attempt: Attempt) -> None:
        """Send an attempt on the most recently used idle connection, or on a new one."""
        host = self.hosts.get(server)
        if host is None or not host.ready:
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        while connection := self._reusable(host):
            if connection.is_usable():
                host.idle.remove(connection)
                connection.send(attempt)
                self.counts.reuses += 1
                self._report_idle(host)
                return
            connection.close(api.Status.RESET)
        self._connect(host, attempt)

    def _reusable(self, host: ServerEndpoint) -> PooledConnection | None:
        """The most recently used idle connection whose last reply is at least ``REUSE_DELAY_S`` old.

        A server may send a reply twice. If the second copy arrived after the next command was sent, it would
        be taken for that command's reply. On an idle connection, any bytes received close it, and no
        connection to that server is used again (``on_second_reply``).
        """
        cutoff = self.loop.time() - REUSE_DELAY_S
        return next((candidate for candidate in reversed(host.idle) if candidate.idle_since <= cutoff), None)

    def _connect(self, host: ServerEndpoint, attempt: Attempt) -> None:
        if self._is_at_limit() and not self._evict():
            self.counts.rejected += 1
            attempt.finish(Reply(api.Status.CONNECT_FAILED))
            return
        self.counts.handshakes += 1
        connection = PooledConnection(self, host, attempt)
        self.connections.add(connection)
        connection.task = self.loop.create_task(connection.open())

    def cancel(self, attempt: Attempt, status: api.Status) -> None:
        """Close the attempt's connection, then report the outcome.

        An attempt whose last byte was not sent can't have run: it ends with CONNECT_FAILED, not ``status``.
        """
        connection = attempt.connection
        if attempt.on_finish and connection:
            connection.close(status if connection.last_byte_sent else api.Status.CONNECT_FAILED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Cancel an attempt whose last byte was not sent yet; one that has been sent completely continues."""
        connection = attempt.connection
        if attempt.on_finish and connection and not connection.last_byte_sent:
            connection.close(api.Status.CONNECT_FAILED)

    # ---- Keeping and closing connections

    def _is_over_limit(self) -> bool:
        return len(self.connections) + self.peer_connections > self.most_connections

    def _is_at_limit(self) -> bool:
        return len(self.connections) + self.peer_connections >= self.most_connections

    def read_buffer(self) -> memoryview:
        """Buffer for one read; smaller while many values are streamed, as slow clients may hold them up."""
        size = max(MIN_READ_BYTES, min(READ_BYTES, MAX_STREAMED_BYTES // max(1, self.streams)))
        return self.buffer[:size]

    def release(self, connection: PooledConnection) -> None:
        """Make a connection idle after a complete reply, or once it is adopted.

        During a hot restart it is passed on to the next process instead. It is closed if its server has
        changed meanwhile or repeats replies, or the pool is over its limit.
        """
        host = connection.host
        is_reusable = connection.epoch == host.epoch and not host.repeats_replies
        if connection.closed or not is_reusable or self._is_over_limit():
            connection.close(api.Status.RESET)
            return
        if self.transfer:
            self._transfer_or_close(connection)
            return
        connection.become_idle()
        host.idle.append(connection)
        self._report_idle(host)

    def on_second_reply(self, host: ServerEndpoint) -> None:
        """Use no connection to this server a second time, as it has sent bytes that no command had asked for.

        A second reply may come at any time, for a server may stand still in between. On a connection that is
        in use again it would be taken for the reply to the command in flight, which is another customer's.
        """
        self.counts.second_replies += 1
        if host.repeats_replies:
            return
        host.repeats_replies = True
        log.warning("the server at %s:%d repeats replies: its connections are used once", *host.address)
        for connection in list(host.idle):
            connection.close(api.Status.RESET)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        host = self.hosts.get(server)
        for connection in list(host.idle) if host else []:
            connection.close(api.Status.RESET)

    def _evict(self) -> bool:
        """Close the connection that has been idle the longest; return false if none is idle."""
        idle = [host.idle[0] for host in self.hosts.values() if host.idle]
        oldest = min(idle, key=lambda connection: connection.idle_since, default=None)
        if oldest is None:
            return False
        self.counts.evicted += 1
        oldest.close(api.Status.RESET)
        return True

    def _retire_idle(self) -> None:
        """Close idle connections well before the server, whose close would reset a request sent just then."""
        cutoff = self.loop.time() - self.idle_limit_s
        for host in self.hosts.values():
            for connection in [candidate for candidate in host.idle if candidate.idle_since < cutoff]:
                connection.close(api.Status.RESET)
        self.retire_timer = self.loop.call_later(RETIRE_INTERVAL_S, self._retire_idle)

    def _report_idle(self, host: ServerEndpoint) -> None:
        """Tell the policy code when the first connection to a server becomes idle, or when none is left."""
        if host.reported_idle != bool(host.idle):
            host.reported_idle = not host.reported_idle
            self.on_idle_changed(api.IdleConnectionChanged(host.number, host.reported_idle))

    def discard(self, connection: PooledConnection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)
        with suppress(ValueError):
            connection.host.idle.remove(connection)
        self._report_idle(connection.host)

    # ---- Hot restart

    def transfer_idle(self) -> None:
        """Pass every idle connection on to the next process; close those for which that fails."""
        for host in self.hosts.values():
            for connection in list(host.idle):
                self._transfer_or_close(connection)

    def _transfer_or_close(self, connection: PooledConnection) -> None:
        assert connection.socket
        if self.transfer and connection.is_usable() and self.transfer(connection, connection.socket.fileno()):
            connection.detach()
        else:
            connection.close(api.Status.RESET)

    async def adopt(self, server: int, sock: socket.socket) -> None:
        """Add an idle connection that the previous process passed on; close it if it can't be used."""
        host = self.hosts.get(server)
        if host is None or not host.ready or self._is_at_limit():
            sock.close()
            return
        connection = PooledConnection(self, host, None)
        connection.socket = sock
        self.connections.add(connection)
        await connection.create_transport(sock)

    # ---- Status for operators, and shutdown

    def describe_and_reset(self) -> str:
        """The reply to the admin command POOLS: open connections, and the counts, which restart at zero."""
        open_count = len(self.connections)
        idle = sum(len(host.idle) for host in self.hosts.values())
        connecting = sum(connection.transport is None for connection in self.connections)
        counts = self.counts.describe()
        self.counts = PoolCounts()
        peer = f", {self.peer_connections} in the process before" if self.peer_connections else ""
        return (
            f"{open_count} open ({idle} idle, {connecting} opening) of {self.most_connections}{peer} "
            f"to {len(self.hosts)} servers; {counts}"
        )

    def close(self) -> None:
        """Close all connections, at the end of the process."""
        self.retire_timer.cancel()
        for connection in list(self.connections):
            connection.close(api.Status.CANCELLED)
