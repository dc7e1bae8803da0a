"""Test doubles on loopback for what a gateway talks to: servers, clients and discovery.

``local_gateway`` runs a gateway within the test's own process.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import hiredis
import uvloop

from quota_gateway import (
    Contract,
    Gateway,
    Idempotency,
    IdempotencyScope,
    Limits,
    ListKind,
    Plan,
    RequestClass,
    ServerEntry,
    ServerList,
    Settings,
)
from quota_gateway.net.clients import ClientRegistry
from quota_gateway.net.clock import Clock
from quota_gateway.net.driver import Driver
from quota_gateway.net.servers import ServerPool

TEST_TIMEOUT_S = 60.0  # far more than any test needs: a test that takes this long hangs
SETTINGS = Settings(
    gateways=2,
    index=0,
    zone="a",
    classes=(
        RequestClass("read", 2000.0, 4000.0, Idempotency.IDEMPOTENT),
        RequestClass(
            "post",
            2000.0,
            4000.0,
            Idempotency.WITH_KEY,
            idempotency_scope=IdempotencyScope.ZONE,
            idempotency_window_ms=6000.0,
        ),
        RequestClass("buy", 2000.0, 8000.0, Idempotency.NOT_IDEMPOTENT),
    ),
    plans=(Plan("free"), Plan("tiny", rate=0.001, burst=2.0)),
    limits=Limits(max_attempts=3, can_cancel=True, connect_timeout_ms=2000.0),
    contract=Contract(8.0, 1000.0, 0.2, 10_000.0, 3.0, 2000.0, 10_000.0),
    load_fields=("utilisation", "queue"),
    meter_period_ms=1000.0,
    tick_ms=2.0,
)


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine on uvloop, as the gateway does; fail after ``TEST_TIMEOUT_S``."""
    uvloop.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


async def until(condition: Callable[[], bool]) -> None:
    """Let the event loop run until the condition, on the gateway's state, is true."""
    while not condition():
        await asyncio.sleep(0)


def resp(*words: bytes | str) -> bytes:
    """A command, encoded as a RESP array of bulk strings."""
    parts = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def server_reply(value: bytes, used: bytes | None = None, load: bytes | None = None) -> bytes:
    """A server's reply to a successful request: a RESP array of value, metered use and load report."""
    parts = [
        b"$-1\r\n" if part is None else b"$%d\r\n%b\r\n" % (len(part), part) for part in (value, used, load)
    ]
    return b"*3\r\n" + b"".join(parts)


class ErrorLine(Exception):  # noqa: N818
    """An error reply (a line that begins with a dash) as a client reads it."""


class FakeServer:
    """Replies to each command with the bytes of ``answer``; None sends nothing, b"" closes the connection."""

    def __init__(
        self, answer: Callable[[list[bytes]], bytes | None] = lambda words: server_reply(words[2])
    ) -> None:
        self.answer = answer
        self.commands: list[list[bytes]] = []
        self.connection_numbers: list[int] = []  # per command: its connection's index in ``writers``
        self.writers: list[asyncio.StreamWriter] = []
        self.closed_connections = 0
        self.changed = asyncio.Event()

    async def start(self) -> FakeServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, parser = len(self.writers), hiredis.Reader()
        self.writers.append(writer)
        while data := await self._read(reader):
            parser.feed(data)
            while (words := parser.gets()) is not False:
                self.commands.append(words)
                self.connection_numbers.append(number)
                reply = self.answer(words)
                if reply == b"":
                    writer.close()
                elif reply:
                    writer.write(reply)
                self.changed.set()
        self.closed_connections += 1
        self.changed.set()
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(65536)
        except OSError:
            return b""

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition, on this server's commands and connections, is true."""
        while not condition():
            self.changed.clear()
            await self.changed.wait()

    def entry(self, number: int, **more: Any) -> tuple[ServerEntry, tuple[str, int]]:
        """This server's entry in a list of servers, and its address."""
        return ServerEntry(number, more.pop("zone", "a"), **more), ("127.0.0.1", self.port)


