"""The platform's stand-in: starts and ends members' processes when it is asked to, from outside the rig.

It owes what ``quota_gateway.rollout.launcher`` does (one process an admin endpoint, no older token), but its
processes are the fault bench's, and end with it.
"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from quota_gateway.fault_bench.processes import Member, Process, Program
from quota_gateway.fault_bench.relay import Address, Link
from quota_gateway.rollout.launcher import last_line

UP_S = 20.0  # for a process's door to answer
END_S = 4.5  # from SIGTERM to SIGKILL
LOOK_S = 0.02
# Of a rollout's plan, behind ``python -m quota_gateway.fault_bench.platform_client HOST:PORT``.
START = ("start", "{name}", "{door}", "{token}", "{folder}", "{command}")
STOP = ("stop", "{name}", "{door}", "{token}")


class Platform:
    """Takes one call a connection: a line of JSON words, answered by yes or no and a word."""

    def __init__(self, members: dict[str, Member], places: dict[str, list[Link]]) -> None:
        self.members = members
        self.places = places  # by member: the links of its doors, in their order
        self.server: asyncio.Server | None = None
        self.tokens: dict[str, int] = {}  # the highest by member
        self.turns = {name: asyncio.Lock() for name in members}

    async def listen(self, at: Address) -> None:
        """Raises OSError where the address is taken."""
        self.server = await asyncio.start_server(self._serve, *at)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            yes, text = await self._call(json.loads(await reader.readline()))
            writer.write(json.dumps([yes, text]).encode() + b"\n")
            await writer.drain()
        except (OSError, ValueError, KeyError, IndexError) as error:
            writer.write(json.dumps([False, repr(error)]).encode() + b"\n")
        finally:
            writer.close()

    async def _call(self, words: list[str]) -> tuple[bool, str]:
        do, name, door, token, *more = words
        place = ["{}:{}".format(*link.at) for link in self.places[name]].index(door)
        async with self.turns[name]:
            seen = self.tokens.get(name, 0)
            if int(token) < seen:
                return False, f"an older token: {seen} has called"
            self.tokens[name] = int(token)
            member = self.members[name]
            process = member.at(place)
            if do == "stop":
                return await self._stop(process)
            if process:
                return True, "running"
            return await self._start(member, place, Program(Path(more[0]), more[1]))

    async def _start(self, member: Member, place: int, program: Program) -> tuple[bool, str]:
        process = await member.start(program, place)
        try:
            async with asyncio.timeout(UP_S):
                while process.alive and not await process.call("HEALTH"):
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            process.signal(signal.SIGKILL)
            await process.child.wait()
        if process.alive:
            return True, "started"
        return False, f"it ended with {process.child.returncode}: {last_line(member.log())}"

    async def _stop(self, process: Process | None) -> tuple[bool, str]:
        if process is None:
            return True, "nobody there"
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                await process.child.wait()
        except TimeoutError:
            process.signal(signal.SIGKILL)
            await process.child.wait()
        return True, "ended"

    def close(self) -> None:
        """At the end."""
        if self.server:
            self.server.close()
