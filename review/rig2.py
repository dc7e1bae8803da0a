"""Rig of the second review: stand-ins for discovery, servers and clients, and the gateway as a process.

Python's standard library, and the event loop that the deploy file installs. All addresses are loopback
addresses, on free ports.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

ROOT = Path(__file__).resolve().parent.parent
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
# How a read or write tells that the connection has ended; RuntimeError: a write to a closed transport.
ENDED = (ConnectionError, RuntimeError, asyncio.IncompleteReadError)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w")

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")


def words(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def get(number: int, fields: str, customer: int = 1) -> bytes:
    """A request of a class that is safe to repeat."""
    return words(b"CALL.GET", b"%016x" % customer, b"%016x" % number, fields.encode())


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    head = await reader.readuntil(b"\r\n")
    if head[:1] != b"*":
        raise ValueError(f"not an array: {head!r}")
    result = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        result.append((await reader.readexactly(length + 2))[:-2])
    return result


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """One whole answer of the gateway: the value of a bulk string, or the line of anything else."""
    head = await reader.readuntil(b"\r\n")
    if head[:1] == b"$" and head != b"$-1\r\n":
        return b"$" + (await reader.readexactly(int(head[1:]) + 2))[:-2]
    return head[:-2]


Respond = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server: runs one command after the other on each connection, as ``respond`` says."""

    def __init__(self, name: str, record: Record, respond: Respond) -> None:
        self.name = name
        self.port = free_port()
        self.ran: list[bytes] = []  # ids of requests that began to run
        self._record = record
        self._respond = respond
        self._server: asyncio.Server | None = None

    async def start(self) -> Server:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                command = await read_words(reader)
                self.ran.append(command[2])
                self._record(f"{self.name} runs {command[2].decode()}")
                await self._respond(command, writer)
        except (
            ConnectionError,
            RuntimeError,
            asyncio.IncompleteReadError,
        ):  # RuntimeError: of a closed transport
            pass
        finally:
            writer.close()

    def row(self, zone: str = "a", lifecycle: str = "Ready") -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": zone,
            "machineType": "m1",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery:
    """Discovery's agent: tells each watch the whole list, then an empty line every 2 s."""

    def __init__(self, rows: list[dict[str, object]]) -> None:
        self.port = free_port()
        self.document = {"generation": 1, "reset": True, "instances": rows}

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            line = json.dumps(self.document).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(2.0)
        except (
            ConnectionError,
            RuntimeError,
            asyncio.IncompleteReadError,
        ):  # RuntimeError: of a closed transport
            pass
        finally:
            writer.close()


def service(name: str, effect: str, deadline_ms: float, **more: object) -> dict[str, object]:
    return {
        "name": name,
        "slo_ms": deadline_ms / 2.0,
        "hard_limit_ms": deadline_ms,
        "effect": effect,
        "value": 1.0,
        "late_share": 0.2,
        "key_scope": "all",
        "memory_span_ms": 0.0,
        "stream": False,
        **more,
    }


