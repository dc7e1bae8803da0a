"""What gateways meet, behind loopback sockets: servers that speak RESP2, discovery over HTTP.

How a server behaves is the lab's model, on a real clock; here is only the wire.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import hiredis
import numpy as np

from quota_gateway import api
from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.history import History
from quota_gateway.fault_bench.relay import Address, pair_of
from quota_gateway.simulation.models import Job, Meter, Server
from quota_gateway.simulation.world import PlanConfig, World

log = logging.getLogger(__name__)

BEAT_S = 2.0  # an empty line on each watch so often
LINES = {api.Status.ERROR: b"-ERR failed\r\n", api.Status.OVERLOADED: b"-BUSY\r\n"}
LIFECYCLE = {
    api.ServerState.READY: "Ready",
    api.ServerState.DRAINING: "Terminating",
    api.ServerState.REMOVED: "Gone",
}


class Clock:
    """Real milliseconds since the bench's beginning, with the loop's timers; for the simulation's models."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.begun = self.loop.time()
        self.wall = time.time() * 1000.0  # Unix time of the beginning

    @property
    def now(self) -> float:
        """Milliseconds since the beginning."""
        return (self.loop.time() - self.begun) * 1000.0

    def after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call this after so many milliseconds."""
        self.loop.call_later(max(0.0, delay) / 1000.0, call, *arguments)


class Meters:
    """Each customer's use over all gateways: one meter, whichever server is asked."""

    def __init__(self, world: World, clock: Clock) -> None:
        self.world = world
        self.clock = clock
        self.tariffs = {plan.name: plan for plan in world.plans}
        self.of: dict[str, Meter] = {}
        self.counted: set[str] = set()  # ids: a request's first attempt takes its units

    def count(self, request: str, plan: str, customer: str, units: float) -> float:
        """The figure that the answer carries."""
        meter = self.of.get(customer)
        if meter is None:
            tariff: PlanConfig = self.tariffs[plan]
            meter = self.of[customer] = Meter(tariff, self.world.meter_period_ms, self.world.meter_delay_ms)
        if request not in self.counted:
            self.counted.add(request)
            meter.add(units, self.clock.now)
        return meter.reported_percent(self.clock.now)


class StandIn:
    """One server: a listener, its connections, the model behind them."""

    def __init__(
        self, name: str, model: Server, meters: Meters, history: History, draw: np.random.Generator
    ) -> None:
        self.name = name
        self.model = model
        self.meters = meters
        self.history = history
        self.draw = draw
        self.kinds = {kind.name: kind for kind in meters.world.classes}
        self.attempts: dict[str, int] = {}  # numbers given, by request
        self.connections: set[Wire] = set()
        self.server: asyncio.Server | None = None
        self.mute = False  # takes all in and says nothing

    async def listen(self, at: Address) -> None:
        """Raises OSError where the address is taken."""
        self.server = await asyncio.get_running_loop().create_server(lambda: Wire(self), *at, backlog=1024)

    def take(self, words: list[bytes], wire: Wire, answer: Callable[[bytes], None]) -> Job | None:
        """A command has come whole; None where it is none."""
        try:
            fields = dict(part.split("=", 1) for part in words[3].decode().split(","))
            request = words[2].decode()
            customer = words[1].decode()
            kind = self.kinds[fields["c"]]
            units = float(fields["units"])
            plan = fields["t"]
        except (IndexError, ValueError, KeyError):
            answer(b"-SYNTAX\r\n")
            return None
        number = self.attempts[request] = self.attempts.get(request, 0) + 1
        work = kind.mean_work_ms * float(self.draw.exponential())
        clock = self.model.clock
        pair = pair_of(wire.transport) if wire.transport else None
        gateway = pair.link.name.partition(">")[0] if pair else ""
        self.history.add(records.AttemptArrived(clock.now, request, number, self.name, gateway, work))
        used = self.meters.count(request, plan, customer, units)

        def done(status: api.Status) -> None:
            self.history.add(records.AttemptLeft(clock.now, f"{request}@{self.name}", number, status.value))
            if status is api.Status.RESET:
                wire.abort()
            elif not self.mute:
                answer(LINES.get(status) or _good(words[2], used))

        job = Job(work, done)
        self.model.take(job)
        return job

    def close(self) -> None:
        """At the end."""
        if self.server:
            self.server.close()
        for wire in list(self.connections):
            wire.abort()


def _good(value: bytes, used: float) -> bytes:
    figures = b"used=%d" % round(used)
    return b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value, len(figures), figures)


