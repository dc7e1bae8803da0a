"""The fault bench: starts gateways as processes with all that surrounds them, and always stops them again.

Around the gateways are stand-ins for servers, discovery and platform, a load balancer, clients, and links
between all of them. Each bench has its own loopback address, derived from its process's id, so that several
can run at the same time.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from pathlib import Path
from random import Random
from typing import Self

import numpy as np

from quota_gateway import api
from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.history import History, read_history
from quota_gateway.fault_bench.load import LoadGenerator
from quota_gateway.fault_bench.load_balancer import LoadBalancer
from quota_gateway.fault_bench.platform import Platform
from quota_gateway.fault_bench.processes import ManagedGateway, Program, call
from quota_gateway.fault_bench.referee import Verdict, judge
from quota_gateway.fault_bench.relay import Address, Link
from quota_gateway.fault_bench.scenario import Scenario
from quota_gateway.fault_bench.stand_ins import Clock, Discovery, Meters, StandInServer
from quota_gateway.settings_reader import settings_document
from quota_gateway.simulation.models import Server

READY_TIMEOUT_S = 30.0  # for all gateways to serve
MIN_RECORDED_DELAY_MS = 20.0  # shorter delays of the event loop are not recorded
POLL_INTERVAL_S = 0.02
# In names of links: the callers of a gateway's first and of its second admin address. The caller ``doors``
# always reaches the admin endpoint of the gateway's newest living process instead.
ADMIN_CALLERS = ("doors-0", "doors-1")
BENCH_NUMBERS = count()  # within this process


def own_host() -> str:
    """A loopback address of this bench alone, by the process's id and the bench's number within it."""
    number = (os.getpid() * 4 + next(BENCH_NUMBERS) % 4) & 0x3FFFFF
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class FaultBench:
    """Use it as ``async with FaultBench(...)``: processes are started on entering and ended on leaving."""

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
        self.managed_gateways: dict[str, ManagedGateway] = {}
        self.servers: dict[str, StandInServer] = {}
        self.random = Random(seed)
        self.tasks: list[asyncio.Task[None]] = []

    def _next_address(self) -> Address:
        return self.host, next(self.ports)

    def _generator(self, stream: int) -> np.random.Generator:
        return np.random.default_rng([self.seed, stream])

    async def __aenter__(self) -> Self:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.clock = Clock()
        self.history = History(self.folder / "history.jsonl")
        self.history.add(records.Header(self.clock.now, self.seed, self.scenario))
        try:
            await self._start_stand_ins()
            await self._start_gateways()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._close()

    # ---- Servers and discovery

    async def _start_stand_ins(self) -> None:
        world = self.scenario.world
        meters = Meters(world, self.clock)
        speeds = self._generator(3)
        self.discovery = Discovery(
            self.clock,
            self.history,
            world.discovery_delay_ms,
            self._generator(4),
            lambda gateway, server: self.links[f"{gateway}>{server}"].listen_address,
        )
        for number, name in enumerate(self.scenario.servers(), 1):
            machines = world.machines
            speed = float(speeds.uniform(machines.min_speed, machines.max_speed))
            entry = api.ServerEntry(number, world.zones[number % len(world.zones)])
            model = Server(self.clock, machines, entry, speed)
            server = StandInServer(name, model, meters, self.history, self._generator(100 + number))
            self.servers[name] = server
            self.announce(server)
            address = self._next_address()
            await server.listen(address)
            for gateway in self.scenario.gateways():
                await self._open_link(f"{gateway}>{name}", address)
        address = self._next_address()
        await self.discovery.listen(address)
        for gateway in self.scenario.gateways():
            await self._open_link(f"{gateway}>discovery", address)

    async def _open_link(self, name: str, target: Address) -> Link:
        link = self.links[name] = Link(name, self._next_address(), target, self.random)
        await link.listen()
        return link

    def announce(self, server: StandInServer) -> None:
        """Record a server's current state, and publish it through discovery."""
        model = server.model
        state = model.entry.state.value
        started_ms = model.started_ms
        self.history.add(
            records.ServerChanged(
                self.clock.now, server.name, model.entry.zone, state, started_ms, model.speed
            )
        )
        self.discovery.set(server.name, model.entry, started_ms)

    def set_state(self, server: StandInServer, state: api.ServerState) -> None:
        """Change a server's state, for instance to draining, and announce it."""
        server.model.entry = replace(server.model.entry, state=state)
        self.announce(server)

    # ---- The gateways

    async def _start_gateways(self) -> None:
        """Set up gateways, links, platform, load balancer and load generator; start the gateways."""
        for number, name in enumerate(self.scenario.gateways()):
            self.managed_gateways[name] = await self._create_gateway(name, number)
        admin_links = {
            name: [self.links[f"{caller}>{name}"] for caller in ADMIN_CALLERS]
            for name in self.managed_gateways
        }
        self.platform = Platform(self.managed_gateways, admin_links)
        await self.platform.listen(
            (await self._open_link("controller>platform", self._next_address())).target
        )
        client_links = {name: self.links[f"clients>{name}"] for name in self.managed_gateways}
        self.load_balancer = LoadBalancer(client_links, self.clock)
        self.load = LoadGenerator(
            self.scenario, client_links, self.load_balancer, self.clock, self.history, self.seed
        )
        self.tasks.append(asyncio.get_running_loop().create_task(self._watch_loop()))
        await self._start_processes()

    async def _create_gateway(self, name: str, number: int) -> ManagedGateway:
        """Set up a gateway's links and configuration, without starting its process."""
        listen = self._next_address()
        admin_addresses = [self._next_address(), self._next_address()]
        await self._open_link(f"clients>{name}", listen)
        newest_link = await self._open_link(f"doors>{name}", admin_addresses[0])
        for caller, admin_address in zip(ADMIN_CALLERS, admin_addresses, strict=True):
            await self._open_link(f"{caller}>{name}", admin_address)
        document = {
            "name": name,
            "listen": _address_text(listen),
            "discovery": _address_text(self.links[f"{name}>discovery"].listen_address),
            "admin": _address_text(admin_addresses[0]),
            "seed": f"{self.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.document(name, list(self.servers), True),
            "settings": settings_document(self.scenario.world.settings(number)),
        }
        return ManagedGateway(
            name,
            self.folder / name,
            document,
            admin_addresses,
            newest_link,
            self.clock,
            self.history,
            self.program,
        )

    async def _start_processes(self) -> None:
        """Start all gateways' processes and wait until they serve. Raises RuntimeError or TimeoutError."""
        processes = [await managed.start() for managed in self.managed_gateways.values()]
        async with asyncio.timeout(READY_TIMEOUT_S):
            pairs = zip(self.managed_gateways.values(), processes, strict=True)
            up = await asyncio.gather(*(managed.ready(process) for managed, process in pairs))
        failed = [name for name, is_up in zip(self.managed_gateways, up, strict=True) if not is_up]
        if failed:
            raise RuntimeError(
                f"gateways ended before they were ready: {', '.join(failed)}; end of the log of the first: "
                f"{self.managed_gateways[failed[0]].log()[-400:]}"
            )
        await self.until(lambda: all(self.load_balancer.is_up(name) for name in self.managed_gateways))

    async def _watch_loop(self) -> None:
        """Record delays of the bench's own event loop: a gateway on this machine could not be quicker."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            late_ms = 1000.0 * (loop.time() - due_s)
            if late_ms > MIN_RECORDED_DELAY_MS:
                self.history.add(records.LoopDelayed(self.clock.now, late_ms))

    async def until(self, condition: Callable[[], bool], seconds: float = READY_TIMEOUT_S) -> None:
        """Wait until a condition holds. Raises TimeoutError after ``seconds``."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S / 2.0)

    async def call_admin(self, gateway: str, line: str) -> str:
        """Send a command to a gateway's admin endpoint, over its link; the answer is empty if none comes."""
        return await call(self.links[f"doors>{gateway}"].listen_address, line)

    # ---- The end

    def verdict(self) -> Verdict:
        """Close the history and judge it."""
        self.history.close()
        return judge(read_history(self.history.path))

    def count_mismatches(self, verdict: Verdict) -> list[str]:
        """Describe where the verdict's counts differ from those of the clients; empty if they agree."""
        counted = {outcome.value: total for outcome, total in self.load.outcomes.items() if total}
        requests = self.load.requests_total
        mismatches = []
        if requests != verdict.requests_total or sum(counted.values()) != verdict.requests_total:
            mismatches.append(
                f"clients sent {requests} requests and counted {sum(counted.values())} outcomes, "
                f"but the history has {verdict.requests_total} requests"
            )
        if {name: total for name, total in verdict.outcomes.items() if total} != counted:
            mismatches.append(f"clients counted outcomes {counted}, but the history has {verdict.outcomes}")
        return mismatches

    async def _close(self) -> None:
        self.history.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if hasattr(self, "load"):
            await self.load.close()
        if hasattr(self, "load_balancer"):
            await self.load_balancer.close()
        if hasattr(self, "platform"):
            self.platform.close()
        await asyncio.gather(*(managed.close() for managed in self.managed_gateways.values()))
        for link in self.links.values():
            link.close()
        for server in self.servers.values():
            server.close()
        if hasattr(self, "discovery"):
            self.discovery.close()


def _address_text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
