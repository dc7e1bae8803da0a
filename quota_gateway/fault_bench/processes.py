"""The gateways' processes: started by the very command of ``run``, ended by id, never outliving the bench."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from msgspec import Struct

from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.history import History
from quota_gateway.fault_bench.relay import Address, Link
from quota_gateway.fault_bench.stand_ins import Clock

# Ended by the kernel when the bench's main thread ends, however that is; not by its terminal.
BOUND = (
    "import ctypes, os, sys; ctypes.CDLL(None).prctl(1, 9);os.getppid() == int(sys.argv[1]) or os._exit(1);"
)
LAUNCH = BOUND + "os.execv('/bin/sh', ['sh', '-c', sys.argv[2]])"
SPIN = BOUND + "\nwhile True: pass"
ADMIN_TIMEOUT_S = 1.5  # for an answer of an admin endpoint


class Program(Struct, frozen=True):
    """A version of the gateway: a folder and the command that runs it there."""

    folder: Path
    command: str

    @classmethod
    def of(cls, folder: Path) -> Program:
        """By the ``run`` of a folder's deploy file; where that environment is not built, by this interpreter.

        Raises OSError, KeyError or tomllib.TOMLDecodeError where there is no such file.
        """
        command = str(tomllib.loads((folder / "deploy" / "balancer.toml").read_text())["run"])
        if not (folder / ".venv" / "bin" / "python").exists():
            command = command.replace(".venv/bin/python", sys.executable)
        return cls(folder, command)


class Process:
    """One process of a gateway, with an admin endpoint of its own."""

    def __init__(self, child: asyncio.subprocess.Process, admin_address: Address) -> None:
        self.child = child
        self.admin_address = admin_address

    @property
    def pid(self) -> int:
        """Its id."""
        return self.child.pid

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.child.returncode is None

    def signal(self, number: int) -> None:
        """Nothing where it has ended."""
        if self.alive:
            with suppress(ProcessLookupError):
                self.child.send_signal(number)

    async def call(self, line: str) -> str:
        """What its own admin endpoint answers; empty where nothing comes."""
        return await call(self.admin_address, line)


async def call(admin_address: Address, line: str) -> str:
    """One call at an admin endpoint: the answer's line, or empty where none comes in time."""
    writer = None
    try:
        async with asyncio.timeout(ADMIN_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*admin_address)
            writer.write(line.encode() + b"\n")
            return (await reader.readline()).decode().strip()
    except (OSError, TimeoutError):
        return ""
    finally:
        if writer:
            writer.close()


class ManagedGateway:
    """A gateway: its addresses, its configuration file, the processes that are or were it."""

    def __init__(
        self,
        name: str,
        folder: Path,
        document: dict[str, Any],
        admin_addresses: list[Address],
        link: Link,
        clock: Clock,
        history: History,
        program: Program,
    ) -> None:
        self.name = name
        self.folder = folder
        self.document = document
        self.admin_addresses = admin_addresses
        self.link = link  # of the operators' admin endpoint, to whichever process is the newest
        self.clock = clock
        self.history = history
        self.program = program
        self.processes: list[Process] = []
        self.started = 0
        self.tmp = folder / "tmp"
        self.config = folder / "config.json"
        self.tasks: set[asyncio.Task[None]] = set()
        self.tmp.mkdir(parents=True)
        self.write(document)

    def write(self, document: dict[str, Any]) -> None:
        """Another configuration file, whole."""
        self.document = document
        fresh = self.config.with_suffix(".new")
        fresh.write_text(json.dumps(document))
        os.replace(fresh, self.config)

    @property
    def process(self) -> Process | None:
        """The newest process, dead or alive."""
        return self.processes[-1] if self.processes else None

    def at(self, place: int) -> Process | None:
        """The living process at the admin endpoint of that number."""
        return next(
            (one for one in self.processes if one.alive and one.admin_address == self.admin_addresses[place]),
            None,
        )

    async def start(self, program: Program | None = None, place: int | None = None) -> Process:
        """Start a process, beside one that lives if there is one; at that number's endpoint, or the next."""
        admin_address = self.admin_addresses[
            self.started % len(self.admin_addresses) if place is None else place
        ]
        self.started = self.admin_addresses.index(admin_address) + 1
        program = program or self.program
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.config),
            "EDGE_NAME": self.name,
            "EDGE_ADMIN": f"{admin_address[0]}:{admin_address[1]}",
            "TMPDIR": str(self.tmp),
        }
        with (self.folder / "log").open("ab") as sink:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-I",
                "-S",
                "-c",
                LAUNCH,
                str(os.getpid()),
                program.command,
                cwd=program.folder,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                start_new_session=True,
            )
        process = Process(child, admin_address)
        self.processes.append(process)
        self.link.target = admin_address
        self._note(process, "started")
        task = asyncio.get_running_loop().create_task(self._watch(process))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return process

    async def _watch(self, process: Process) -> None:
        code = await process.child.wait()
        self._note(process, "ended", code)
        living = [one for one in self.processes if one.alive]
        if living:
            self.link.target = living[-1].admin_address

    def _note(self, process: Process, state: str, code: int = 0) -> None:
        self.history.add(records.ProcessChanged(self.clock.now, self.name, process.pid, state, code))

    async def ready(self, process: Process) -> bool:
        """Wait until its admin endpoint says that it can serve; false if it ends before."""
        while process.alive:
            if (await process.call("HEALTH")).startswith("YES"):
                self._note(process, "ready")
                return True
            await asyncio.sleep(0.02)
        return False

    async def upgrade(self, program: Program | None = None) -> bool:
        """The next process takes over, then the one before is told to end; whether it did take over."""
        before = self.process
        process = await self.start(program)
        if not await self.ready(process):
            return False
        if before:
            before.signal(signal.SIGTERM)
        return True

    def signal(self, number: int) -> None:
        """To all its processes that live."""
        for process in self.processes:
            process.signal(number)

    def limit(self, which: int, amount: int) -> None:
        """A limit of the kernel's on each living process (RLIMIT_NOFILE, RLIMIT_AS)."""
        for process in self.processes:
            if process.alive:
                resource.prlimit(process.pid, which, (amount, resource.prlimit(process.pid, which)[1]))

    def log(self) -> str:
        """What its processes have logged so far."""
        return (self.folder / "log").read_text(errors="replace")

    async def close(self) -> None:
        """End what lives, and wait for it."""
        self.signal(signal.SIGKILL)
        for process in self.processes:
            await process.child.wait()
        await asyncio.gather(*self.tasks)


class Neighbour:
    """Processes that do nothing but use the core on which a gateway runs."""

    def __init__(self) -> None:
        self.children: list[asyncio.subprocess.Process] = []
        self.pinned: list[int] = []

    async def start(self, managed: ManagedGateway, count: int) -> None:
        """Pin the gateway to one core, and so many others beside it."""
        core = min(os.sched_getaffinity(0))
        for process in managed.processes:
            if process.alive:
                os.sched_setaffinity(process.pid, {core})
                self.pinned.append(process.pid)
        for _ in range(count):
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-I", "-S", "-c", SPIN, str(os.getpid()), start_new_session=True
            )
            with suppress(ProcessLookupError):
                os.sched_setaffinity(child.pid, {core})
            self.children.append(child)

    async def close(self) -> None:
        """End them, and let the gateway run where it likes."""
        for child in self.children:
            with suppress(ProcessLookupError):
                child.kill()
            await child.wait()
        for pid in self.pinned:
            with suppress(ProcessLookupError):
                os.sched_setaffinity(pid, os.sched_getaffinity(0))
        self.children = []
        self.pinned = []
