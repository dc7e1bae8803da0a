"""Generates the clients' load: operations begin at a set rate, whether or not earlier ones were answered.

A client sends a request to one of its customer's gateways, keeps its connections open, and retries as the
world configures it. If a connection that had carried replies is closed before the reply, it sends the request
once more, unless the request must not run twice.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.client_connection import (
    ClientConnection,
    ConnectionEndedError,
    ErrorReply,
    encode_command,
)
from quota_gateway.fault_bench.history import History
from quota_gateway.fault_bench.load_balancer import LoadBalancer
from quota_gateway.fault_bench.records import RequestOutcome
from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.scenario import Scenario
from quota_gateway.fault_bench.stand_ins import Clock
from quota_gateway.simulation.world import ClassConfig, PlanConfig

PATIENCE_MS = 1000.0  # from a request's deadline until its client gives up
RETRY_PAUSE_MS = 150.0  # mean pause before a retry if the gateway advised none
MAX_LATENCY_US = 120_000_000
SAFE = "safe"  # idempotency of a request class, as scenario files spell it
KEYED = "keyed"
UNSAFE = "unsafe"


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its plan; ``first_gateway`` is the number of the first of the gateways that it uses."""

    name: str
    plan: PlanConfig
    first_gateway: int
    weight: float  # share of the load, not normalized


@dataclass(frozen=True, slots=True)
class Operation:
    """What a client wants done: one request and possibly retries of it."""

    operation_id: str
    customer: Customer
    request_class: ClassConfig
    idempotency_key: str


@dataclass(slots=True)
class ClientRequest:
    """One request of an operation to one gateway."""

    operation: Operation
    request_id: str
    gateway: str
    intended_ms: float
    deadline_ms: float
    fields: list[str] = field(default_factory=list)  # of the command, without the time left

    def command(self, now_ms: float) -> bytes:
        """The command to write now; it carries the time that is left until the deadline."""
        remaining_ms = max(1.0, self.deadline_ms - now_ms)
        words = [
            self.operation.customer.name,
            self.request_id,
            ",".join([*self.fields, f"d={remaining_ms:.0f}"]),
        ]
        if self.operation.request_class.idempotency == SAFE:
            return encode_command("CALL.GET", *words)
        return encode_command("CALL.POST", *words, "body")

    def record(self, now_ms: float) -> records.RequestSent:
        """The record of this request for the history."""
        operation = self.operation
        return records.RequestSent(
            now_ms,
            self.request_id,
            operation.operation_id,
            self.gateway,
            operation.request_class.name,
            operation.customer.plan.name,
            operation.customer.name,
            self.intended_ms,
            self.deadline_ms,
            operation.idempotency_key,
        )


class RequestResult(NamedTuple):
    """How a request ended, and the pause before a retry that the gateway advised."""

    outcome: RequestOutcome
    retry_after_ms: float = 0.0  # 0: none advised


