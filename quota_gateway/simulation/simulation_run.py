"""One simulation run: clients, load balancer, the real gateways' decisions, servers, discovery, disturbances.

It runs in virtual time. Each model draws from a random stream of its own, so that a change in one leaves the
others' draws as they were; arrivals do not depend on answers. A run shares no state with others: the same
world and seed give the same result.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import msgspec
import numpy as np

from quota_gateway import Gateway, api
from quota_gateway.simulation.models import Clock, Job, Meter, Server, TokenBucket
from quota_gateway.simulation.referee import ObservedRequest, Referee, ValueAccount
from quota_gateway.simulation.world import ClassConfig, Disturbance, PlanConfig, World
from quota_gateway.simulator_adapter import EventHandler
from quota_gateway.state import GiveUpReason

DEAD_GATEWAY_DETECTED_MS = 1000.0  # after a gateway's death; from then on the load balancer sends it nothing
RECONNECT_MS = 5.0  # until a client tries another gateway after it met a dead one
MEAN_RETRY_PAUSE_MS = 150.0  # before a client retries, unless it is advised to wait longer
# Each name's position decides its random stream: reordering changes every result.
STREAMS = ("arrivals", "work", "load_balancer", "clients", "servers", "disturbances", "gateways")
HandlerFactory = Callable[[api.Settings, int], EventHandler]


class Result(
    msgspec.Struct,
    frozen=True,
    rename={
        "value_by_outcome": "ledger",
        "breach_messages": "told",
        "max_load_ratio": "busiest",
    },
):
    """Result of a run; the JSON keys are those of earlier versions.

    Attributes:
        seed: the run's seed.
        offered: the value, in thousandths, of the operations whose first request is within the quota, as a
            single gateway that saw all first requests would decide.
        value_by_outcome: where that value went, in thousandths; the outcomes add up to ``offered``.
        broken: breaches by rule.
        breach_messages: the first breaches in words.
        requests: of clients, without their retries.
        attempts: sent to servers.
        max_load_ratio: requests served by the busiest server, over the mean of all servers.
    """

    seed: int
    offered: int
    value_by_outcome: dict[str, int]
    broken: dict[str, int]
    breach_messages: list[str]
    requests: int
    attempts: int
    max_load_ratio: float

    @property
    def served(self) -> float:
        """The share of the offered value that was served in time."""
        return self.value_by_outcome.get(SERVED_IN_TIME, 0) / self.offered if self.offered else 0.0


SERVED_IN_TIME = "served in time"
SERVED_LATE = "served late"
BEYOND_QUOTA = "beyond the quota"


class Customer:
    """A customer over all gateways: its quota, its ceiling, its meter, and the gateways that serve it."""

    def __init__(self, world: World, name: str, plan: PlanConfig, first_gateway: int, is_heavy: bool) -> None:
        self.name = name
        self.plan = plan
        self.first_gateway = first_gateway
        self.gateway_count = min(plan.gateways_per_customer, world.gateways)
        self.quota = TokenBucket(plan.rate, plan.burst)
        # What a single gateway that saw all first requests would admit.
        self.reference_quota = TokenBucket(plan.rate, plan.burst)
        self.ceiling = TokenBucket(plan.ceiling_rate, plan.ceiling_burst) if plan.ceiling_rate else None
        self.meter = Meter(plan, world.meter_period_ms, world.meter_delay_ms)
        # Requests a second.
        self.request_rate = plan.rate * (plan.heavy_demand_ratio if is_heavy else plan.demand_ratio)


class Operation:
    """What a client wants done, in one request and maybe some retries; ``work_ms`` as of `Job`."""

    __slots__ = ("operation_id", "customer", "class_config", "work_ms", "tries")

    def __init__(
        self, operation_id: str, customer: Customer, class_config: ClassConfig, work_ms: float
    ) -> None:
        self.operation_id = operation_id
        self.customer = customer
        self.class_config = class_config
        self.work_ms = work_ms
        self.tries = 0


class GatewayNode:
    """One gateway: its process, its timers, its requests, and when it was notified of draining servers."""

    def __init__(self, simulation: SimulationRun, index: int) -> None:
        self.simulation = simulation
        self.index = index
        self.generation = 0  # of its process
        self.is_up = False
        self.died_ms = -1e9
        self.requests: dict[str, tuple[ObservedRequest, Operation]] = {}
        # By server: when the gateway was notified that it drains.
        self.drained_ms: dict[int, float] = {}
        # By request and attempt: the server, when the attempt was sent, and its job.
        self.open_attempts: dict[tuple[str, int], tuple[int, float, Job]] = {}
        self.start()

    def start(self) -> None:
        """Start a process, whose only state is the cached list of servers."""
        if self.is_up:
            return  # two disturbances killed it, and the first has started it already
        simulation = self.simulation
        self.generation += 1
        self.is_up = True
        seed = int(simulation.random["gateways"].integers(2**32))
        self.handler = simulation.make_handler(simulation.world.settings(self.index), seed)
        self.give_up_reason = ""
        if isinstance(self.handler, Gateway):
            self._observe_give_ups(self.handler)
        self.notify(api.ListKind.CACHED, tuple(server.entry for server in simulation.servers.values()))

    def _observe_give_ups(self, gateway: Gateway) -> None:
        """Record why the gateway gives a request up: it counts the reason just before it answers."""
        count = gateway.responses.count_given_up

        def record_and_count(reason: GiveUpReason, plan: api.Plan) -> None:
            self.give_up_reason = reason
            count(reason, plan)

        gateway.responses.count_given_up = record_and_count  # type: ignore[method-assign]

    def kill(self) -> None:
        """End the process; its requests and attempts are lost."""
        if not self.is_up:
            return
        self.is_up = False
        self.died_ms = self.simulation.clock.now
        for request, operation in self.requests.values():
            request.lost = True
            if not request.answers:
                self.simulation.retry_or_give_up(operation, "failed: gateway died", None)
        for _, _, job in self.open_attempts.values():
            job.is_abandoned = True
        self.requests.clear()
        self.open_attempts.clear()
        self.drained_ms.clear()

    def notify(self, kind: api.ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        """Servers or their changes arrive from discovery."""
        if not self.is_up:
            return
        for entry in entries:
            if entry.state is api.ServerState.READY:
                self.drained_ms.pop(entry.server, None)
            else:
                self.drained_ms.setdefault(entry.server, self.simulation.clock.now)
        self.handle(api.ServerList(kind, entries))

    def receive(self, request: ObservedRequest, operation: Operation, is_retry: bool) -> None:
        """A client's request arrives."""
        customer = operation.customer
        self.requests[request.name] = (request, operation)
        client_timeout_ms = request.deadline_ms - request.received_ms
        self.handle(
            api.Request(
                request.name,
                operation.class_config.name,
                customer.plan.name,
                customer.name,
                client_timeout_ms,
                request.units,
                customer.gateway_count,
                customer.first_gateway,
                is_retry,
            )
        )

    def handle(self, event: api.Event) -> None:
        """Pass an event to the gateway's decisions, and carry out the actions they return."""
        simulation = self.simulation
        generation = self.generation
        for action in self.handler.handle(simulation.clock.now, event):
            if isinstance(action, api.SetTimer):
                simulation.clock.after(action.delay_ms, self._fire_timer, generation, action.token)
            elif isinstance(action, api.Send):
                self._send(*self.requests[action.request_id], action.server)
            elif isinstance(action, (api.Reject, api.Fail)):
                self._answer(action)
            elif isinstance(action, api.Cancel) and action.request_id in self.requests:
                request = self.requests[action.request_id][0]
                simulation.clock.after(0.0, self._end_attempt, request, action.attempt, api.Status.CANCELLED)

    def _fire_timer(self, generation: int, token: int) -> None:
        if generation == self.generation and self.is_up:
            self.handle(api.TimerFired(token))

    def _send(self, request: ObservedRequest, operation: Operation, number: int) -> None:
        simulation = self.simulation
        clock = self.simulation.clock
        server = simulation.servers[number]
        attempt = request.attempts_sent
        now_ms = clock.now
        if attempt == 0:
            customer = operation.customer
            request.within_quota = customer.quota.take(request.units, now_ms)
            customer.meter.add(request.units, now_ms)
            if customer.ceiling:
                simulation.referee.ceiling_charged(
                    request, customer.ceiling, customer.plan.ceiling_slack, now_ms
                )
        simulation.referee.sent(request, server, operation.work_ms, self.drained_ms.get(number), now_ms)
        simulation.attempts += 1
        delay_ms = simulation.network_delay_ms(self.index, server)
        job = Job(
            operation.work_ms,
            lambda status: clock.after(delay_ms, self._end_attempt, request, attempt, status),
        )
        self.open_attempts[request.name, attempt] = (number, now_ms, job)
        clock.after(delay_ms, server.take, job)
        clock.after(request.deadline_ms - now_ms, self._end_attempt, request, attempt, api.Status.TIMEOUT)

    def _end_attempt(self, request: ObservedRequest, attempt: int, status: api.Status) -> None:
        """End an attempt once, by whichever comes first: its answer, its time-out or its cancellation."""
        open_attempt = self.open_attempts.pop((request.name, attempt), None)
        if open_attempt is None:
            return  # has ended before, or with the process that sent it
        number, sent_ms, job = open_attempt
        job.is_abandoned = True
        simulation = self.simulation
        now_ms = self.simulation.clock.now
        operation = self.requests[request.name][1]
        request.attempts_ended += 1
        simulation.referee.ended(request, attempt, status)
        is_ok = status is api.Status.OK
        if is_ok and not request.answers:
            simulation.referee.answered(request, False, now_ms)
            simulation.served(operation, request)
        has_figure = is_ok or status in (api.Status.ERROR, api.Status.OVERLOADED)
        used_percent = operation.customer.meter.reported_percent(now_ms) if has_figure else None
        self.handle(
            api.AttemptEnded(
                request.name, attempt, number, status, now_ms - sent_ms, bool(request.answers), used_percent
            )
        )
        self._forget_if_complete(request)

    def _answer(self, action: api.Reject | api.Fail) -> None:
        is_rejection = isinstance(action, api.Reject)
        now_ms = self.simulation.clock.now
        if action.request_id not in self.requests:
            # Answered once more than it should be.
            self.simulation.referee.answered(
                self.simulation.sent_requests[action.request_id], is_rejection, now_ms
            )
            return
        request, operation = self.requests[action.request_id]
        self.simulation.referee.answered(request, is_rejection, now_ms)
        if request.answers == 1:
            retry_after_ms = action.retry_after_ms if isinstance(action, api.Reject) else 0.0
            self.simulation.retry_or_give_up(
                operation, f"{'refused' if is_rejection else 'failed'}: {self.give_up_reason}", retry_after_ms
            )
        self._forget_if_complete(request)

    def _forget_if_complete(self, request: ObservedRequest) -> None:
        if request.answers and request.attempts_ended == request.attempts_sent:
            self.requests.pop(request.name, None)


