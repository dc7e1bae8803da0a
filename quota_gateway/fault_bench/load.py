"""Clients and their front: paced arrivals that wait for no answer, spread over each customer's gateways.

A client keeps its connections, comes again as the world says, and sends a request once more when a connection
that it had used before is closed under it; but never one that must not run twice.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import hiredis
import numpy as np
from hdrh.histogram import HdrHistogram

from quota_gateway.fault_bench import history as seen
from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.scenario import Scenario
from quota_gateway.fault_bench.stand_ins import Clock
from quota_gateway.simulation.world import Kind, Tariff

PING_S = 0.1
PONG_S = 0.5  # for an answer to a PING
DOWN_MS = 1000.0  # without one the front sends nobody there
LATE_MS = 1000.0  # after its time a client gives a request up
PAUSE_MS = 150.0  # the mean before a client comes again where it is advised nothing
LONGEST_US = 120_000_000


class Line(Exception):  # noqa: N818
    """An error line."""


class Ended(Exception):  # noqa: N818
    """The connection ended; ``used``: after answers to others."""

    def __init__(self, used: bool) -> None:
        super().__init__()
        self.used = used


class Wire(asyncio.Protocol):
    """A client's connection to a gateway: one request at a time."""

    def __init__(self, on_extra: Callable[[], None]) -> None:
        self.reader = hiredis.Reader(replyError=Line)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[Any] | None = None
        self.on_extra = on_extra
        self.answers = 0
        self.open = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop with bytes from the peer."""
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self._reply(reply)
        except hiredis.ProtocolError:
            self.close()

    def _reply(self, reply: Any) -> None:
        answer = self.answer
        self.answer = None
        if answer is None or answer.done():
            self.on_extra()
            self.close()
            return
        self.answers += 1
        answer.set_result(reply)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self.open = False
        if self.answer and not self.answer.done():
            self.answer.set_exception(Ended(self.answers > 0))

    async def ask(self, command: bytes) -> Any:
        """Raises Ended where the connection ends first."""
        if not self.open or self.transport is None or self.transport.is_closing():
            raise Ended(self.answers > 0)
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        return await self.answer

    def close(self) -> None:
        """End it."""
        self.open = False
        if self.transport:
            self.transport.abort()


def encode(*words: str) -> bytes:
    """A command."""
    parts = [word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class Front:
    """Asks every gateway whether it takes clients, ten times a second."""

    def __init__(self, links: dict[str, Link], clock: Clock) -> None:
        self.links = links
        self.clock = clock
        self.heard = dict.fromkeys(links, -10.0 * DOWN_MS)
        self.tasks = [asyncio.get_running_loop().create_task(self._follow(name)) for name in links]

    def up(self, gateway: str) -> bool:
        """Whether it said so lately."""
        return self.clock.now - self.heard[gateway] < DOWN_MS

    async def _follow(self, gateway: str) -> None:
        link = self.links[gateway]
        while True:
            wire = Wire(lambda: None)
            try:
                async with asyncio.timeout(PONG_S):
                    await self.clock.loop.create_connection(lambda wire=wire: wire, *link.at)  # type: ignore[misc]
                while True:
                    async with asyncio.timeout(PONG_S):
                        reply = await wire.ask(encode("PING"))
                    if reply == b"PONG":
                        self.heard[gateway] = self.clock.now
                    elif isinstance(reply, Line) and "DRAINING" in str(reply):
                        self.heard[gateway] = -10.0 * DOWN_MS
                    await asyncio.sleep(PING_S)
            except (OSError, TimeoutError, Ended):
                await asyncio.sleep(PING_S)
            finally:
                wire.close()

    async def close(self) -> None:
        """End it."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Customer:
    """Who asks: its plan and its set of gateways."""

    def __init__(self, number: int, tariff: Tariff, first: int, weight: float) -> None:
        self.name = f"{number:016x}"
        self.tariff = tariff
        self.first = first
        self.weight = weight