class LoadGenerator:
    """Draws operations, carries out each of them, and counts the outcomes of their requests."""

    def __init__(
        self,
        scenario: Scenario,
        links: dict[str, Link],
        load_balancer: LoadBalancer,
        clock: Clock,
        history: History,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.world = scenario.world
        self.links = links
        self.load_balancer = load_balancer
        self.clock = clock
        self.history = history
        self._arrivals = np.random.default_rng([seed, 1])
        self._choices = np.random.default_rng([seed, 2])
        self._idle: dict[str, list[ClientConnection]] = {name: [] for name in links}
        self._customers = self._draw_customers()
        self._last_number = 0  # of operations and requests
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False

        # Measurements
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)  # microseconds, of served requests
        self.requests_total = 0
        self.outcomes: Counter[RequestOutcome] = Counter()
        self.open: Counter[str] = Counter()  # requests in flight, by gateway
        self.no_gateway = 0  # operations that sent no request, or no retry, as no gateway was up

    def _draw_customers(self) -> list[Customer]:
        customers: list[Customer] = []
        for plan in self.world.plans:
            for _ in range(plan.customers):
                is_heavy = float(self._arrivals.random()) < plan.heavy_probability
                weight = plan.rate * (plan.heavy_demand_ratio if is_heavy else plan.demand_ratio)
                first_gateway = int(self._arrivals.integers(self.world.gateways))
                customers.append(Customer(f"{len(customers) + 1:016x}", plan, first_gateway, weight))
        return customers

    async def run(self) -> None:
        """Start operations at their arrival times for the world's seconds; an overdue one starts at once."""
        customer_shares = _shares([customer.weight for customer in self._customers])
        class_shares = _shares([request_class.weight for request_class in self.world.classes])
        begin_ms = self.clock.now
        arrival_ms = 0.0
        while True:
            arrival_ms += 1000.0 * float(self._arrivals.exponential(1.0 / self.scenario.rate))
            if arrival_ms >= 1000.0 * self.world.seconds or self._is_stopped:
                break
            customer = self._customers[int(self._arrivals.choice(len(self._customers), p=customer_shares))]
            request_class = self.world.classes[int(self._arrivals.choice(len(class_shares), p=class_shares))]
            wait_ms = begin_ms + arrival_ms - self.clock.now
            if wait_ms > 0.0:
                await asyncio.sleep(wait_ms / 1000.0)
            task = self.clock.loop.create_task(self._perform(customer, request_class, begin_ms + arrival_ms))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until all operations have ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def stop(self) -> None:
        """Begin no further operation."""
        self._is_stopped = True

    async def close(self) -> None:
        """Cancel all operations and close all idle connections."""
        self.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    # ---- An operation

    async def _perform(self, customer: Customer, request_class: ClassConfig, intended_ms: float) -> None:
        """Carry out one operation: a request, and retries if the client makes some."""
        number = self._next_number()
        key = f"{number:016x}" if request_class.idempotency == KEYED else ""
        operation = Operation(f"w{number}", customer, request_class, key)
        for attempt in range(self.world.max_tries):
            gateway = self._choose_gateway(customer)
            if gateway is None:
                self.no_gateway += 1
                return
            request = self._new_request(operation, gateway, intended_ms, attempt > 0)
            result = await self._request(request)
            if not self._retries(operation, result.outcome):
                return
            pause_ms = result.retry_after_ms or float(self._choices.exponential(RETRY_PAUSE_MS))
            await asyncio.sleep(pause_ms / 1000.0)
            intended_ms = self.clock.now

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _retries(self, operation: Operation, outcome: RequestOutcome) -> bool:
        """Whether the client retries, by chance: after a rejection, or a failure if it may run twice."""
        is_unsafe = operation.request_class.idempotency == UNSAFE
        is_harmless = outcome is RequestOutcome.REJECTED or (
            not is_unsafe and outcome is not RequestOutcome.SERVED
        )
        return is_harmless and float(self._choices.random()) < self.world.retry_probability

    def _choose_gateway(self, customer: Customer) -> str | None:
        """One of the customer's gateways that is up; if none is, any other that is; None if all are down."""
        width = min(customer.plan.gateways_per_customer, self.world.gateways)
        names = [f"g{(customer.first_gateway + n) % self.world.gateways}" for n in range(width)]
        up = [name for name in names if self.load_balancer.is_up(name)]
        up = up or [name for name in self.links if self.load_balancer.is_up(name)]
        return up[int(self._choices.integers(len(up)))] if up else None

    def _new_request(
        self, operation: Operation, gateway: str, intended_ms: float, is_retry: bool
    ) -> ClientRequest:
        customer = operation.customer
        fields = [
            f"c={operation.request_class.name}",
            f"t={customer.plan.name}",
            "units=1",
            f"spread={min(customer.plan.gateways_per_customer, self.world.gateways)}",
            f"first={customer.first_gateway}",
        ]
        if operation.idempotency_key:
            fields.append(f"k={operation.idempotency_key}")
        if is_retry:
            fields.append("r=1")
        deadline_ms = self.clock.now + operation.request_class.deadline_ms
        request_id = f"{self._next_number():016x}"
        return ClientRequest(operation, request_id, gateway, intended_ms, deadline_ms, fields)

    # ---- A request

    async def _request(self, request: ClientRequest) -> RequestResult:
        """Make a request, and record and count how it ended."""
        self.history.add(request.record(self.clock.now))
        self.requests_total += 1
        self.open[request.gateway] += 1
        result = RequestResult(RequestOutcome.NO_REPLY)
        try:
            patience_ms = request.operation.request_class.deadline_ms + PATIENCE_MS
            async with asyncio.timeout(patience_ms / 1000.0):
                result = await self._exchange(request)
        except TimeoutError:
            pass
        finally:
            self.open[request.gateway] -= 1
            self.outcomes[result.outcome] += 1
            self.history.add(records.RequestEnded(self.clock.now, request.request_id, result.outcome))
        if result.outcome is RequestOutcome.SERVED:
            latency_us = round(1000.0 * (self.clock.now - request.intended_ms))
            self.latency.record_value(max(1, min(MAX_LATENCY_US, latency_us)))
        return result

    async def _exchange(self, request: ClientRequest) -> RequestResult:
        """Send a request; send it again if a used connection ended: its close may have crossed it."""
        for is_resent in (False, True):
            connection = await self._connection(request.gateway)
            if connection is None:
                return RequestResult(RequestOutcome.NOT_ACCEPTED)
            if is_resent:
                self.history.add(records.RequestResent(self.clock.now, request.request_id))
            try:
                return self._classify_reply(request, await self._await_reply(request, connection))
            except ConnectionEndedError as ended:
                if not ended.was_used or request.operation.request_class.idempotency == UNSAFE:
                    break
        return RequestResult(RequestOutcome.CONNECTION_ENDED)

    async def _await_reply(self, request: ClientRequest, connection: ClientConnection) -> Any:
        """Wait for the reply, then keep the connection for other requests. Raises ConnectionEndedError."""
        is_complete = False
        try:
            reply = await connection.request(request.command(self.clock.now))
            is_complete = True
        finally:
            if not is_complete:
                connection.close()  # also when given up: the next request would get this late reply
        self._idle[request.gateway].append(connection)
        return reply

    def _classify_reply(self, request: ClientRequest, reply: Any) -> RequestResult:
        if isinstance(reply, ErrorReply):
            word, _, advice = str(reply).partition(" ")
            if word == "BUSY":
                return RequestResult(RequestOutcome.REJECTED, float(advice or 0.0))
            return RequestResult(RequestOutcome.FAILED)
        if reply == request.request_id.encode():
            return RequestResult(RequestOutcome.SERVED)
        return RequestResult(RequestOutcome.FOREIGN_VALUE)

    async def _connection(self, gateway: str) -> ClientConnection | None:
        """An open idle connection to a gateway, or a new one; None if the connection fails."""
        idle = self._idle[gateway]
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        connection = ClientConnection(self._unexpected_reply_handler(gateway))
        try:
            await self.clock.loop.create_connection(lambda: connection, *self.links[gateway].listen_address)
        except OSError:
            return None
        return connection

    def _unexpected_reply_handler(self, gateway: str) -> Callable[[], None]:
        return lambda: self.history.add(records.UnexpectedReply(self.clock.now, gateway))


def _shares(weights: list[float]) -> Any:
    """Normalize weights to probabilities."""
    array = np.array(weights)
    return array / array.sum()
