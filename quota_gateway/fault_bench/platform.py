"""The platform's stand-in: starts and ends gateways' processes when it is asked to, from outside the bench.

It owes what ``quota_gateway.rollout.launcher`` does (one process an admin address, no outdated token), but
its processes are the fault bench's, and end with it.
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
# Of a rollout's plan, behind ``python -m quota_gateway.fault_bench.platform_client HOST:PORT``.
START_WORDS = ("start", "{name}", "{door}", "{token}", "{folder}", "{command}")
STOP_WORDS = ("stop", "{name}", "{door}", "{token}")


@dataclass(frozen=True, slots=True)
class PlatformRequest:
    """A request to start or to end a process; `START_WORDS` or `STOP_WORDS`, filled in.

    Attributes:
        program: that is to be started; none for a stop.
    """

    gateway: str
    admin_address: str
    token: int
    program: Program | None

    @classmethod
    def decode(cls, line: bytes) -> PlatformRequest:
        """Read a line of JSON words. Raises ValueError where it is none."""
        command, gateway, admin_address, token, *program = json.loads(line)
        if command != "start":
            return cls(gateway, admin_address, int(token), None)
        folder, shell_command = program
        return cls(gateway, admin_address, int(token), Program(Path(folder), shell_command))


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Whether a request was carried out, and what was found."""

    succeeded: bool
    message: str

    def encode(self) -> bytes:
        """A line of JSON."""
        return json.dumps([self.succeeded, self.message]).encode() + b"\n"


class Platform:
    """Takes one request a connection."""

    def __init__(self, managed_gateways: dict[str, ManagedGateway], places: dict[str, list[Link]]) -> None:
        self.managed_gateways = managed_gateways
        self.places = places  # by gateway: the links of its admin endpoints, in their order
        self.server: asyncio.Server | None = None
        self.tokens: dict[str, int] = {}  # the highest by gateway
        self.locks = {name: asyncio.Lock() for name in managed_gateways}

    async def listen(self, at: Address) -> None:
        """Raises OSError where the address is taken."""
        self.server = await asyncio.start_server(self._serve, *at)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self._answer(PlatformRequest.decode(await reader.readline()))
            writer.write(answer.encode())
            await writer.drain()
        except (OSError, ValueError, KeyError) as error:  # a caller that left, or no request of a gateway's
            writer.write(PlatformAnswer(False, repr(error)).encode())
        finally:
            writer.close()

    async def _answer(self, request: PlatformRequest) -> PlatformAnswer:
        links = self.places[request.gateway]
        place = ["{}:{}".format(*link.at) for link in links].index(request.admin_address)
        async with self.locks[request.gateway]:
            seen = self.tokens.get(request.gateway, 0)
            if request.token < seen:
                return PlatformAnswer(False, f"an older token: {seen} has called")
            self.tokens[request.gateway] = request.token
            managed = self.managed_gateways[request.gateway]
            process = managed.at(place)
            if request.program is None:
                return await self._stop(process)
            if process:
                return PlatformAnswer(True, "running")
            return await self._start(managed, place, request.program)

    async def _start(self, managed: ManagedGateway, place: int, program: Program) -> PlatformAnswer:
        process = await managed.start(program, place)
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
