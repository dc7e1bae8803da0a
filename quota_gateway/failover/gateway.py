"""The gateway's end of the keeper: what it leaves behind, and what it takes from a process that died.

Loaded only where EDGE_KEEPER names the keeper's socket. Each client connection has a row in the record: how
many bytes had been read from it and written to it as it was last at rest, with nothing in hand. Where the
kernel's own counts are the same after the death, nothing was read that was not answered, and all answers went
out: the connection goes on at the next process, with what waits in it. On any other something may have been
lost; it is closed, as all of them were without a keeper.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import struct
from contextlib import suppress

from quota_gateway.failover.connection_record import ConnectionRecord, ConnectionRecordError
from quota_gateway.net.clients import Client, Clients
from quota_gateway.net.heartbeat import HEARTBEAT_INTERVAL_S
from quota_gateway.net.hot_restart.link import Link, close_descriptors, connect, decode_number
from quota_gateway.net.tcp_info import bytes_consumed, bytes_written

log = logging.getLogger(__name__)

ROW = struct.Struct("<QQQ?")  # number, bytes read, bytes written at rest, whether a request had come
AGAIN_S = 0.25  # before a keeper that is away is looked for again
STEADY = 3  # readings of the kernel's counts, which an acknowledgement may change between the two


class Followed:
    """What a process that died has left, as the keeper passes it on."""

    def __init__(self) -> None:
        self.rows: dict[int, tuple[int, int, bool]] = {}
        self.connections: dict[int, int] = {}  # descriptors by number
        self.listener: socket.socket | None = None

    def read(self, file: int) -> None:
        """The record; one that is none protects nothing."""
        try:
            record = ConnectionRecord.open(file)
        except (ConnectionRecordError, OSError, ValueError) as error:
            log.error("the record that was left can't be read: %r", error)
            return
        if not record.claim():
            log.error("the record that was left is another's")
            return
        for body in record.read_rows().values():
            number, came, went, asked = ROW.unpack(body)
            self.rows[number] = (came, went, asked)
        record.close()

    def at_rest(self, number: int) -> bool:
        """Whether nothing has come or gone on a connection since it was last at rest."""
        row = self.rows.get(number)
        for _ in range(STEADY):
            with suppress(OSError):
                descriptor = self.connections[number]
                if row and (bytes_consumed(descriptor), bytes_written(descriptor)) == row[:2]:
                    return True
        return False


class Survivor:
    """Tells the keeper of each connection, and waits for this process's turn."""

    def __init__(self, path: str, clients: Clients) -> None:
        self.path = path
        self.clients = clients
        self.loop = asyncio.get_running_loop()
        self.file = os.memfd_create("work")
        self.record = ConnectionRecord.create(self.file, clients.most_connections, ROW.size)
        self.record.claim()
        self.numbers = 0
        self.bases: dict[Client, tuple[int, int, int, int]] = {}  # number, row, counts as it was opened
        self.followed = Followed()
        self.turned = asyncio.Event()
        self.serving = False
        self.link: Link | None = None
        self.task = self.loop.create_task(self._stay())

    # ---- The keeper

    async def _stay(self) -> None:
        """Keep a link, and give signs of life on it; a keeper that died is followed by another."""
        while True:
            if self.link is None:
                self._connect()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if self.link else AGAIN_S)
            if self.link:
                self.link.send(b"B")

    def _connect(self) -> None:
        sock = connect(self.path)
        if sock is None:
            return
        self.link = Link(sock, self._message, self._ended)
        self.link.send(b"H1" if self.serving else b"H0", self.file)
        if self.serving:
            self._tell_all()

    def _ended(self, link: Link) -> None:
        link.peer_process.close()
        if self.link is link:
            self.link = None
            log.error("the keeper has ended: this process %s", "serves on" if self.serving else "stands by")

    def _message(self, _link: Link, data: bytes, descriptors: list[int]) -> None:
        letter = data[:1]
        rest = data[1:]
        if letter == b"C" and len(descriptors) == 1:
            self.followed.connections[decode_number(rest)] = descriptors.pop()
        elif letter == b"L" and len(descriptors) == 1:
            self.followed.listener = socket.socket(fileno=descriptors.pop())
        elif letter == b"R" and len(descriptors) == 1:
            self.followed.read(descriptors[0])
        elif letter == b"T":
            self.turned.set()
        close_descriptors(descriptors)

    # ---- This process's turn

    async def turn(self, stop: asyncio.Event) -> bool:
        """Wait for it; false where this process is to end before."""
        waits = [self.loop.create_task(event.wait()) for event in (self.turned, stop)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        self.clients.on_opened = self._opened
        self.clients.on_closed = self._closed
        self.clients.on_rest = self._rest
        return not stop.is_set()

    def listener(self) -> socket.socket | None:
        """The clients' listener, if one was left."""
        listener = self.followed.listener
        if listener:
            listener.setblocking(False)
        return listener

    async def serve(self) -> None:
        """From now on this process serves: it goes on with the connections that were at rest."""
        self.serving = True
        followed = self.followed
        kept = 0
        for number, descriptor in sorted(followed.connections.items()):
            sock = socket.socket(fileno=descriptor)
            if followed.at_rest(number):
                sock.setblocking(False)
                await self.clients.adopt(sock, followed.rows[number][2], 0.0)
                kept += 1
            else:
                sock.close()
        if followed.connections:
            log.info(
                "gone on from a process that died: %d connections at rest, %d with work in hand closed",
                kept,
                len(followed.connections) - kept,
            )
        self.followed = Followed()
        self._tell_all()

    def _tell_all(self) -> None:
        if not self.link:
            return
        self.link.send(b"S")
        if self.clients.listener:
            self.link.send(b"L", self.clients.listener.fileno())
        for client, (number, *_) in self.bases.items():
            if client.transport:
                self.link.send(b"C%d" % number, client.transport.get_extra_info("socket").fileno())

    # ---- Connections

    def _opened(self, client: Client) -> None:
        assert client.transport
        descriptor = client.transport.get_extra_info("socket").fileno()
        self.numbers += 1
        try:
            came = bytes_consumed(descriptor)
            went = bytes_written(descriptor)
        except OSError:
            return
        row = self.record.add_row(ROW.pack(self.numbers, came, went, client.asked))
        if row < 0:
            return
        self.bases[client] = (self.numbers, row, came, went)
        if self.link:
            self.link.send(b"C%d" % self.numbers, descriptor)

    def _rest(self, client: Client) -> None:
        """All that was read is answered, and all answers are on their way into the kernel."""
        base = self.bases.get(client)
        if base:
            number, row, came, went = base
            self.record.replace_row(
                row, ROW.pack(number, came + client.read_bytes, went + client.written_bytes, client.asked)
            )

    def _closed(self, client: Client) -> None:
        base = self.bases.pop(client, None)
        if base:
            self.record.free_row(base[1])
            if self.link:
                self.link.send(b"D%d" % base[0])

    def close(self) -> None:
        """At the end of the process."""
        self.task.cancel()
        if self.link:
            self.link.end("this process ends")
