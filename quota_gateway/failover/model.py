"""Explicit-state model of the failover protocol (record, claim, delivery of answers), explored exhaustively.

Two pipelined requests arrive on one connection; the second is unsafe to repeat. A gateway records them,
forwards them and answers in order; two standbys may take over from it, each when the supervisor notifies it.
Between any two steps any gateway may be killed, the first may be stopped and resumed, the client may
disconnect, and the supervisor may die and be started again. These guarantees hold in every reachable state:

  once     no unsafe request is executed twice
  stream   the client has read a prefix of the answers, in their order, each of them from a single origin
  end      if a gateway is left to serve, each recorded request is answered, or the connection has ended

Each of ``FAULTS`` plants one mistake; for each the model finds steps that lead to a broken guarantee.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any, Literal

from msgspec import Struct, structs

REQUESTS = 2
UNSAFE = (False, True)  # by request: whether it must not be executed twice
PARTS_PER_ANSWER = 2  # an answer is written in parts, between which any other step may happen
Fault = Literal["", "sent late", "no number", "no count", "not certain"]
FAULTS: dict[Fault, str] = {
    "sent late": "an attempt is recorded after its first byte has been sent",
    "no number": "a standby takes over without a new claim number, whoever else holds the record",
    "no count": "an answer is recorded after it was written, and the kernel's byte count is not read",
    "not certain": "a standby claims the record of a process that is not known to have ended",
}
NONE, TAKEN, SENT, READY = range(4)  # states of a request in the record
# Ends of the labels of steps that may never happen: the protocol must not depend on them.
OPTIONAL_STEP_ENDINGS = ("is killed", "is stopped", "dies", "disconnects")
RUNNING, STOPPED, DEAD = range(3)  # states of a process
AnswerPart = tuple[int, int, int]  # index of the request, index of the part, origin of the answer
FAILED_ORIGIN = 9  # origin of an error answer; other answers have the number of the gateway plus 1


class GatewayProcess(Struct, frozen=True):
    """A gateway process and its memory, into which it read the record once, when it took over."""

    process_state: int = RUNNING
    is_serving: bool = False
    request: int = 0  # index of the request that it handles
    step: int = 0  # of this request: 0 not begun here; 1 may be sent; 2 sent; 3 its answer has arrived
    requests_read: int = 0  # requests that this process has read from the connection
    view: tuple[tuple[int, int], ...] = ((NONE, 0),) * REQUESTS  # the record as this process knows it
    parts_written: int = 0  # parts of answers that are written, as far as this process knows


class World(Struct, frozen=True):
    """State of the whole system. ``record`` has each request's state and the origin of its answer."""

    gateways: tuple[GatewayProcess, ...]
    record: tuple[tuple[int, int], ...] = ((NONE, 0),) * REQUESTS
    claim: int = 0  # the highest claim number so far; it grows with each holder
    holder: int = 0  # index of the gateway that has this claim
    requests_read: int = 0  # requests that were read from the kernel, by any gateway
    stream: tuple[AnswerPart, ...] = ()  # what was written to the client
    run_counts: tuple[int, ...] = (0,) * REQUESTS
    connection_open: bool = True
    supervisor_alive: bool = True
    notified: frozenset[int] = frozenset()  # standbys that the supervisor has notified to take over
    deaths: int = 0
    stops: int = 0


class BrokenGuarantee(Struct, frozen=True):
    """A guarantee that does not hold, and the labels of the steps that lead there."""

    guarantee: str
    trace: list[str]


class Result(Struct, frozen=True):
    """Result of an exploration: states reached, depth, and the broken guarantee if there is one."""

    states: int
    depth: int
    broken: BrokenGuarantee | None


