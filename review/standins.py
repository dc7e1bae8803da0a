"""Stand-ins for the cases: the platform, discovery, servers and clients, on loopback sockets.

They follow the protocol pages and use the standard library alone. Each case starts the gateway with the
command ``run`` of the deploy file, as a process of its own, and writes what happened to ``record.txt``.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseCannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """The lines of ``record.txt``, with the milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.start = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def ms(self) -> float:
        return (time.monotonic() - self.start) * 1000.0

    def add(self, text: str) -> None:
        self.file.write(f"{self.ms():9.1f} {text}\n")
        self.file.flush()


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: str | bytes) -> bytes:
    raw = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(raw) + b"".join(bulk(word) for word in raw)


_ids = 0


def new_id() -> str:
    """A new request id of 16 hex digits."""
    global _ids
    _ids += 1
    return f"{_ids:04x}{os.urandom(6).hex()}"


def any_customer() -> str:
    """One of 500 customers: a single connection carries requests from many."""
    return f"{0xB4D65000 + random.randrange(500):016x}"


def get(request_id: str, wait_ms: int = 8000) -> bytes:
    fields = f"c=profile-read,t=campus,d={wait_ms},units=1,spread=1,first=0"
    return command("CALL.GET", any_customer(), request_id, fields)


def post(request_id: str, body: bytes, key: str, wait_ms: int = 4000) -> bytes:
    fields = f"c=signup,t=campus,d={wait_ms},k={key},units=1,spread=1,first=0"
    return command("CALL.POST", any_customer(), request_id, fields, body)


# ---- RESP


class RespReader:
    """Reads RESP values from a stream; an error line comes back as bytes that begin with ``-``."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    async def value(self) -> Any:
        """The next value. Raises IncompleteReadError where the stream ends before it is whole."""
        line = await self._line()
        if line[:1] == b"*":
            return [await self.value() for _ in range(int(line[1:]))]
        if line[:1] == b"$":
            size = int(line[1:])
            if size < 0:
                return None
            raw = await self.reader.readexactly(size + 2)
            if raw[-2:] != b"\r\n":
                raise ValueError("a bulk string without its line end")
            return raw[:-2]
        return line

    async def _line(self) -> bytes:
        return (await self.reader.readuntil(b"\r\n"))[:-2]


# ---- Servers


class Call:
    """One command at a server, and the connection to answer it on."""

    def __init__(self, server: Server, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.words = words
        self.id = words[2].decode()
        self.fields = dict(part.split("=", 1) for part in words[3].decode().split(","))
        self.writer = writer

    def write(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    async def value(self, value: bytes) -> None:
        """Answer with a value and the two other fields, which are null."""
        self.write(b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n")
        await self.drain()

    async def drain(self) -> None:
        try:
            await self.writer.drain()
        except (ConnectionError, OSError):
            pass

    def reset(self) -> None:
        """Reset the connection, as the kernel does when a server's process ends."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writer.transport.abort()


Behaviour = Callable[[Call], Awaitable[None]]


class Server:
    """A server; ``behaviour`` answers each command."""

    def __init__(self, record: Record, name: str, zone: str, behaviour: Behaviour) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.behaviour = behaviour
        self.state = "Ready"
        self.started_ms = 0
        self.address = ""
        self.calls: list[tuple[float, str]] = []
        self.opened = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.opened += 1
        self._writers.add(writer)
        resp = RespReader(reader)
        try:
            while True:
                call = Call(self, await resp.value(), writer)
                self.record.add(f"{self.name} begins {call.id} d={call.fields['d']}")
                self.calls.append((self.record.ms(), call.id))
                await self.behaviour(call)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "node-3c",
            "cell": 0,
            "lifecycle": self.state,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    def close(self) -> None:
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


# ---- Discovery


class Discovery:
    """Discovery: the whole list to each new watch, changes behind it, and an empty line every 2 s."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.servers = servers
        self.generation = 1
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def document(self, servers: list[Server], reset: bool) -> dict[str, Any]:
        return {
            "generation": self.generation,
            "reset": reset,
            "instances": [server.entry() for server in servers],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
            self._write(writer, json.dumps(self.document(self.servers, True)).encode() + b"\n")
            self._watches.add(writer)
            while True:
                await asyncio.sleep(2.0)
                self._write(writer, b"\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if writer.is_closing():
            raise ConnectionResetError
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def tell(self, *servers: Server) -> None:
        """Tell all watches of these servers' present states."""
        self.generation += 1
        for writer in list(self._watches):
            self._write(writer, json.dumps(self.document(list(servers), False)).encode() + b"\n")

    def close(self) -> None:
        if self._server:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


# ---- Clients


