"""Stand-ins on loopback sockets for what gateways connect to: servers (RESP2) and discovery (HTTP).

Only the protocols are implemented here. How a server behaves comes from the simulation's model, run on a real
clock.
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
from quota_gateway.fault_bench.relay import Address, relayed_connection_of
from quota_gateway.simulation.models import Job, Meter, Server
from quota_gateway.simulation.world import PlanConfig, World

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines that discovery writes to each watch
ERROR_REPLIES = {api.Status.ERROR: b"-ERR failed\r\n", api.Status.OVERLOADED: b"-BUSY\r\n"}
LIFECYCLE_NAMES = {
    api.ServerState.READY: "Ready",
    api.ServerState.DRAINING: "Terminating",
    api.ServerState.REMOVED: "Gone",
}


class Clock:
    """Real time for the simulation's models: milliseconds since the bench's start, and the loop's timers."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.start_s = self.loop.time()
        self.start_unix_ms = time.time() * 1000.0

    @property
    def now(self) -> float:
        """Milliseconds since the bench's start."""
        return (self.loop.time() - self.start_s) * 1000.0

    def after(self, delay_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call ``callback`` after so many milliseconds."""
        self.loop.call_later(max(0.0, delay_ms) / 1000.0, callback, *arguments)


class Meters:
    """Meters each customer's use over all gateways and servers."""

    def __init__(self, world: World, clock: Clock) -> None:
        self.world = world
        self.clock = clock
        self.plans = {plan.name: plan for plan in world.plans}
        self.by_customer: dict[str, Meter] = {}
        self.counted_requests: set[str] = set()  # ids of requests; only a request's first attempt is metered

    def count(self, request_id: str, plan: str, customer: str, units: float) -> float:
        """Meter an attempt, if its request is new; the customer's use that the server's answer reports."""
        meter = self.by_customer.get(customer)
        if meter is None:
            plan_config: PlanConfig = self.plans[plan]
            meter = self.by_customer[customer] = Meter(
                plan_config, self.world.meter_period_ms, self.world.meter_delay_ms
            )
        if request_id not in self.counted_requests:
            self.counted_requests.add(request_id)
            meter.add(units, self.clock.now)
        return meter.reported_percent(self.clock.now)


class StandInServer:
    """One server: its listener, its connections, and the model that decides how it answers."""

    def __init__(
        self, name: str, model: Server, meters: Meters, history: History, random: np.random.Generator
    ) -> None:
        self.name = name
        self.model = model
        self.meters = meters
        self.history = history
        self.random = random
        self.classes = {class_config.name: class_config for class_config in meters.world.classes}
        self.attempts: dict[str, int] = {}  # arrived so far, by request id; they number the attempts
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None
        self.mute = False  # accepts commands and answers none

    async def listen(self, listen_address: Address) -> None:
        """Start listening. Raises OSError if the address is taken."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), *listen_address, backlog=1024
        )

    def accept_command(
        self, words: list[bytes], connection: ServerConnection, answer: Callable[[bytes], None]
    ) -> Job | None:
        """Pass a complete command to the model; None, and a -SYNTAX answer, if it is malformed."""
        try:
            fields = dict(part.split("=", 1) for part in words[3].decode().split(","))
            request_id = words[2].decode()
            customer = words[1].decode()
            class_config = self.classes[fields["c"]]
            units = float(fields["units"])
            plan = fields["t"]
        except (IndexError, ValueError, KeyError):
            answer(b"-SYNTAX\r\n")
            return None
        number = self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
        work_ms = class_config.mean_work_ms * float(self.random.exponential())
        clock = self.model.clock
        relayed_connection = relayed_connection_of(connection.transport) if connection.transport else None
        gateway = relayed_connection.link.name.partition(">")[0] if relayed_connection else ""
        self.history.add(records.AttemptArrived(clock.now, request_id, number, self.name, gateway, work_ms))
        used_percent = self.meters.count(request_id, plan, customer, units)

        def end_attempt(status: api.Status) -> None:
            self.history.add(
                records.AttemptLeft(clock.now, f"{request_id}@{self.name}", number, status.value)
            )
            if status is api.Status.RESET:
                connection.abort()
            elif not self.mute:
                answer(ERROR_REPLIES.get(status) or _value_reply(words[2], used_percent))

        job = Job(work_ms, end_attempt)
        self.model.take(job)
        return job

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()


def _value_reply(value: bytes, used_percent: float) -> bytes:
    load_fields = b"used=%d" % round(used_percent)
    return b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value, len(load_fields), load_fields)


class ServerConnection(asyncio.Protocol):
    """A connection that a server accepted; answers are sent in the order of the commands."""

    def __init__(self, server: StandInServer) -> None:
        self.server = server
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.reply_slots: deque[list[bytes]] = deque()  # one per command; empty until it is answered
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
                self._accept_command(words)
        except hiredis.ProtocolError:
            self.abort()

    def _accept_command(self, words: Any) -> None:
        reply_slot: list[bytes] = []
        self.reply_slots.append(reply_slot)

        def answer(reply: bytes) -> None:
            reply_slot.append(reply)
            while self.reply_slots and self.reply_slots[0]:
                self._write_reply(self.reply_slots.popleft()[0])

        if not isinstance(words, list):
            answer(b"-SYNTAX\r\n")
        elif job := self.server.accept_command(words, self, answer):
            self.jobs.add(job)

    def _write_reply(self, reply: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(reply)

    def abort(self) -> None:
        """Abort the connection, as the kernel does when the server's process ends."""
        if self.transport:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.server.connections.discard(self)
        for job in self.jobs:
            job.is_abandoned = True  # nobody waits for the answer: a job that has not begun is never run


class Discovery:
    """The discovery stand-in: holds the list of servers and streams its changes to the gateways.

    Each gateway gets its own addresses of the servers: those of its links to them.
    """

    def __init__(
        self,
        clock: Clock,
        history: History,
        mean_delay_ms: float,
        random: np.random.Generator,
        address_of: Callable[[str, str], Address],
    ) -> None:
        self.clock = clock
        self.history = history
        self.mean_delay_ms = mean_delay_ms
        self.random = random
        self.address_of = address_of  # by gateway and server
        self.entries: dict[str, tuple[api.ServerEntry, float]] = {}  # by server, with its last start
        self.generation = 1
        self.calls = 0
        self.outage_count = 0  # faults that make discovery fail now
        self.clock_ahead_ms = 0.0
        self.watches: set[Watch] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, listen_address: Address) -> None:
        """Start listening. Raises OSError if the address is taken."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Watch(self), *listen_address, backlog=1024
        )
        self.clock.after(1000.0 * HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def set(self, name: str, entry: api.ServerEntry, started_ms: float) -> None:
        """Add or change a server; each watching gateway is notified after a random delay of its own."""
        self.entries[name] = (entry, started_ms)
        self.generation += 1
        for watch in list(self.watches):
            self.clock.after(self.mean_delay_ms * 2.0 * float(self.random.random()), watch.notify, [name])

    def document(self, gateway: str, names: list[str], reset: bool) -> dict[str, Any]:
        """The servers of these names as a JSON document of discovery; ``reset``: they are the whole list."""
        return {
            "generation": self.generation,
            "reset": reset,
            "instances": [self._instance(gateway, name) for name in names],
        }

    def _instance(self, gateway: str, name: str) -> dict[str, Any]:
        (entry, started_ms) = self.entries[name]
        (host, port) = self.address_of(gateway, name)
        return {
            "instanceId": name,
            "hostPort": f"{host}:{port}",
            "zone": entry.zone,
            "machineType": "m1",
            "cell": entry.cell,
            "lifecycle": LIFECYCLE_NAMES[entry.state],
            "weight": entry.size,
            "startedAtMs": round(self.clock.start_unix_ms + self.clock_ahead_ms + started_ms)
            if started_ms > 0.0
            else 0,
        }

    def fail(self, on: bool) -> None:
        """Make discovery fail and abort all watches, or undo one such call."""
        self.outage_count = max(0, self.outage_count + (1 if on else -1))
        if self.outage_count:
            for watch in list(self.watches):
                watch.abort()

    def _send_heartbeats(self) -> None:
        for watch in list(self.watches):
            watch.write_chunk(b"\n")
        self.clock.after(1000.0 * HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def close(self) -> None:
        """Stop listening and abort all watches."""
        if self.server:
            self.server.close()
        for watch in list(self.watches):
            watch.abort()


class Watch(asyncio.Protocol):
    """A gateway's request for the list of servers; its response is a stream of changes that doesn't end."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.gateway = ""
        self.request_head = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        self.request_head += data
        if b"\r\n\r\n" not in self.request_head or self in self.discovery.watches or self.transport is None:
            return
        relayed_connection = relayed_connection_of(self.transport)
        self.gateway = relayed_connection.link.name.partition(">")[0] if relayed_connection else ""
        self.discovery.calls += 1
        if self.discovery.outage_count or not self.gateway:
            self.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            self.transport.close()
            return
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.discovery.watches.add(self)
        if b"from=%d " % self.discovery.generation not in self.request_head.split(b"\r\n")[0]:
            self.notify(list(self.discovery.entries), True)

    def notify(self, names: list[str], reset: bool = False) -> None:
        """Write these servers; they are recorded as notified once the link lets data through."""
        if self not in self.discovery.watches or self.transport is None:
            return
        discovery = self.discovery
        states = [(name, discovery.entries[name][0].state.value) for name in names]
        self.write_chunk(json.dumps(discovery.document(self.gateway, names, reset)).encode() + b"\n")

        def record_notified() -> None:
            for name, state in states:
                discovery.history.add(records.GatewayNotified(discovery.clock.now, self.gateway, name, state))

        relayed_connection = relayed_connection_of(self.transport)
        if relayed_connection:
            relayed_connection.call_when_deliverable(record_notified)

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk of the response."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.discovery.watches.discard(self)