class Model:
    """The possible steps of gateways, supervisor and client, with one planted fault or none."""

    def __init__(self, fault: Fault = "", deaths: int = 2, standbys: int = 2) -> None:
        self.fault = fault
        self.deaths = deaths
        self.standbys = standbys

    def initial_world(self) -> World:
        """The initial state: gateway 0 serves, with claim number 0."""
        return World((GatewayProcess(is_serving=True), *(GatewayProcess() for _ in range(self.standbys))))

    # ---- Steps

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Each possible next step: its label and the state after it."""
        for number, gateway in enumerate(world.gateways):
            name = f"gateway {number}"
            if gateway.process_state == RUNNING:
                if gateway.is_serving:
                    yield from (
                        (f"{name} {label}", next_world)
                        for label, next_world in self._serving_steps(world, number, gateway)
                    )
                elif number in world.notified:
                    yield from (
                        (f"{name} {label}", next_world)
                        for label, next_world in self._claim_steps(world, number)
                    )
                if world.stops == 0 and number == 0:
                    yield (
                        f"{name} is stopped",
                        self._with_gateway(world, number, process_state=STOPPED, stops=1),
                    )
            if gateway.process_state == STOPPED:
                yield f"{name} is resumed", self._with_gateway(world, number, process_state=RUNNING)
            if (
                gateway.process_state != DEAD
                and world.deaths < self.deaths
                and (gateway.is_serving or number == 0)
            ):
                yield (
                    f"{name} is killed",
                    self._with_gateway(world, number, process_state=DEAD, deaths=world.deaths + 1),
                )
        yield from self._environment_steps(world)

    def _environment_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if world.supervisor_alive:
            yield from self._supervisor_steps(world)
            if world.deaths < self.deaths:
                yield (
                    "the supervisor dies",
                    structs.replace(
                        world, supervisor_alive=False, notified=frozenset(), deaths=world.deaths + 1
                    ),
                )
        else:
            yield "a supervisor starts", structs.replace(world, supervisor_alive=True)
        if world.connection_open:
            yield "the client disconnects", structs.replace(world, connection_open=False)

    def _supervisor_steps(self, world: World) -> Iterator[tuple[str, World]]:
        """The supervisor kills a hung holder, and notifies standbys once the holder's end is certain."""
        holder = world.gateways[world.holder]
        if holder.process_state == STOPPED and self.fault != "not certain":
            yield (
                "the supervisor kills the stopped gateway",
                self._with_gateway(world, world.holder, process_state=DEAD),
            )
        holder_has_ended = holder.process_state == DEAD or (
            self.fault == "not certain" and holder.process_state == STOPPED
        )
        for number in range(1, len(world.gateways)):
            standby = world.gateways[number]
            if (
                holder_has_ended
                and number not in world.notified
                and standby.process_state == RUNNING
                and not standby.is_serving
            ):
                yield (
                    f"the supervisor notifies gateway {number}",
                    structs.replace(world, notified=world.notified | {number}),
                )

    # ---- Claims

    def _claim_steps(self, world: World, number: int) -> Iterator[tuple[str, World]]:
        """Claim atomically: the number grows, and no process gets it while the holder may still run."""
        if self.fault == "no number":
            yield "takes over without a claim", self._take_over(world, number, world.claim)
            return
        holder = world.gateways[world.holder]
        if holder.process_state == DEAD or (self.fault == "not certain" and holder.process_state == STOPPED):
            yield "claims the record", self._take_over(world, number, world.claim + 1)

    def _take_over(self, world: World, number: int, claim: int) -> World:
        """Read the record and the kernel's byte count once; from then on the process relies on its memory."""
        parts_written = len(world.stream)
        if self.fault == "no count":
            parts_written = PARTS_PER_ANSWER * sum(state == READY for state, _ in world.record)
        world = self._with_gateway(
            world,
            number,
            is_serving=True,
            view=world.record,
            parts_written=parts_written,
            request=parts_written // PARTS_PER_ANSWER,
        )
        world = structs.replace(world, claim=claim, holder=number)
        known = sum(state != NONE for state, _ in world.record)
        if world.requests_read > known:  # one was read but not recorded, so it is lost
            return structs.replace(world, connection_open=False)
        return world

    # ---- Serving

    def _serving_steps(
        self, world: World, number: int, gateway: GatewayProcess
    ) -> Iterator[tuple[str, World]]:
        """A step of the current request (handled in order, as answers are), or of taking the next one."""
        request = gateway.request
        if request == REQUESTS or not world.connection_open:
            return
        state, origin = gateway.view[request]
        next_request = next(
            (index for index, (known, _) in enumerate(gateway.view) if known == NONE), REQUESTS
        )
        if next_request < REQUESTS and next_request <= request + 1:
            if gateway.requests_read > next_request:
                yield (
                    f"records request {next_request}",
                    self._with_recorded(world, number, next_request, TAKEN, 0),
                )
            elif world.requests_read <= next_request:
                yield (
                    f"reads request {next_request}",
                    structs.replace(
                        self._with_gateway(world, number, requests_read=next_request + 1),
                        requests_read=next_request + 1,
                    ),
                )
        if state == NONE:
            return
        if state == READY:
            yield self._delivery_step(world, number, gateway, request, origin)
        else:
            yield self._attempt_step(world, number, gateway, request, state)

    def _attempt_step(
        self,
        world: World,
        number: int,
        gateway: GatewayProcess,
        request: int,
        state: int,
    ) -> tuple[str, World]:
        if gateway.step == 0:
            if state == SENT and UNSAFE[request]:
                return f"gives request {request} up", self._record_answer(
                    world, number, request, FAILED_ORIGIN
                )
            if state == TAKEN and self.fault != "sent late":
                return f"marks request {request} sent", self._with_recorded(
                    world, number, request, SENT, 0, step=1
                )
            return f"is about to send request {request}", self._with_gateway(world, number, step=1)
        if gateway.step == 1:
            run_counts = tuple(n + (index == request) for index, n in enumerate(world.run_counts))
            return f"sends request {request}", structs.replace(
                self._with_gateway(world, number, step=2), run_counts=run_counts
            )
        if state == TAKEN:  # only with the fault "sent late"
            return f"marks request {request} sent", self._with_recorded(world, number, request, SENT, 0)
        return f"receives the answer to request {request}", self._record_answer(
            world, number, request, number + 1
        )

    def _record_answer(self, world: World, number: int, request: int, origin: int) -> World:
        """Record an answer before its first byte is written; with the fault "no count", in memory alone."""
        if self.fault == "no count":
            view = self._with_row(world.gateways[number].view, request, READY, origin)
            return self._with_gateway(world, number, step=3, view=view)
        return self._with_recorded(world, number, request, READY, origin, step=3)

    def _delivery_step(
        self,
        world: World,
        number: int,
        gateway: GatewayProcess,
        request: int,
        origin: int,
    ) -> tuple[str, World]:
        part = gateway.parts_written - PARTS_PER_ANSWER * request
        if part < PARTS_PER_ANSWER:
            return f"writes part {part} of the answer to request {request}", structs.replace(
                self._with_gateway(world, number, parts_written=gateway.parts_written + 1),
                stream=(*world.stream, (request, part, origin)),
            )
        if world.record[request] != gateway.view[request] and self.fault == "no count":
            return f"marks request {request} answered", self._with_recorded(
                world, number, request, READY, origin
            )
        return f"is done with request {request}", self._with_gateway(
            world, number, request=request + 1, step=0
        )

    # ---- Changed copies of a state

    def _with_row(
        self,
        rows: tuple[tuple[int, int], ...],
        request: int,
        state: int,
        origin: int,
    ) -> tuple[tuple[int, int], ...]:
        return tuple((state, origin) if index == request else row for index, row in enumerate(rows))

    def _with_recorded(
        self, world: World, number: int, request: int, state: int, origin: int, **changes: int
    ) -> World:
        """Write a request's row into the record and into the gateway's memory."""
        view = self._with_row(world.gateways[number].view, request, state, origin)
        record = self._with_row(world.record, request, state, origin)
        return structs.replace(self._with_gateway(world, number, view=view, **changes), record=record)

    def _with_gateway(self, world: World, number: int, **changes: Any) -> World:
        world_changes = {name: changes.pop(name) for name in ("deaths", "stops") if name in changes}
        gateways = tuple(
            structs.replace(gateway, **changes) if index == number else gateway
            for index, gateway in enumerate(world.gateways)
        )
        return structs.replace(world, gateways=gateways, **world_changes)

    # ---- Guarantees

    def broken(self, world: World) -> str:
        """The name of a guarantee that does not hold in this state; empty if all hold."""
        if any(runs > 1 for runs, unsafe in zip(world.run_counts, UNSAFE, strict=True) if unsafe):
            return "once"
        for index, (request, part, origin) in enumerate(world.stream):
            if (request, part) != divmod(index, PARTS_PER_ANSWER) or (
                part and world.stream[index - 1][2] != origin
            ):
                return "stream"
        return ""

    def has_unanswered(self, world: World) -> bool:
        """Whether a recorded request lacks its answer although a gateway runs and the connection is open."""
        any_running = any(gateway.process_state == RUNNING for gateway in world.gateways)
        parts_due = PARTS_PER_ANSWER * sum(state != NONE for state, _ in world.record)
        return any_running and world.connection_open and len(world.stream) < parts_due