class Client:
    """A client's connection. Nothing is read before ``replies`` is asked for some."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.buffer = b""
        self.ended = ""

    async def connect(self, address: str, receive_bytes: int = 0) -> Client:
        host, port = address.split(":")
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self.sock, (host, int(port)))
        return self

    async def send(self, data: bytes, note: str = "") -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)
        if note:
            self.record.add(f"{self.name} sent {note}")

    async def _fill(self) -> bool:
        if self.ended:
            return False
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 1 << 16)
        except OSError as error:
            self.ended = f"reset ({error.strerror})"
            return False
        if not data:
            self.ended = "closed by the gateway"
        self.buffer += data
        return bool(data)

    async def reply(self, timeout_s: float) -> bytes | None:
        """The next whole reply: a value, or a line; None if the connection ends or time is over first."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._reply()
        except TimeoutError:
            self.record.add(f"{self.name} has no reply within {timeout_s} s")
            return None

    async def _reply(self) -> bytes | None:
        while (end := self.buffer.find(b"\r\n")) < 0:
            if not await self._fill():
                return None
        line = self.buffer[:end]
        if line[:1] != b"$":
            self.buffer = self.buffer[end + 2 :]
            return line
        size = int(line[1:])
        chunks = [self.buffer[end + 2 :]]
        have = len(chunks[0])
        while have < size + 2:
            self.buffer = b""
            if not await self._fill():
                self.buffer = line + b"\r\n" + b"".join(chunks)
                return None
            chunks.append(self.buffer)
            have += len(self.buffer)
        raw = b"".join(chunks)
        self.buffer = raw[size + 2 :]
        return b"$" + raw[:size]

    def close(self) -> None:
        self.sock.close()


def short(reply: bytes | None) -> str:
    """A reply as the record shows it."""
    if reply is None:
        return "none"
    if reply[:1] == b"$":
        return f"a value of {len(reply) - 1} bytes" + (f" {reply[1:17]!r}" if len(reply) < 64 else "")
    return repr(reply.decode("latin-1"))


# ---- The platform