def configuration(
    discovery: Discovery, services: list[dict[str, object]], sockets: int = 1024, **limits: object
) -> dict[str, object]:
    """The configuration of the one gateway of a small deployment; quotas are wide."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "admin": f"127.0.0.1:{free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": discovery.document,
        "settings": {
            "balancers": 1,
            "slot_no": 0,
            "locality": "a",
            "zones": ["a"],
            "discovery": "automatic",
            "tick_ms": 4.0,
            "services": services,
            "tariffs": [
                {
                    "name": "campus",
                    "refill": 1000.0,
                    "most_at_once": 5000.0,
                    "parallel": 0,
                    "value_factor": 1.0,
                    "excess_worth": 0.0,
                    "overrun_cost": 0.0,
                    "cap_rate": 0.0,
                    "cap_depth": 0.0,
                    "hard_slack": 0.0,
                }
            ],
            "limits": {
                "attempts_cap": 5,
                "may_duplicate": True,
                "cancelling": True,
                "probes": False,
                "peers": False,
                "retry_after": True,
                "open_cap": 20000,
                "conn_idle_ms": 15000.0,
                "connect_timeout_ms": 250.0,
                "max_retry_after_ms": 2000.0,
                **limits,
            },
            "contract": {
                "answer_slack_ms": 16.0,
                "drain_grace_ms": 500.0,
                "start_capacity": 0.17,
                "warm_up_ms": 17000.0,
                "tip_multiple": 3.0,
                "fall_ms": 1000.0,
                "must_ask_in_ms": 10000.0,
            },
            "family_info": {
                "meter_ms": 2000.0,
                "largest": 6.0,
                "settles": False,
                "has_counter": False,
                "count_limit_ms": 30.0,
            },
            "load_info": {"names": []},
            "deductions": {"cross_zone": 0.005},
        },
    }


def run_command() -> str:
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]


class Gateways:
    """Gateway processes, started by the command of the deploy file; all of them end with the case."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.processes: list[subprocess.Popen[bytes]] = []
        self.listener: socket.socket | None = None
        (folder / "tmp").mkdir()

    def hold_listener(self, config: dict[str, object]) -> None:
        """Hold the clients' listening socket, as the platform does; processes inherit it as descriptor 3."""
        host, port = str(config["listen"]).split(":")
        self.listener = socket.create_server((host, int(port)), backlog=1024)

    def start(self, config: dict[str, object], admin: str | None = None) -> subprocess.Popen[bytes]:
        """Start one process. ``admin``: another address for operators than the configuration's."""
        number = len(self.processes)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder / "tmp"),
            "EDGE_CONFIG": str(path),
        }
        if admin:
            environment["EDGE_ADMIN"] = admin
        if self.listener:
            environment["EDGE_PASSED_SOCKET"] = "3"
        sockets = config["limits"]["sockets"]

        def prepare() -> None:
            if self.listener:
                os.dup2(self.listener.fileno(), 3)
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=(self.folder / f"gateway-{number}.log").open("wb"),
            preexec_fn=prepare,
            pass_fds=(3,) if self.listener else (),
        )
        self.processes.append(process)
        self.record(f"gateway process {number} started")
        return process

    def log(self, number: int) -> str:
        return (self.folder / f"gateway-{number}.log").read_text(errors="replace")

    def end_all(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for number in range(len(self.processes)):
            self.record.file.write(f"--- log of gateway process {number}\n{self.log(number)[:20000]}")
        self.record.file.flush()


async def ask(address: str, line: str) -> str:
    """One call at the operators' address."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(line.encode() + b"\n")
        return (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
    finally:
        writer.close()


async def until_ready(address: str, seconds: float = 30.0) -> None:
    """Wait until HEALTH says yes."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if (await ask(address, "HEALTH")).startswith("YES"):
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise CannotRunError("the gateway was not ready in time")


async def connect(config: dict[str, object]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = str(config["listen"]).split(":")
    return await asyncio.open_connection(host, int(port))


def slow_socket(config: dict[str, object], receive_buffer: int) -> socket.socket:
    """A client's connection whose small buffer lets the client read at its own pace."""
    host, port = str(config["listen"]).split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return sock


def main(folder: str, play: Callable[[Gateways, Record], Awaitable[list[str]]]) -> None:
    """Play a case and exit. ``play`` returns what broke the rule, in words; an empty list if it held."""
    here = Path(folder).resolve().parent
    record = Record(here / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    signal.alarm(115)  # a case that hangs ends before its 120 s
    code = CANNOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        gateways = Gateways(Path(temporary), record)

        def stopped(_number: int, _frame: object) -> None:
            gateways.end_all()
            os._exit(CANNOT_RUN)

        signal.signal(signal.SIGALRM, stopped)
        signal.signal(signal.SIGTERM, stopped)
        try:
            faults = uvloop.run(play(gateways, record))
            for fault in faults:
                record(f"BROKEN {fault}")
            code = BROKEN if faults else HOLDS
        except CannotRunError as error:
            record(f"CANNOT RUN {error}")
        except Exception:
            record(f"CANNOT RUN {traceback.format_exc()}")
        finally:
            gateways.end_all()
    record(f"exit {code}")
    record.file.close()
    print({HOLDS: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