def explore(fault: Fault = "", deaths: int = 2, standbys: int = 2) -> Result:
    """Visit all reachable states, breadth first; stop at the first broken guarantee."""
    model = Model(fault, deaths, standbys)
    initial_world = model.initial_world()
    predecessors: dict[World, tuple[World, str] | None] = {initial_world: None}
    queue = deque([initial_world])
    depth = 0
    depths = {initial_world: 0}
    while queue:
        world = queue.popleft()
        depth = depths[world]
        guarantee = model.broken(world)
        next_steps = [] if guarantee else list(model.steps(world))
        if (
            not guarantee
            and all(label.endswith(OPTIONAL_STEP_ENDINGS) for label, _ in next_steps)
            and model.has_unanswered(world)
        ):
            guarantee = "end"
        if guarantee:
            return Result(len(predecessors), depth, BrokenGuarantee(guarantee, _trace(predecessors, world)))
        for label, next_world in next_steps:
            if next_world not in predecessors:
                predecessors[next_world] = (world, label)
                depths[next_world] = depth + 1
                queue.append(next_world)
    return Result(len(predecessors), depth, None)


def _trace(predecessors: dict[World, tuple[World, str] | None], world: World) -> list[str]:
    trace = []
    while (predecessor := predecessors[world]) is not None:
        world, label = predecessor
        trace.append(label)
    return trace[::-1]
