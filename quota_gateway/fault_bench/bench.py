"""The rig: everything around N gateways, put together, and taken down whatever happens.

Each rig has a loopback address of its own, by its process's id, so that several run side by side.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, Self

import numpy as np

from quota_gateway import api
from quota_gateway.fault_bench import history as seen
from quota_gateway.fault_bench.load import Clients, Front
from quota_gateway.fault_bench.platform import Platform
from quota_gateway.fault_bench.processes import Member, Program, call
from quota_gateway.fault_bench.referee import Verdict, judge
from quota_gateway.fault_bench.relay import Address, Link
from quota_gateway.fault_bench.scenario import Scenario
from quota_gateway.fault_bench.stand_ins import Clock, Discovery, Meters, StandIn
from quota_gateway.settings_reader import settings_document
from quota_gateway.simulation.models import Server

READY_S = 30.0  # for all gateways to serve
LATE_MS = 20.0  # by which the loop is late before it is written down
LOOK_S = 0.02
PLACES = ("doors-0", "doors-1")  # callers at a gateway's first and second admin endpoint, whichever is newest
RIGS = count()  # of this process


def own_host() -> str:
    """A loopback address that no other living rig has: by the process's id and the rig's number in it."""
    number = (os.getpid() * 4 + next(RIGS) % 4) & 0x3FFFFF
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class Rig:
    """``async with Rig(...)``: processes are started on entering, and ended on leaving."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        seed: int = 1,
        program: Program | None = None,
    ) -> None:
        self.scenario = scenario
        self.folder = folder
        self.seed = seed
        self.program = program or Program.of(Path.cwd())
        self.host = own_host()
        self.ports = count(20_000)
        self.links: dict[str, Link] = {}
        self.members: dict[str, Member] = {}
        self.servers: dict[str, StandIn] = {}
        self.random = Random(seed)
        self.tasks: list[asyncio.Task[None]] = []

    def _port(self) -> Address:
        return self.host, next(self.ports)

    def _draw(self, stream: int) -> np.random.Generator:
        return np.random.default_rng([self.seed, stream])

    async def __aenter__(self) -> Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.clock = Clock()
        self.history = seen.History(self.folder / "history.jsonl")
        self.history.add(seen.Header(self.clock.now, self.seed, self.scenario))
        try:
            await self._stand_ins()
            await self._gateways()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._close()

    # ---- What is around

    async def _stand_ins(self) -> None:
        world = self.scenario.world
        meters = Meters(world, self.clock)
        speeds = self._draw(3)
        self.discovery = Discovery(
            self.clock,
            self.history,
            world.list_late,
            self._draw(4),
            lambda gateway, server: self.links[f"{gateway}>{server}"].at,
        )
        for number, name in enumerate(self.scenario.servers(), 1):
            machines = world.machines
            speed = float(speeds.uniform(machines.slowest, machines.fastest))
            entry = api.ServerEntry(number, world.zones[number % len(world.zones)])
            model = Server(self.clock, machines, entry, speed)
            server = StandIn(name, model, meters, self.history, self._draw(100 + number))
            self.servers[name] = server
            self.tell(server)
            at = self._port()
            await server.listen(at)
            for gateway in self.scenario.gateways():
                await self._link(f"{gateway}>{name}", at)
        at = self._port()
        await self.discovery.listen(at)
        for gateway in self.scenario.gateways():
            await self._link(f"{gateway}>discovery", at)

    async def _link(self, name: str, target: Address) -> Link:
        link = self.links[name] = Link(name, self._port(), target, self.random)
        await link.listen()
        return link

    def tell(self, server: StandIn) -> None:
        """The history and discovery, of a server as it is now."""
        model = server.model
        state = model.entry.state.value
        started = model.started
        self.history.add(
            seen.ServerIs(self.clock.now, server.name, model.entry.zone, state, started, model.speed)
        )
        self.discovery.set(server.name, model.entry, started)

    def mark(self, server: StandIn, state: api.ServerState) -> None:
        """A server drains, or is back."""
        server.model.entry = replace(server.model.entry, state=state)
        self.tell(server)

    # ---- The gateways

    async def _gateways(self) -> None:
        places: dict[str, list[Link]] = {}
        for number, name in enumerate(self.scenario.gateways()):
            listen = self._port()
            admin_addresses = [self._port(), self._port()]
            await self._link(f"clients>{name}", listen)
            link = await self._link(f"doors>{name}", admin_addresses[0])
            places[name] = [
                await self._link(f"{way}>{name}", admin_address)
                for way, admin_address in zip(PLACES, admin_addresses, strict=True)
            ]
            host, port = self.links[f"{name}>discovery"].at
            document = {
                "name": name,
                "listen": f"{listen[0]}:{listen[1]}",
                "discovery": f"{host}:{port}",
                "admin": f"{admin_addresses[0][0]}:{admin_addresses[0][1]}",
                "seed": f"{self.seed * 1000 + number:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": self.discovery.document(name, list(self.servers), True),
                "settings": settings_document(self.scenario.world.settings(number)),
            }
            self.members[name] = Member(
                name,
                self.folder / name,
                document,
                admin_addresses,
                link,
                self.clock,
                self.history,
                self.program,
            )
        self.platform = Platform(self.members, places)
        await self.platform.listen((await self._link("controller>platform", self._port())).target)
        self.front = Front({name: self.links[f"clients>{name}"] for name in self.members}, self.clock)
        self.clients = Clients(
            self.scenario, self.front.links, self.front, self.clock, self.history, self.seed
        )
        self.tasks.append(asyncio.get_running_loop().create_task(self._watch_loop()))
        processes = [await member.start() for member in self.members.values()]
        async with asyncio.timeout(READY_S):
            pairs = zip(self.members.values(), processes, strict=True)
            up = await asyncio.gather(*(member.ready(process) for member, process in pairs))
        if not all(up):
            names = [name for name, is_up in zip(self.members, up, strict=True) if not is_up]
            raise RuntimeError(f"no start: {', '.join(names)}: {self.members[names[0]].log()[-400:]}")
        await self.until(lambda: all(self.front.up(name) for name in self.members))

    async def _watch_loop(self) -> None:
        """Write down when the rig itself is late: no gateway on this machine could be quicker."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LOOK_S
            await asyncio.sleep(LOOK_S)
            late = 1000.0 * (loop.time() - due)
            if late > LATE_MS:
                self.history.add(seen.Late(self.clock.now, late))

    async def until(self, true: Callable[[], bool], seconds: float = READY_S) -> None:
        """Wait for something to have come about. Raises TimeoutError."""
        async with asyncio.timeout(seconds):
            while not true():
                await asyncio.sleep(LOOK_S / 2.0)

    async def call_admin(self, gateway: str, line: str) -> str:
        """A call at a gateway's admin endpoint, over its link."""
        return await call(self.links[f"doors>{gateway}"].at, line)

    # ---- The end

    def verdict(self) -> Verdict:
        """By the history so far, which ends here."""
        self.history.close()
        return judge(seen.read(self.history.path))

    def sums(self, verdict: Verdict) -> list[str]:
        """Where the referee's counts are not what the clients counted; empty if they are."""
        counted: dict[str, Any] = {name: n for name, n in self.clients.count.items() if name != "asked"}
        faults = []
        if self.clients.count["asked"] != verdict.asked or sum(counted.values()) != verdict.asked:
            faults.append(
                f"asked {self.clients.count['asked']}, came to {sum(counted.values())}, "
                f"in the history {verdict.asked}"
            )
        if {name: n for name, n in verdict.outcomes.items() if n} != {k: n for k, n in counted.items() if n}:
            faults.append(f"clients counted {counted}, the history has {verdict.outcomes}")
        return faults

    async def _close(self) -> None:
        self.history.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if hasattr(self, "clients"):
            await self.clients.close()
        if hasattr(self, "front"):
            await self.front.close()
        if hasattr(self, "platform"):
            self.platform.close()
        await asyncio.gather(*(member.close() for member in self.members.values()))
        for link in self.links.values():
            link.close()
        for server in self.servers.values():
            server.close()
        if hasattr(self, "discovery"):
            self.discovery.close()