class Wire(asyncio.Protocol):
    """A connection to a server; answers go out in the order of the commands."""

    def __init__(self, server: StandIn) -> None:
        self.server = server
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.slots: deque[list[bytes]] = deque()
        self.jobs: set[Job] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not False:
                self._take(words)
        except hiredis.ProtocolError:
            self.abort()

    def _take(self, words: Any) -> None:
        slot: list[bytes] = []
        self.slots.append(slot)

        def answer(line: bytes) -> None:
            slot.append(line)
            while self.slots and self.slots[0]:
                self._write(self.slots.popleft()[0])

        if not isinstance(words, list):
            answer(b"-SYNTAX\r\n")
        elif job := self.server.take(words, self, answer):
            self.jobs.add(job)

    def _write(self, line: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(line)

    def abort(self) -> None:
        """The process is gone: its connections are reset."""
        if self.transport:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.server.connections.discard(self)
        for job in self.jobs:
            job.is_abandoned = True  # nobody waits: what has not begun never will


class Discovery:
    """Holds the list, and tells each gateway the servers' addresses as that gateway has them."""

    def __init__(
        self,
        clock: Clock,
        history: History,
        late_ms: float,
        random: np.random.Generator,
        addresses: Callable[[str, str], Address],
    ) -> None:
        self.clock = clock
        self.history = history
        self.late_ms = late_ms
        self.random = random
        self.addresses = addresses  # of a server, for a gateway
        self.entries: dict[str, tuple[api.ServerEntry, float]] = {}  # by name, with the last start
        self.generation = 1
        self.calls = 0
        self.away = 0  # faults that want it down
        self.ahead_ms = 0.0  # of its clock
        self.watches: set[Watch] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, at: Address) -> None:
        """Raises OSError where the address is taken."""
        self.server = await asyncio.get_running_loop().create_server(lambda: Watch(self), *at, backlog=1024)
        self.clock.after(1000.0 * BEAT_S, self._beat)

    def set(self, name: str, entry: api.ServerEntry, started: float) -> None:
        """A server as it is from now on; each gateway hears of it a little later, in its own time."""
        self.entries[name] = (entry, started)
        self.generation += 1
        for watch in list(self.watches):
            self.clock.after(self.late_ms * 2.0 * float(self.random.random()), watch.tell, [name])

    def document(self, gateway: str, names: list[str], reset: bool) -> dict[str, Any]:
        """A list in discovery's form."""
        return {
            "generation": self.generation,
            "reset": reset,
            "instances": [self._row(gateway, name) for name in names],
        }

    def _row(self, gateway: str, name: str) -> dict[str, Any]:
        (entry, started) = self.entries[name]
        (host, port) = self.addresses(gateway, name)
        return {
            "instanceId": name,
            "hostPort": f"{host}:{port}",
            "zone": entry.zone,
            "machineType": "m1",
            "cell": entry.cell,
            "lifecycle": LIFECYCLE[entry.state],
            "weight": entry.size,
            "startedAtMs": round(self.clock.wall + self.ahead_ms + started) if started > 0.0 else 0,
        }

    def fail(self, on: bool) -> None:
        """Discovery goes away, or comes back."""
        self.away = max(0, self.away + (1 if on else -1))
        if self.away:
            for watch in list(self.watches):
                watch.abort()

    def _beat(self) -> None:
        for watch in list(self.watches):
            watch.line(b"\n")
        self.clock.after(1000.0 * BEAT_S, self._beat)

    def close(self) -> None:
        """At the end."""
        if self.server:
            self.server.close()
        for watch in list(self.watches):
            watch.abort()


class Watch(asyncio.Protocol):
    """A gateway's watch."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.gateway = ""
        self.head = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        self.head += data
        if b"\r\n\r\n" not in self.head or self in self.discovery.watches or self.transport is None:
            return
        pair = pair_of(self.transport)
        self.gateway = pair.link.name.partition(">")[0] if pair else ""
        self.discovery.calls += 1
        if self.discovery.away or not self.gateway:
            self.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            self.transport.close()
            return
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.discovery.watches.add(self)
        if b"from=%d " % self.discovery.generation not in self.head.split(b"\r\n")[0]:
            self.tell(list(self.discovery.entries), True)

    def tell(self, names: list[str], reset: bool = False) -> None:
        """Write these servers; they count as told once the way is clear."""
        if self not in self.discovery.watches or self.transport is None:
            return
        discovery = self.discovery
        states = [(name, discovery.entries[name][0].state.value) for name in names]
        self.line(json.dumps(discovery.document(self.gateway, names, reset)).encode() + b"\n")

        def told() -> None:
            for name, state in states:
                discovery.history.add(records.GatewayNotified(discovery.clock.now, self.gateway, name, state))

        pair = pair_of(self.transport)
        if pair:
            pair.when_clear(told)

    def line(self, data: bytes) -> None:
        """A chunk."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def abort(self) -> None:
        """End it."""
        if self.transport:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.discovery.watches.discard(self)