class SimulationRun:
    """Simulates a world with one seed. ``make_handler`` builds a gateway from its settings and a seed."""

    def __init__(self, world: World, seed: int, make_handler: HandlerFactory = Gateway) -> None:
        self.world = world
        self.seed = seed
        self.make_handler = make_handler
        seeds = np.random.SeedSequence(seed).spawn(len(STREAMS))
        self.random = {name: np.random.default_rng(s) for name, s in zip(STREAMS, seeds, strict=True)}
        self.clock = Clock()
        self.referee = Referee(world)
        self.value_account = ValueAccount()
        self.operations = self.attempts = 0
        self.request_classes = {
            request_class.name: request_class for request_class in world.settings(0).classes
        }
        weights = np.array([class_config.weight for class_config in world.classes])
        self.class_probabilities = weights / weights.sum()
        self.longest_deadline_ms = max(class_config.deadline_ms for class_config in world.classes)
        self.load_factor = 1.0  # multiplies the rate of arrivals
        self.has_ended = False  # clients send no more requests
        self.sent_requests: dict[str, ObservedRequest] = {}  # all of the run
        self.servers = {number: self._server(number) for number in range(world.machines.count)}
        # The load balancer's weight of each gateway.
        self.gateway_weights = self.random["load_balancer"].gamma(3.0, size=world.gateways)
        self.nodes = [GatewayNode(self, index) for index in range(world.gateways)]
        self.customers = list(self._customers())

    def _server(self, number: int) -> Server:
        machines = self.world.machines
        speed = float(self.random["servers"].uniform(machines.min_speed, machines.max_speed))
        entry = api.ServerEntry(number, self.world.zones[number % len(self.world.zones)], cell=number % 4)
        return Server(self.clock, machines, entry, speed)

    def _customers(self) -> Iterator[Customer]:
        for plan in self.world.plans:
            for number in range(plan.customers):
                first_gateway = int(self.random["load_balancer"].integers(self.world.gateways))
                is_heavy = bool(self.random["load_balancer"].random() < plan.heavy_probability)
                yield Customer(self.world, f"{plan.name}-{number}", plan, first_gateway, is_heavy)

    def run(self) -> Result:
        """Run for the world's seconds, and then until the requests in flight are answered."""
        duration_ms = 1000.0 * self.world.seconds
        for disturbance in self.world.disturbances:
            self.clock.after(1000.0 * disturbance.start_s, self._disturb, disturbance)
        for customer in self.customers:
            self._schedule_operation(customer)
        self.clock.run(duration_ms)
        self.has_ended = True
        self.clock.run(duration_ms + 3.0 * self.longest_deadline_ms + 5000.0)
        for request in self.sent_requests.values():
            self.referee.check_answered(request)
        self.value_account.close()
        loads = [server.served for server in self.servers.values()]
        mean = sum(loads) / len(loads)
        return Result(
            self.seed,
            self.value_account.offered,
            dict(sorted(self.value_account.by_outcome.items())),
            dict(sorted(self.referee.broken.items())),
            self.referee.breach_messages,
            self.operations,
            self.attempts,
            max(loads) / mean if mean else 0.0,
        )

    # ---- Clients and the load balancer

    def _schedule_operation(self, customer: Customer) -> None:
        interval_ms = 1000.0 * float(self.random["arrivals"].exponential(1.0 / customer.request_rate))
        self.clock.after(interval_ms / self.load_factor, self._begin_operation, customer)

    def _begin_operation(self, customer: Customer) -> None:
        if self.has_ended:
            return
        class_config = self.world.classes[
            int(self.random["arrivals"].choice(len(self.class_probabilities), p=self.class_probabilities))
        ]
        work_ms = float(self.random["work"].exponential(class_config.mean_work_ms))
        self.operations += 1
        operation = Operation(f"w{self.operations}", customer, class_config, work_ms)
        if customer.reference_quota.take(1.0, self.clock.now):  # requests beyond the quota have no value
            self.value_account.offer(operation.operation_id, class_config.value * customer.plan.price)
        self._send_request(operation)
        self._schedule_operation(customer)

    def _send_request(self, operation: Operation) -> None:
        """Send a request to one of the customer's gateways, drawn by their weights.

        A dead gateway that the load balancer has not detected yet costs the client the time to reconnect.
        """
        customer = operation.customer
        now_ms = self.clock.now
        gateways = [(customer.first_gateway + n) % self.world.gateways for n in range(customer.gateway_count)]
        candidates = [
            n
            for n in gateways
            if self.nodes[n].is_up or now_ms - self.nodes[n].died_ms < DEAD_GATEWAY_DETECTED_MS
        ]
        if not candidates:
            self.value_account.book(operation.operation_id, "failed: no gateway of its set is up")
            return
        weights = self.gateway_weights[candidates]
        node = self.nodes[
            candidates[int(self.random["clients"].choice(len(candidates), p=weights / weights.sum()))]
        ]
        if not node.is_up:
            self.clock.after(RECONNECT_MS, self._send_request, operation)
            return
        operation.tries += 1
        request_class = self.request_classes[operation.class_config.name]
        request = ObservedRequest(
            f"{operation.operation_id}.{operation.tries}",
            request_class,
            now_ms,
            now_ms + request_class.deadline_ms,
            1.0,
        )
        self.sent_requests[request.name] = request
        node.receive(request, operation, operation.tries > 1)

    def served(self, operation: Operation, request: ObservedRequest) -> None:
        """Book an operation whose request has been answered with success."""
        is_late = self.clock.now - request.received_ms > operation.class_config.latency_objective_ms
        self.value_account.book(
            operation.operation_id,
            BEYOND_QUOTA if not request.within_quota else SERVED_LATE if is_late else SERVED_IN_TIME,
        )

    def retry_or_give_up(self, operation: Operation, outcome: str, retry_after_ms: float | None) -> None:
        """After a rejection or failure: the client retries, or gives up with this outcome."""
        is_retried = self.random["clients"].random() < self.world.retry_probability
        if not is_retried or operation.tries >= self.world.max_tries or self.has_ended:
            self.value_account.book(operation.operation_id, outcome)
            return
        pause_ms = float(self.random["clients"].exponential(MEAN_RETRY_PAUSE_MS))
        self.clock.after(max(retry_after_ms or 0.0, pause_ms), self._send_request, operation)

    # ---- Servers, discovery, network

    def network_delay_ms(self, gateway: int, server: Server) -> float:
        """The one-way delay between a gateway and a server."""
        is_same_zone = self.world.zones[gateway % len(self.world.zones)] == server.entry.zone
        return self.world.same_zone_delay_ms if is_same_zone else self.world.cross_zone_delay_ms

    def publish(self, server: Server) -> None:
        """Discovery notifies every gateway of a server's change, each after a delay of its own."""
        for node in self.nodes:
            delay_ms = float(self.random["servers"].uniform(0.3, 1.0)) * self.world.discovery_delay_ms
            self.clock.after(delay_ms, node.notify, api.ListKind.CHANGES, (server.entry,))

    # ---- Disturbances

    def _disturb(self, disturbance: Disturbance) -> None:
        duration_ms = 1000.0 * disturbance.duration_s
        random = self.random["disturbances"]
        if disturbance.kind == "burst":
            self.load_factor = disturbance.factor
            self.clock.after(duration_ms, setattr, self, "load_factor", 1.0)
        elif disturbance.kind == "kill":
            for index in random.permutation(len(self.nodes))[: round(disturbance.ratio * len(self.nodes))]:
                self.nodes[index].kill()
                self.clock.after(
                    self.world.restart_delay_ms + float(random.uniform(0.0, duration_ms)),
                    self.nodes[index].start,
                )
        else:
            servers = [s for s in self.servers.values() if disturbance.zone in ("", s.entry.zone)]
            ratio = 1.0 if disturbance.zone else disturbance.ratio
            for index in random.permutation(len(servers))[: round(ratio * len(servers))]:
                self._disturb_server(disturbance, servers[index], duration_ms)

    def _disturb_server(self, disturbance: Disturbance, server: Server, duration_ms: float) -> None:
        if disturbance.kind == "release":
            delay_ms = float(self.random["disturbances"].uniform(0.0, duration_ms))
            self.clock.after(delay_ms, self._drain, server)
            return
        attribute, value = {
            "slow": ("slowdown", disturbance.factor),
            "fail": ("failing", True),
            "silent": ("silent", True),
        }[disturbance.kind]
        previous = getattr(server, attribute)
        setattr(server, attribute, value)
        self.clock.after(duration_ms, setattr, server, attribute, previous)

    def _drain(self, server: Server) -> None:
        """Drain a server, and restart it once the longest request that it may still have is over."""
        server.entry = replace(server.entry, state=api.ServerState.DRAINING)
        self.publish(server)
        self.clock.after(
            self.longest_deadline_ms + self.world.discovery_delay_ms, self._restart_server, server
        )

    def _restart_server(self, server: Server) -> None:
        server.restart()
        server.entry = replace(server.entry, state=api.ServerState.READY, started_ms=self.clock.now)
        self.publish(server)
