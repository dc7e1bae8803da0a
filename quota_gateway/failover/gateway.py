"""The gateway's side of connection failover: records its connections and takes over those of a dead process.

Loaded only if the environment variable EDGE_KEEPER names the supervisor's socket. Each client connection has
a row in a record in shared memory: how many bytes had been read from it and written to it when it was last at
rest, with nothing in flight. If the kernel's counts still equal these after the process died, everything that
was read was answered and all answers were written: the next process continues the connection, together with
the unread bytes in its receive queue. On any other connection something may have been lost; it is closed, as
every connection would be without a supervisor.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from dataclasses import dataclass, replace

from quota_gateway.failover.connection_record import NO_ROW, ConnectionRecord
from quota_gateway.failover.connection_row import ROW_BYTES, ConnectionRow
from quota_gateway.failover.inherited_connections import InheritedConnections
from quota_gateway.failover.messages import (
    Alive,
    ConnectionCopy,
    ConnectionEnded,
    LeftRecord,
    ListenerCopy,
    Message,
    Registered,
    Serves,
    TakeTurn,
    decode,
    encode,
)
from quota_gateway.net.clients import Client, ClientRegistry
from quota_gateway.net.heartbeat import HEARTBEAT_INTERVAL_S
from quota_gateway.net.hot_restart.link import NO_DESCRIPTOR, Link, close_descriptors, connect
from quota_gateway.net.tcp_info import bytes_consumed, bytes_written

log = logging.getLogger(__name__)

RECONNECT_INTERVAL_S = 0.25  # between attempts to connect to the supervisor
RECORD_NAME = "work"  # name of the shared memory file in the kernel's lists, such as /proc/PID/maps


@dataclass(frozen=True, slots=True)
class RecordedConnection:
    """A connection that has a row in the record: the row's index, and its content when it was added."""

    row_index: int
    opened: ConnectionRow


class SupervisedGateway:
    """Reports each client connection to the supervisor, and waits for this process's turn to serve."""

    def __init__(self, path: str, clients: ClientRegistry) -> None:
        self.path = path
        self.clients = clients
        self.loop = asyncio.get_running_loop()
        self.record_descriptor = os.memfd_create(RECORD_NAME)
        self.record = ConnectionRecord.create(self.record_descriptor, clients.most_connections, ROW_BYTES)
        self.record.claim()
        self.last_number = 0
        self.recorded: dict[Client, RecordedConnection] = {}
        self.inherited = InheritedConnections()
        self.turn_has_come = asyncio.Event()
        self.is_serving = False
        self.link: Link | None = None
        self.task = self.loop.create_task(self._stay_connected(), name="link to the supervisor")

    # ---- Link to the supervisor

    async def _stay_connected(self) -> None:
        """Keep a link to the supervisor and send heartbeats on it; after its death, link to the next one."""
        while True:
            if self.link is None:
                self._connect()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if self.link else RECONNECT_INTERVAL_S)
            self._send(Alive())

    def _connect(self) -> None:
        sock = connect(self.path)
        if sock is None:
            return
        self.link = Link(sock, self._on_message, self._on_link_ended)
        self._send(Registered(self.is_serving), self.record_descriptor)
        if self.is_serving:
            self._report_everything()

    def _send(self, message: Message, descriptor: int = NO_DESCRIPTOR) -> None:
        """Send a message if there is a link; without one, everything is reported once the next is open."""
        if self.link:
            self.link.send(encode(message), descriptor)

    def _on_link_ended(self, link: Link) -> None:
        link.peer_process.close()
        if self.link is link:
            self.link = None
            log.error(
                "the link to the supervisor has ended: this process %s and reconnects",
                "continues to serve" if self.is_serving else "stays on standby",
            )

    def _on_message(self, _link: Link, data: bytes, descriptors: list[int]) -> None:
        has_descriptor = len(descriptors) == 1
        match decode(data):
            case ConnectionCopy(number=number) if has_descriptor:
                self.inherited.descriptors[number] = descriptors.pop()
            case ListenerCopy() if has_descriptor:
                self.inherited.listener = socket.socket(fileno=descriptors.pop())
            case LeftRecord() if has_descriptor:
                self.inherited.read_record(descriptors[0])
            case TakeTurn():
                self.turn_has_come.set()
        close_descriptors(descriptors)

    # ---- This process's turn

    async def wait_for_turn(self, stop: asyncio.Event) -> bool:
        """Wait for this process's turn and begin to record connections; false if ``stop`` is set."""
        waits = [self.loop.create_task(event.wait()) for event in (self.turn_has_come, stop)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        self.clients.on_opened = self._on_opened
        self.clients.on_closed = self._on_closed
        self.clients.on_all_answered = self._on_all_answered
        return not stop.is_set()

    def listener(self) -> socket.socket | None:
        """The clients' listener that a dead process has left; None if there is none."""
        listener = self.inherited.listener
        if listener:
            listener.setblocking(False)
        return listener

    async def serve(self) -> None:
        """Serve from now on: adopt the inherited connections that were at rest, and close the others."""
        self.is_serving = True
        inherited = self.inherited
        adopted = 0
        for number, descriptor in sorted(inherited.descriptors.items()):
            sock = socket.socket(fileno=descriptor)
            if inherited.is_at_rest(number):
                sock.setblocking(False)
                await self.clients.adopt(sock, inherited.rows[number].has_requested, 0.0)
                adopted += 1
            else:
                sock.close()
        if inherited.descriptors:
            log.info(
                "took over from a process that died: %d connections at rest adopted, "
                "%d with work in flight closed",
                adopted,
                len(inherited.descriptors) - adopted,
            )
        self.inherited = InheritedConnections()
        self._report_everything()

    def _report_everything(self) -> None:
        """Give the supervisor a copy of everything that must outlive this process."""
        self._send(Serves())
        if self.clients.listener:
            self._send(ListenerCopy(), self.clients.listener.fileno())
        for client, recorded in self.recorded.items():
            if client.transport:
                self._send(ConnectionCopy(recorded.opened.number), _descriptor(client))

    # ---- Connections

    def _on_opened(self, client: Client) -> None:
        descriptor = _descriptor(client)
        self.last_number += 1
        try:
            row = ConnectionRow(
                self.last_number, bytes_consumed(descriptor), bytes_written(descriptor), client.has_requested
            )
        except OSError:  # the connection has ended already
            return
        row_index = self.record.add_row(row.encode())
        if row_index == NO_ROW:
            return
        self.recorded[client] = RecordedConnection(row_index, row)
        self._send(ConnectionCopy(row.number), descriptor)

    def _on_all_answered(self, client: Client) -> None:
        """Record that everything read is answered, and that all answers are being written to the kernel."""
        recorded = self.recorded.get(client)
        if recorded is None:
            return
        opened = recorded.opened
        row = replace(
            opened,
            read_bytes=opened.read_bytes + client.total_read_bytes,
            written_bytes=opened.written_bytes + client.replies.total_written_bytes,
            has_requested=client.has_requested,
        )
        self.record.replace_row(recorded.row_index, row.encode())

    def _on_closed(self, client: Client) -> None:
        recorded = self.recorded.pop(client, None)
        if recorded:
            self.record.free_row(recorded.row_index)
            self._send(ConnectionEnded(recorded.opened.number))

    def close(self) -> None:
        """Close the link to the supervisor, because this process ends."""
        self.task.cancel()
        if self.link:
            self.link.end("this process ends")


def _descriptor(client: Client) -> int:
    assert client.transport
    return int(client.transport.get_extra_info("socket").fileno())
