"""Starts and ends the gateways' processes, by the ``run`` command of the deploy file.

No process outlives the bench. Processes are signalled by their ids only.
"""

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

# Python sources for ``python -c``; the first argument is the bench's process id. The kernel kills the process
# (PR_SET_PDEATHSIG, SIGKILL) when the bench's main thread ends for whatever reason; if the bench has ended
# already, the process exits at once. It has a session of its own: signals from the terminal don't reach it.
DIE_WITH_PARENT = (
    "import ctypes, os, sys; ctypes.CDLL(None).prctl(1, 9);os.getppid() == int(sys.argv[1]) or os._exit(1);"
)
LAUNCH_SOURCE = DIE_WITH_PARENT + "os.execv('/bin/sh', ['sh', '-c', sys.argv[2]])"
SPIN_SOURCE = DIE_WITH_PARENT + "\nwhile True: pass"
ADMIN_TIMEOUT_S = 1.5  # to connect to an admin endpoint and read its answer


class Program(Struct, frozen=True):
    """A version of the gateway: a folder and the command that runs it there."""

    folder: Path
    command: str

    @classmethod
    def of(cls, folder: Path) -> Program:
        """The version in a folder, with the ``run`` command of its ``deploy/balancer.toml``.

        Where the folder has no ``.venv``, this interpreter takes the place of the one in ``.venv``.
        Raises OSError, KeyError or tomllib.TOMLDecodeError if the file is missing or invalid.
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
        """The process id."""
        return self.child.pid

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.child.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        if self.alive:
            with suppress(ProcessLookupError):
                self.child.send_signal(number)

    async def call(self, line: str) -> str:
        """Send a command line to the process's admin endpoint: the answer, empty if none comes in time."""
        return await call(self.admin_address, line)


async def call(admin_address: Address, line: str) -> str:
    """Send a command line to an admin endpoint: the answer's line, empty if none comes in time."""
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
    """A gateway: its addresses, its configuration file, and all processes that were started for it."""

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
        self.link = link  # from operators to the admin endpoint of the newest living process
        self.clock = clock
        self.history = history
        self.program = program
        self.processes: list[Process] = []
        self.next_admin_index = 0  # of the admin address for the next process, modulo their number
        self.tmp = folder / "tmp"
        self.config = folder / "config.json"
        self.tasks: set[asyncio.Task[None]] = set()
        self.tmp.mkdir(parents=True)
        self.write(document)

    def write(self, document: dict[str, Any]) -> None:
        """Replace the configuration file atomically."""
        self.document = document
        new_path = self.config.with_suffix(".new")
        new_path.write_text(json.dumps(document))
        os.replace(new_path, self.config)

    @property
    def process(self) -> Process | None:
        """The newest process, dead or alive."""
        return self.processes[-1] if self.processes else None

    def living_process_at(self, admin_index: int) -> Process | None:
        """The living process at an admin address, by the address's index; None if there is none."""
        return next(
            (
                candidate
                for candidate in self.processes
                if candidate.alive and candidate.admin_address == self.admin_addresses[admin_index]
            ),
            None,
        )

    async def start(self, program: Program | None = None, admin_index: int | None = None) -> Process:
        """Start a process, even while an earlier one lives; without an index, at the next admin address."""
        admin_address = self.admin_addresses[
            self.next_admin_index % len(self.admin_addresses) if admin_index is None else admin_index
        ]
        self.next_admin_index = self.admin_addresses.index(admin_address) + 1
        program = program or self.program
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.config),
            "EDGE_NAME": self.name,
            "EDGE_ADMIN": f"{admin_address[0]}:{admin_address[1]}",
            "TMPDIR": str(self.tmp),
        }
        with (self.folder / "log").open("ab") as log_file:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-I",
                "-S",
                "-c",
                LAUNCH_SOURCE,
                str(os.getpid()),
                program.command,
                cwd=program.folder,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                start_new_session=True,
            )
        process = Process(child, admin_address)
        self.processes.append(process)
        self.link.target = admin_address
        self._record(process, "started")
        task = asyncio.get_running_loop().create_task(self._watch(process))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return process

    async def _watch(self, process: Process) -> None:
        code = await process.child.wait()
        self._record(process, "ended", code)
        living = [candidate for candidate in self.processes if candidate.alive]
        if living:
            self.link.target = living[-1].admin_address

    def _record(self, process: Process, state: str, code: int = 0) -> None:
        self.history.add(records.ProcessChanged(self.clock.now, self.name, process.pid, state, code))

    async def ready(self, process: Process) -> bool:
        """Wait until a process's admin endpoint says that it can serve; False if the process ends before."""
        while process.alive:
            if (await process.call("HEALTH")).startswith("YES"):
                self._record(process, "ready")
                return True
            await asyncio.sleep(0.02)
        return False

    async def upgrade(self, program: Program | None = None) -> bool:
        """Start a process that takes over, then SIGTERM the one before; False if it failed to take over."""
        before = self.process
        process = await self.start(program)
        if not await self.ready(process):
            return False
        if before:
            before.signal(signal.SIGTERM)
        return True

    def signal(self, number: int) -> None:
        """Send a signal to all living processes of the gateway."""
        for process in self.processes:
            process.signal(number)

    def limit(self, limit_id: int, amount: int) -> None:
        """Set the soft value of a kernel limit (RLIMIT_NOFILE, RLIMIT_AS) for each living process."""
        for process in self.processes:
            if process.alive:
                resource.prlimit(process.pid, limit_id, (amount, resource.prlimit(process.pid, limit_id)[1]))

    def log(self) -> str:
        """What the gateway's processes have logged so far."""
        return (self.folder / "log").read_text(errors="replace")

    async def close(self) -> None:
        """Kill all living processes, and wait until they have ended."""
        self.signal(signal.SIGKILL)
        for process in self.processes:
            await process.child.wait()
        await asyncio.gather(*self.tasks)


class CpuHog:
    """Processes that compete with a gateway for its core: they spin and do nothing else."""

    def __init__(self) -> None:
        self.children: list[asyncio.subprocess.Process] = []
        self.pinned_pids: list[int] = []

    async def start(self, managed: ManagedGateway, count: int) -> None:
        """Pin the gateway's processes to one core, and start ``count`` spinning processes on that core."""
        core = min(os.sched_getaffinity(0))
        for process in managed.processes:
            if process.alive:
                os.sched_setaffinity(process.pid, {core})
                self.pinned_pids.append(process.pid)
        for _ in range(count):
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-I", "-S", "-c", SPIN_SOURCE, str(os.getpid()), start_new_session=True
            )
            with suppress(ProcessLookupError):
                os.sched_setaffinity(child.pid, {core})
            self.children.append(child)

    async def close(self) -> None:
        """End the spinning processes, and let the gateway run on all of the bench's cores."""
        for child in self.children:
            with suppress(ProcessLookupError):
                child.kill()
            await child.wait()
        for pid in self.pinned_pids:
            with suppress(ProcessLookupError):
                os.sched_setaffinity(pid, os.sched_getaffinity(0))
        self.children = []
        self.pinned_pids = []
