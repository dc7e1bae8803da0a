"""A stand-in for the platform: starts and ends gateways' processes on requests from outside the bench.

It keeps the rules of ``quota_gateway.rollout.launcher``: at most one process for an admin address, and no
request with an outdated token. But its processes belong to the fault bench, and end with it.
"""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import dataclass
from pathlib import Path

from quota_gateway.fault_bench.processes import ManagedGateway, Process, Program
from quota_gateway.fault_bench.relay import Address, Link
from quota_gateway.rollout.program_output import last_line

START_TIMEOUT_S = 20.0  # for a process's admin endpoint to answer
TERMINATION_GRACE_S = 4.5  # from SIGTERM to SIGKILL
POLL_INTERVAL_S = 0.02
# In a rollout's plan, after ``python -m quota_gateway.fault_bench.platform_client HOST:PORT``.
START_WORDS = ("start", "{name}", "{door}", "{token}", "{folder}", "{command}")
STOP_WORDS = ("stop", "{name}", "{door}", "{token}")


@dataclass(frozen=True, slots=True)
class PlatformRequest:
    """A request to start or to end a process: `START_WORDS` or `STOP_WORDS` with their placeholders filled.

    Attributes:
        program: the program to start; None in a request to stop.
    """

    gateway: str
    admin_address: str
    token: int
    program: Program | None

    @classmethod
    def decode(cls, line: bytes) -> PlatformRequest:
        """Read a request from a JSON list of strings. Raises ValueError if it is malformed."""
        command, gateway, admin_address, token, *program = json.loads(line)
        if command != "start":
            return cls(gateway, admin_address, int(token), None)
        folder, shell_command = program
        return cls(gateway, admin_address, int(token), Program(Path(folder), shell_command))


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Whether a request was carried out, and a message that says what was done or why it failed."""

    succeeded: bool
    message: str

    def encode(self) -> bytes:
        """The answer as a line of JSON."""
        return json.dumps([self.succeeded, self.message]).encode() + b"\n"


class Platform:
    """Serves one request on each connection."""

    def __init__(
        self, managed_gateways: dict[str, ManagedGateway], admin_links: dict[str, list[Link]]
    ) -> None:
        self.managed_gateways = managed_gateways
        self.admin_links = admin_links  # by gateway, in the order of its admin addresses
        self.server: asyncio.Server | None = None
        self.tokens: dict[str, int] = {}  # the highest token seen, by gateway
        self.locks = {name: asyncio.Lock() for name in managed_gateways}

    async def listen(self, listen_address: Address) -> None:
        """Start listening. Raises OSError if the address is taken."""
        self.server = await asyncio.start_server(self._serve, *listen_address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self._carry_out(PlatformRequest.decode(await reader.readline()))
            writer.write(answer.encode())
            await writer.drain()
        except (OSError, ValueError, KeyError) as error:  # caller left, bad request, no such gateway
            writer.write(PlatformAnswer(False, repr(error)).encode())
        finally:
            writer.close()

    async def _carry_out(self, request: PlatformRequest) -> PlatformAnswer:
        links = self.admin_links[request.gateway]
        admin_index = ["{}:{}".format(*link.listen_address) for link in links].index(request.admin_address)
        async with self.locks[request.gateway]:
            highest_token = self.tokens.get(request.gateway, 0)
            if request.token < highest_token:
                return PlatformAnswer(False, f"an older token: a call with token {highest_token} came before")
            self.tokens[request.gateway] = request.token
            managed = self.managed_gateways[request.gateway]
            process = managed.living_process_at(admin_index)
            if request.program is None:
                return await self._stop(process)
            if process:
                return PlatformAnswer(True, "running")
            return await self._start(managed, admin_index, request.program)

    async def _start(self, managed: ManagedGateway, admin_index: int, program: Program) -> PlatformAnswer:
        process = await managed.start(program, admin_index)
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while process.alive and not await process.call("HEALTH"):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            await self._kill(process)
        if process.alive:
            return PlatformAnswer(True, "started")
        reason = f"it ended with {process.child.returncode}: {last_line(managed.log())}"
        return PlatformAnswer(False, reason)

    async def _stop(self, process: Process | None) -> PlatformAnswer:
        if process is None:
            return PlatformAnswer(True, "nobody there")
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERMINATION_GRACE_S):
                await process.child.wait()
        except TimeoutError:
            await self._kill(process)
        return PlatformAnswer(True, "ended")

    async def _kill(self, process: Process) -> None:
        process.signal(signal.SIGKILL)
        await process.child.wait()

    def close(self) -> None:
        """Stop listening."""
        if self.server:
            self.server.close()