class Clients:
    """Draws wishes and sees each of them through."""

    def __init__(
        self,
        scenario: Scenario,
        links: dict[str, Link],
        front: Front,
        clock: Clock,
        history: seen.History,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.links = links
        self.front = front
        self.clock = clock
        self.history = history
        self.world = scenario.world
        arrivals, self.chance = (np.random.default_rng([seed, stream]) for stream in (1, 2))
        self.draw = arrivals
        self.idle: dict[str, list[Wire]] = {name: [] for name in links}
        self.customers = self._customers()
        weights = np.array([customer.weight for customer in self.customers])
        self.weights = weights / weights.sum()
        kinds = np.array([kind.weight for kind in self.world.kinds])
        self.kinds = kinds / kinds.sum()
        self.latency = HdrHistogram(1, LONGEST_US, 3)  # microseconds, of what was served
        self.count: Counter[str] = Counter()  # by outcome, and in all under "asked"
        self.open: Counter[str] = Counter()  # requests in hand, by gateway
        self.no_gateway = 0  # wishes that found none up: never asked
        self.tasks: set[asyncio.Task[None]] = set()
        self.numbers = 0
        self.stopped = False

    def _customers(self) -> list[Customer]:
        made: list[Customer] = []
        for tariff in self.world.tariffs:
            for _ in range(tariff.customers):
                heavy = float(self.draw.random()) < tariff.heavy
                weight = tariff.rate * (tariff.heavy_use if heavy else tariff.use)
                first = int(self.draw.integers(self.world.gateways))
                made.append(Customer(len(made) + 1, tariff, first, weight))
        return made

    async def run(self) -> None:
        """Ask for the world's seconds, by the clock; what is late is asked at once."""
        begin = self.clock.now
        at = 0.0
        while True:
            at += 1000.0 * float(self.draw.exponential(1.0 / self.scenario.rate))
            if at >= 1000.0 * self.world.seconds or self.stopped:
                break
            customer = self.customers[int(self.draw.choice(len(self.customers), p=self.weights))]
            kind = self.world.kinds[int(self.draw.choice(len(self.world.kinds), p=self.kinds))]
            wait = begin + at - self.clock.now
            if wait > 0.0:
                await asyncio.sleep(wait / 1000.0)
            task = self.clock.loop.create_task(self._wish(customer, kind, begin + at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Wait until all that was asked has come to something."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def close(self) -> None:
        """End it at once."""
        self.stopped = True
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for wire in [wire for wires in self.idle.values() for wire in wires]:
            wire.close()

    # ---- A wish

    async def _wish(self, customer: Customer, kind: Kind, intended: float) -> None:
        self.numbers += 1
        wish = f"w{self.numbers}"
        key = f"{self.numbers:016x}" if kind.effect == "keyed" else ""
        for turn in range(self.world.tries):
            gateway = self._choose(customer)
            if gateway is None:
                self.no_gateway += 1
                return
            how, advice_ms = await self._ask(wish, customer, kind, gateway, key, intended, turn > 0)
            again = how == "busy" or (kind.effect != "unsafe" and how != "ok")
            if not again or float(self.chance.random()) >= self.world.again:
                return
            pause = advice_ms or float(self.chance.exponential(PAUSE_MS))
            await asyncio.sleep(pause / 1000.0)
            intended = self.clock.now

    def _choose(self, customer: Customer) -> str | None:
        width = min(customer.tariff.spread, self.world.gateways)
        names = [f"g{(customer.first + n) % self.world.gateways}" for n in range(width)]
        up = [name for name in names if self.front.up(name)]
        up = up or [name for name in self.links if self.front.up(name)]  # the front moves on from its set
        return up[int(self.chance.integers(len(up)))] if up else None

    async def _ask(
        self, wish: str, customer: Customer, kind: Kind, gateway: str, key: str, intended: float, again: bool
    ) -> tuple[str, float]:
        """A try: what it came to, and in how many ms to come again."""
        self.numbers += 1
        request = f"{self.numbers:016x}"
        fields = [
            f"c={kind.name}",
            f"t={customer.tariff.name}",
            "units=1",
            f"spread={min(customer.tariff.spread, self.world.gateways)}",
            f"first={customer.first}",
        ]
        fields += [f"k={key}"] * bool(key) + ["r=1"] * again
        deadline = self.clock.now + kind.deadline

        def command() -> bytes:
            """As it is written at this moment: the client waits for what is left of its time."""
            left = max(1.0, deadline - self.clock.now)
            words = [customer.name, request, ",".join([*fields, f"d={left:.0f}"])]
            return encode(*(("CALL.GET", *words) if kind.effect == "safe" else ("CALL.POST", *words, "body")))

        self.history.add(
            seen.Asked(
                self.clock.now,
                request,
                wish,
                gateway,
                kind.name,
                customer.tariff.name,
                customer.name,
                intended,
                deadline,
                key,
            )
        )
        self.count["asked"] += 1
        self.open[gateway] += 1
        how = "none"
        advice_ms = 0.0
        try:
            async with asyncio.timeout((kind.deadline + LATE_MS) / 1000.0):
                how, advice_ms = await self._exchange(gateway, command, request, kind)
        except TimeoutError:
            pass
        finally:
            self.open[gateway] -= 1
            self.count[how] += 1
            self.history.add(seen.Answered(self.clock.now, request, how))
        if how == "ok":
            self.latency.record_value(max(1, min(LONGEST_US, round(1000.0 * (self.clock.now - intended)))))
        return how, advice_ms

    async def _exchange(
        self,
        gateway: str,
        command: Callable[[], bytes],
        request: str,
        kind: Kind,
    ) -> tuple[str, float]:
        for turn in range(2):
            wire = await self._wire(gateway)
            if wire is None:
                return "unheard", 0.0
            if turn:
                self.history.add(seen.Resent(self.clock.now, request))
            whole = False
            try:
                reply = await wire.ask(command())
                whole = True
            except Ended as ended:
                if ended.used and kind.effect != "unsafe":
                    continue  # the close may have crossed it: once more, on a new connection
                return "cut", 0.0
            finally:
                if not whole:
                    wire.close()  # given up, too: its answer must not be taken for another's
            self.idle[gateway].append(wire)
            if isinstance(reply, Line):
                word, _, advice = str(reply).partition(" ")
                return ("busy", float(advice or 0.0)) if word == "BUSY" else ("error", 0.0)
            return ("ok" if reply == request.encode() else "foreign"), 0.0
        return "cut", 0.0

    async def _wire(self, gateway: str) -> Wire | None:
        idle = self.idle[gateway]
        while idle:
            wire = idle.pop()
            if wire.open:
                return wire

        def extra() -> None:
            self.history.add(seen.Extra(self.clock.now, gateway))

        made = Wire(extra)
        try:
            await self.clock.loop.create_connection(lambda: made, *self.links[gateway].at)
        except OSError:
            return None
        return made