class RespClient:
    """A client of the gateway, or of anything else that speaks RESP."""

    async def open(self, port: int, host: str = "127.0.0.1") -> RespClient:
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.parser = hiredis.Reader(replyError=ErrorLine)
        return self

    def send(self, *commands: bytes) -> None:
        self.writer.write(b"".join(commands))

    async def reply(self) -> Any:
        """The next reply: bytes, an error line as text with its dash, or None if the connection closed."""
        while (answer := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                return None
            self.parser.feed(data)
        return f"-{answer}" if isinstance(answer, ErrorLine) else answer

    async def ask(self, *commands: bytes) -> Any:
        """Send the commands and return the next reply."""
        self.send(*commands)
        return await self.reply()


def call(
    number: int, class_name: str = "read", plan: str = "free", body: bytes = b"b", timeout_ms: int = 4000
) -> bytes:
    """A request as a CALL.GET or CALL.POST command; its id is the number in 16 hexadecimal digits."""
    fields = (
        f"c={class_name},t={plan},d={timeout_ms},"
        f"{'k=5c0f,' if class_name == 'post' else ''}units=1,spread=2,first=0"
    )
    words = ["00000000b4d65521", f"{number:016x}", fields]
    return resp("CALL.GET", *words) if class_name == "read" else resp("CALL.POST", *words, body)


class LocalGateway:
    """The gateway's parts, connected as in the program, but without discovery."""

    def __init__(self, settings: Settings, most_connections: int) -> None:
        self.servers = ServerPool(settings, most_connections)
        self.driver = Driver(Gateway(settings, 1), self.servers, Clock())
        self.clients = ClientRegistry(self.driver, settings, most_connections)
        self.clients.ready = True

    def update_servers(
        self, *entries: tuple[ServerEntry, tuple[str, int]], kind: ListKind = ListKind.COMPLETE
    ) -> None:
        """Pass a list of servers on, as discovery does."""
        server_list = ServerList(kind, tuple(entry for entry, _ in entries))
        self.servers.update(server_list, {entry.server: address for entry, address in entries})
        self.driver.post(server_list)

    async def connect_client(self) -> RespClient:
        assert self.clients.listener
        return await RespClient().open(self.clients.listener.getsockname()[1])


@asynccontextmanager
async def local_gateway(
    *fakes: FakeServer, most_connections: int = 100, **changes: Any
) -> AsyncIterator[LocalGateway]:
    """A running gateway with these servers, numbered from 1; ``changes`` replace fields of ``SETTINGS``."""
    gateway = LocalGateway(replace(SETTINGS, **changes), most_connections)
    for fake in fakes:
        await fake.start()
    gateway.update_servers(*(fake.entry(number) for number, fake in enumerate(fakes, 1)))
    await gateway.clients.listen("127.0.0.1", 0)
    try:
        yield gateway
    finally:
        gateway.clients.stop_listening()
        gateway.clients.abort()
        gateway.servers.close()


def port(gateway: LocalGateway) -> int:
    """The port of a gateway's clients."""
    listener = gateway.clients.listener
    assert listener
    return int(listener.getsockname()[1])


async def connect_with_small_buffer(port: int) -> socket.socket:
    """Connect a client socket with a small receive buffer, which the test reads itself."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return sock


class FakeDiscovery:
    """A discovery service: keeps each requested path, and each watch open for the test to write to."""

    def __init__(self) -> None:
        self.targets: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def start(self) -> FakeDiscovery:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: x/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.targets.put_nowait(head.split()[1].decode())
        self.watches.put_nowait(writer)

    async def watch(self) -> tuple[str, asyncio.StreamWriter]:
        """The next watch: the path that was requested, and where to write the lines of the response."""
        return await self.targets.get(), await self.watches.get()


def chunk(data: bytes) -> bytes:
    """A chunk of an HTTP response with chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def listing(generation: int, *rows: dict[str, Any], reset: bool = False) -> bytes:
    """A line of a watch: a list of instances in JSON."""
    document = {"generation": generation, "reset": reset, "instances": rows}
    return json.dumps(document).encode() + b"\n"


def row(name: str, port: int, state: str = "Ready", started: int = 0) -> dict[str, Any]:
    """An instance in a ``listing``."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }


class RawClient:
    """A client on a plain socket: when ``send`` returns, the gateway's kernel has the bytes.

    The gateway itself may not have read them yet.
    """

    def __init__(self, port: int, receive_buffer_bytes: int = 0) -> None:
        self.sock = socket.socket()
        # The client's kernel takes this many bytes unread; those beyond stay in the gateway's kernel.
        if receive_buffer_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, *commands: bytes) -> None:
        self.sock.setblocking(True)
        self.sock.sendall(b"".join(commands))
        self.sock.setblocking(False)

    async def read(self, size: int) -> bytes:
        """This many bytes, or fewer at the end of the stream. Raises ConnectionResetError."""
        self.sock.setblocking(False)
        data, loop = b"", asyncio.get_running_loop()
        while len(data) < size and (more := await loop.sock_recv(self.sock, min(65536, size - len(data)))):
            data += more
        return data

    async def read_to_end(self) -> tuple[bytes, str]:
        """All bytes up to the end, and how the connection ended: "end" (closed in order) or "reset"."""
        data = b""
        try:
            while more := await self.read(1):
                data += more
        except ConnectionResetError:
            return data, "reset"
        return data, "end"
