"""Transfer of open client and server connections from one process to the next, as descriptors."""

from __future__ import annotations

import asyncio
import socket

from quota_gateway.errors import PeerProcessError
from quota_gateway.net.clients import Client
from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.messages import (
    ClientConnection,
    RemainingConnections,
    RetainedConnectionClosed,
    ServerConnection,
)
from quota_gateway.net.hot_restart.session import PeerSession
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.net.retained_connections import NOT_RETAINED, RetainedConnections
from quota_gateway.net.servers import PooledConnection


class ConnectionSender:
    """The predecessor's side: sends connections to the successor.

    Idle connections are sent at once, busy ones as soon as they are between two requests; the successor is
    told how many are left. Copies of client connections are retained, up to a limit, so that this process can
    serve them again if the successor dies.
    """

    def __init__(self, parts: ProcessParts) -> None:
        self.retained = RetainedConnections()
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._session: PeerSession | None = None
        self._max_retained = 0
        self._reported: RemainingConnections | None = None

    def begin(self, session: PeerSession, max_retained: int) -> None:
        """Transfer all connections over this session until it ends."""
        self._session = session
        self._max_retained = max_retained
        self._parts.servers.transfer = self._transfer_server
        self._parts.clients.transfer = self._transfer_client
        self._parts.servers.transfer_idle()
        self._transfer_clients(session)

    def end(self) -> None:
        """Stop transferring connections; the retained copies stay open."""
        self._session = None
        self._parts.clients.transfer = None
        self._parts.servers.transfer = None

    def remaining(self) -> RemainingConnections:
        """Count the connections that this process still has."""
        return RemainingConnections(
            clients=len(self._parts.clients.connections), servers=len(self._parts.servers.connections)
        )

    def _transfer_clients(self, session: PeerSession) -> None:
        """Transfer the clients that are between requests, report what is left, and schedule the next run."""
        if session is not self._session:
            return
        for client in list(self._parts.clients.connections):
            self._parts.clients.try_to_transfer(client)
        remaining = self.remaining()
        if remaining != self._reported:
            self._reported = remaining
            session.send(remaining)
        self._loop.call_later(limits.TRANSFER_INTERVAL_S, self._transfer_clients, session)

    def _transfer_client(self, client: Client, descriptor: int) -> bool:
        """Send a client connection; whether the successor owns it now."""
        session = self._session
        if session is None or not session.open:
            return False
        retained_id = self.retained.retain(descriptor, client.has_requested, self._max_retained)
        waited_s = client.command_timer.waited_s()
        session.send(ClientConnection(client.has_requested, waited_s, retained_id), descriptor)
        if not session.open:  # it ended before the connection was sent: the connection stays here
            self.retained.release(retained_id)
        return session.open

    def _transfer_server(self, connection: PooledConnection, descriptor: int) -> bool:
        """Send a connection to a server; whether the successor owns it now."""
        session = self._session
        server_id = self._parts.server_names().get(connection.host.number, "")
        if session is None or not session.open or not server_id:
            return False
        session.send(ServerConnection(server_id), descriptor)
        return session.open


class ConnectionReceiver:
    """The successor's side: adopts connections, and reports each retained one that it closes.

    Connections that the predecessor still has count against this process's limits. An adopted connection is
    subtracted from their number at once: counted twice, it would cause others to be closed for lack of
    capacity.
    """

    def __init__(self, parts: ProcessParts) -> None:
        self._parts = parts
        self._session: PeerSession | None = None
        self._adoptions: set[asyncio.Task[None]] = set()  # of connections to servers

    def set_remaining(self, remaining: RemainingConnections) -> None:
        """Set how many connections the predecessor still has."""
        self._parts.clients.peer_connections = remaining.clients
        self._parts.servers.peer_connections = remaining.servers

    def report_closed_to(self, session: PeerSession) -> None:
        """Report each retained connection that is closed here, as the predecessor's copy keeps it open."""
        self._session = session
        self._parts.clients.on_closed = self._closed

    def end(self) -> None:
        """Handle the predecessor's end: it has no connections any more, and gets no more reports."""
        self._session = None
        self._parts.clients.on_closed = None
        self.set_remaining(RemainingConnections(clients=0, servers=0))

    def adopt_client(self, message: ClientConnection, descriptors: list[int]) -> None:
        """Serve a client's connection from now on. Raises PeerProcessError without its descriptor."""
        sock = _take_socket(descriptors)
        clients = self._parts.clients
        clients.peer_connections = max(0, clients.peer_connections - 1)
        clients.adopt(sock, message.has_requested, message.waited_s, message.retained_id)

    def adopt_server(self, message: ServerConnection, descriptors: list[int]) -> None:
        """Use a connection to a server from now on. Raises PeerProcessError without its descriptor."""
        sock = _take_socket(descriptors)
        servers = self._parts.servers
        servers.peer_connections = max(0, servers.peer_connections - 1)
        number = self._parts.discovery.registry.number(message.server_id)
        adoption = asyncio.get_running_loop().create_task(servers.adopt(number, sock))
        self._adoptions.add(adoption)
        adoption.add_done_callback(self._adoptions.discard)

    def _closed(self, client: Client) -> None:
        if client.retained_id != NOT_RETAINED and self._session:
            self._session.send(RetainedConnectionClosed(client.retained_id))
            client.retained_id = NOT_RETAINED


def _take_socket(descriptors: list[int]) -> socket.socket:
    if len(descriptors) != 1:
        raise PeerProcessError(f"a connection came with {len(descriptors)} descriptors instead of one")
    sock = socket.socket(fileno=descriptors.pop())
    sock.setblocking(False)
    return sock