def settings(**changes: Any) -> dict[str, Any]:
    """Settings like those of a small deployment, in the form of the wire page's example."""
    base: dict[str, Any] = {
        "balancers": 1,
        "client_habits": {"marks_retry": True},
        "contract": {
            "answer_slack_ms": 50.0,
            "drain_grace_ms": 500.0,
            "fall_ms": 1000.0,
            "must_ask_in_ms": 10000.0,
            "start_capacity": 0.17,
            "tip_multiple": 3.0,
            "warm_up_ms": 17000.0,
        },
        "deductions": {"cross_zone": 0.005, "late_fail": 0.08, "waste": 0.05},
        "discovery": "automatic",
        "family": "gate",
        "family_info": {
            "call_price": 0.01,
            "count_limit_ms": 30.0,
            "has_counter": False,
            "inbox_per_s": 0.0,
            "largest": 6,
            "meter_ms": 2000.0,
            "settles": False,
        },
        "goal": {"whole": 0.45, "worst_class": 0.1, "worst_tenant": 0.35, "worst_window": 0.1},
        "kinds": ["node-3c"],
        "limits": {
            "attempts_cap": 5,
            "cancelling": True,
            "conn_idle_ms": 15000.0,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "max_retry_after_ms": 2000.0,
            "may_duplicate": True,
            "multiplex": 100,
            "open_cap": 20000,
            "peers": False,
            "probes": False,
            "retry_after": True,
        },
        "load_info": {"how": "none", "names": []},
        "locality": "room-a",
        "services": [
            {
                "effect": "safe",
                "hard_limit_ms": 8000.0,
                "key_scope": "all",
                "late_share": 0.2,
                "memory_span_ms": 5000.0,
                "name": "profile-read",
                "slo_ms": 2000.0,
                "stream": False,
                "value": 1.0,
            },
            {
                "effect": "keyed",
                "hard_limit_ms": 4000.0,
                "key_scope": "zone",
                "late_share": 0.2,
                "memory_span_ms": 8000.0,
                "name": "signup",
                "slo_ms": 1500.0,
                "stream": False,
                "value": 5.0,
            },
        ],
        "slot_no": 0,
        "tariffs": [
            {
                "cap_depth": 0.0,
                "cap_rate": 0.0,
                "excess_worth": 0.0,
                "hard_slack": 0.0,
                "most_at_once": 28.0,
                "name": "campus",
                "overrun_cost": 1.2,
                "parallel": 0,
                "refill": 16.0,
                "value_factor": 1.6,
            }
        ],
        "tick_ms": 4.0,
        "tier": 0,
        "tiers": ["fleet"],
        "weight_kind": "nominal",
        "zones": ["room-a", "room-b"],
    }
    base.update(changes)
    return base


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Gateway:
    """A gateway process, started by ``run`` of the deploy file, as the platform does it."""

    def __init__(
        self,
        case: Case,
        name: str,
        listen: str,
        temp: Path,
        config: Path,
        passed: socket.socket | None,
        admin: str,
    ) -> None:
        self.case = case
        self.name = name
        self.listen = listen
        self.admin = admin
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temp),
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": listen,
            "EDGE_DISCOVERY": case.discovery.address,
            "EDGE_CONFIG": str(config),
        }
        if admin:
            environment["EDGE_ADMIN"] = admin
        self.log = (case.temp / f"{name}.log").open("wb")

        def inherit() -> None:
            if passed:
                os.dup2(passed.fileno(), 3, inheritable=True)

        if passed:
            environment["EDGE_PASSED_SOCKET"] = "3"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
            pass_fds=(3,) if passed else (),
            preexec_fn=inherit if passed else None,
        )
        case.record.add(f"{name} started")

    async def ready(self, timeout_s: float = 10.0) -> None:
        """Wait for ``+PONG``, as the front does."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CaseCannotRunError(f"{self.name} ended at its start")
            client = Client(self.case.record, "front")
            try:
                await client.connect(self.listen)
                await client.send(command("PING"))
                if await client.reply(1.0) == b"+PONG":
                    self.case.record.add(f"{self.name} is ready")
                    return
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.1)
        raise CaseCannotRunError(f"{self.name} was not ready in time")

    async def ask(self, line: str) -> str:
        """One call at the operators' address."""
        host, port = self.admin.split(":")
        try:
            async with asyncio.timeout(1.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                answer = (await reader.readline()).decode().strip()
                writer.close()
        except (OSError, TimeoutError) as error:
            answer = f"(no answer: {error!r})"
        self.case.record.add(f"operator: {line} -> {answer}")
        return answer

    def signal(self, number: signal.Signals) -> None:
        self.case.record.add(f"platform: {number.name} to {self.name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Case:
    """The parts of one case; everything that it started ends with it."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temp = Path(tempfile.mkdtemp(prefix="case-"))
        self.servers: list[Server] = []
        self.discovery = Discovery(self.record, self.servers)
        self.gateways: list[Gateway] = []
        self.clients: list[Client] = []
        self.passed: socket.socket | None = None
        self.seed = os.urandom(8).hex()

    def server(self, name: str, behaviour: Behaviour, zone: str = "room-a") -> Server:
        server = Server(self.record, name, zone, behaviour)
        self.servers.append(server)
        return server

    async def listen(self) -> None:
        for server in self.servers:
            await server.listen()
        await self.discovery.listen()

    def write_config(
        self, path: Path, listen: str, machine: dict[str, Any] | None = None, **changes: Any
    ) -> None:
        document = {
            "name": "n0",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": self.seed,
            "limits": machine or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.document(self.servers, True),
            "settings": settings(**changes),
        }
        path.write_text(json.dumps(document))

    def start_gateway(
        self,
        name: str = "gateway",
        listen: str = "",
        temp: Path | None = None,
        machine: dict[str, Any] | None = None,
        admin: bool = False,
        **changes: Any,
    ) -> Gateway:
        listen = listen or f"127.0.0.1:{free_port()}"
        if temp is None:
            temp = self.temp / f"{name}.tmp"
            temp.mkdir()
        config = self.temp / f"{name}.json"
        self.write_config(config, listen, machine, **changes)
        admin_address = f"127.0.0.1:{free_port()}" if admin else ""
        gateway = Gateway(self, name, listen, temp, config, self.passed, admin_address)
        gateway.temp = temp
        gateway.config = config
        self.gateways.append(gateway)
        return gateway

    async def client(self, gateway: Gateway, name: str, receive_bytes: int = 0) -> Client:
        client = await Client(self.record, name).connect(gateway.listen, receive_bytes)
        self.clients.append(client)
        return client

    def close(self) -> None:
        for client in self.clients:
            client.close()
        for gateway in self.gateways:
            gateway.end()
            log = (self.temp / f"{gateway.name}.log").read_text(errors="replace")
            self.record.add(f"the log of {gateway.name}:\n{log}")
        for server in self.servers:
            server.close()
        self.discovery.close()
        if self.passed:
            self.passed.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def main(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> int:
    """Play a case; ``play`` returns what broke the rule. The exit code is that of ``run.sh``."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        case = Case(folder)
        try:
            async with asyncio.timeout(110.0):
                broken = await play(case)
        except (CaseCannotRunError, TimeoutError, OSError) as error:
            case.record.add(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            case.close()
        for text in broken:
            case.record.add(f"RULE BROKEN: {text}")
            print(f"rule broken: {text}")
        if not broken:
            case.record.add("the rule held")
            print("the rule held")
        return BROKEN if broken else HELD

    try:
        return asyncio.run(run())
    except (
        Exception,
        asyncio.CancelledError,
        KeyboardInterrupt,
    ) as error:  # a fault of the case itself says nothing about the rule
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
