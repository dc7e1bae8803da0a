"""Record, claim and delivery as a small explicit-state model, explored to the end.

Two requests stand one behind the other on one connection, the second of them unsafe. A gateway takes them,
forwards them and answers in order; two standbys may follow it, each when the supervisor notifies it. Between
any two steps of any of them, any may be killed, the first may be stopped and go on, the client may leave, and
the supervisor may die and be started again. What the record guarantees holds in every reachable state:

  once     no unsafe request runs twice
  stream   what the client has read is a beginning of whole answers, each of one origin, in their order
  end      where somebody is left to serve, all that was taken has been answered, or the connection has ended

Each of ``FAULTS`` plants one mistake; the model finds a way to a broken guarantee for each.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any, Literal

from msgspec import Struct, structs

REQUESTS = 2
UNSAFE = (False, True)
HALVES = 2  # parts of an answer that may be written one by one
Fault = Literal["", "sent late", "no number", "no count", "not certain"]
FAULTS: dict[Fault, str] = {
    "sent late": "an attempt is written down after its first byte has gone out",
    "no number": "a claim is taken without a number that grows, whoever else has one",
    "no count": "an answer is marked after it was written, and the kernel's count is not asked",
    "not certain": "work is claimed from a process that is not known to have ended",
}
NONE, TAKEN, SENT, READY = range(4)  # of a request's record
MISHAPS = ("is killed", "is stopped", "dies", "goes away")  # steps that nobody owes
RUNS, STOPPED, DEAD = range(3)  # of a process
Token = tuple[int, int, int]  # request, part, origin of the answer
FAILED = 9  # the origin of an answer that says: failed


class Actor(Struct, frozen=True):
    """A gateway, and what it goes by: its memory, which it read once, as it took the work on."""

    life: int = RUNS
    working: bool = False
    request: int = 0  # at hand
    step: int = 0  # with it: 0 nothing is known of it here; 1 may be sent; 2 sent; 3 its answer is here
    read: int = 0  # commands read from the connection, by this one
    view: tuple[tuple[int, int], ...] = ((NONE, 0),) * REQUESTS  # the record, as far as it knows
    out: int = 0  # parts of answers that are written, as far as it knows


class World(Struct, frozen=True):
    """A state of everything. ``record``: by request, its state and its answer's origin."""

    actors: tuple[Actor, ...]
    record: tuple[tuple[int, int], ...] = ((NONE, 0),) * REQUESTS
    claim: int = 0  # the highest number that was given: it grows with each holder
    holder: int = 0  # who has it
    read: int = 0  # commands that were read out of the kernel
    stream: tuple[Token, ...] = ()
    ran: tuple[int, ...] = (0,) * REQUESTS
    open: bool = True  # the connection
    supervisor: bool = True
    notified: frozenset[int] = frozenset()  # standbys that the supervisor has notified to take over
    deaths: int = 0
    stops: int = 0


class Broken(Struct, frozen=True):
    """A guarantee that does not hold, and the way there."""

    rule: str
    way: list[str]


class Result(Struct, frozen=True):
    """What an exploration came to."""

    states: int
    depth: int
    broken: Broken | None


class Model:
    """The steps of everybody, with one fault or none."""

    def __init__(self, fault: Fault = "", deaths: int = 2, standbys: int = 2) -> None:
        self.fault = fault
        self.deaths = deaths
        self.standbys = standbys

    def first(self) -> World:
        """Before anything has happened: the gateway holds its work, under the number 0."""
        return World((Actor(working=True), *(Actor() for _ in range(self.standbys))))

    # ---- Everybody's next steps

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """All that may come next."""
        for number, actor in enumerate(world.actors):
            name = f"gateway {number}"
            if actor.life == RUNS:
                if actor.working:
                    yield from ((f"{name} {what}", to) for what, to in self._work(world, number, actor))
                elif number in world.notified:
                    yield from ((f"{name} {what}", to) for what, to in self._claim(world, number))
                if world.stops == 0 and number == 0:
                    yield f"{name} is stopped", self._with(world, number, life=STOPPED, stops=1)
            if actor.life == STOPPED:
                yield f"{name} goes on", self._with(world, number, life=RUNS)
            if actor.life != DEAD and world.deaths < self.deaths and (actor.working or number == 0):
                yield f"{name} is killed", self._with(world, number, life=DEAD, deaths=world.deaths + 1)
        yield from self._around(world)

    def _around(self, world: World) -> Iterator[tuple[str, World]]:
        if world.supervisor:
            yield from self._keep(world)
            if world.deaths < self.deaths:
                yield (
                    "the supervisor dies",
                    structs.replace(world, supervisor=False, notified=frozenset(), deaths=world.deaths + 1),
                )
        else:
            yield "a supervisor starts", structs.replace(world, supervisor=True)
        if world.open:
            yield "the client goes away", structs.replace(world, open=False)

    def _keep(self, world: World) -> Iterator[tuple[str, World]]:
        """The supervisor: ends whoever hangs, and notifies standbys once the holder's end is certain."""
        holder = world.actors[world.holder]
        if holder.life == STOPPED and self.fault != "not certain":
            yield "the supervisor ends who hangs", self._with(world, world.holder, life=DEAD)
        certain = holder.life == DEAD or (self.fault == "not certain" and holder.life == STOPPED)
        for number in range(1, len(world.actors)):
            one = world.actors[number]
            if certain and number not in world.notified and one.life == RUNS and not one.working:
                yield (
                    f"the supervisor notifies {number}",
                    structs.replace(world, notified=world.notified | {number}),
                )

    # ---- Claims

    def _claim(self, world: World, number: int) -> Iterator[tuple[str, World]]:
        """Atomic: the number grows, and nobody gets it while its holder may live."""
        if self.fault == "no number":
            yield "goes on with the work", self._take_on(world, number, world.claim)
            return
        holder = world.actors[world.holder]
        if holder.life == DEAD or (self.fault == "not certain" and holder.life == STOPPED):
            yield "claims", self._take_on(world, number, world.claim + 1)

    def _take_on(self, world: World, number: int, claim: int) -> World:
        """The record and the kernel's count are read once: from here on this process goes by its memory."""
        out = len(world.stream)
        if self.fault == "no count":
            out = HALVES * sum(state == READY for state, _ in world.record)
        world = self._with(world, number, working=True, view=world.record, out=out, request=out // HALVES)
        world = structs.replace(world, claim=claim, holder=number)
        known = sum(state != NONE for state, _ in world.record)
        if world.read > known:  # a command was read, and is not written down: nobody knows it any more
            return structs.replace(world, open=False)
        return world

    # ---- Work

    def _work(self, world: World, number: int, actor: Actor) -> Iterator[tuple[str, World]]:
        """One step with the request at hand, in order, as answers are; or with taking the next one."""
        request = actor.request
        if request == REQUESTS or not world.open:
            return
        state, origin = actor.view[request]
        coming = next((place for place, (known, _) in enumerate(actor.view) if known == NONE), REQUESTS)
        if coming < REQUESTS and coming <= request + 1:
            if actor.read > coming:
                yield f"writes down {coming}", self._note(world, number, coming, TAKEN, 0)
            elif world.read <= coming:
                yield (
                    f"reads {coming}",
                    structs.replace(self._with(world, number, read=coming + 1), read=coming + 1),
                )
        if state == NONE:
            return
        if state == READY:
            yield self._deliver(world, number, actor, request, origin)
        else:
            yield self._attempt(world, number, actor, request, state)

    def _attempt(
        self,
        world: World,
        number: int,
        actor: Actor,
        request: int,
        state: int,
    ) -> tuple[str, World]:
        if actor.step == 0:
            if state == SENT and UNSAFE[request]:
                return f"gives {request} up", self._answer(world, number, request, FAILED)
            if state == TAKEN and self.fault != "sent late":
                return f"marks {request} sent", self._note(world, number, request, SENT, 0, step=1)
            return f"is about to send {request}", self._with(world, number, step=1)
        if actor.step == 1:
            ran = tuple(n + (place == request) for place, n in enumerate(world.ran))
            return f"sends {request}", structs.replace(self._with(world, number, step=2), ran=ran)
        if state == TAKEN:  # only with that fault
            return f"marks {request} sent", self._note(world, number, request, SENT, 0)
        return f"has the answer to {request}", self._answer(world, number, request, number + 1)

    def _answer(self, world: World, number: int, request: int, origin: int) -> World:
        """Written down before its first byte goes out; with one fault, kept in memory alone."""
        if self.fault == "no count":
            view = self._put(world.actors[number].view, request, READY, origin)
            return self._with(world, number, step=3, view=view)
        return self._note(world, number, request, READY, origin, step=3)

    def _deliver(
        self,
        world: World,
        number: int,
        actor: Actor,
        request: int,
        origin: int,
    ) -> tuple[str, World]:
        part = actor.out - HALVES * request
        if part < HALVES:
            return f"writes part {part} of {request}", structs.replace(
                self._with(world, number, out=actor.out + 1), stream=(*world.stream, (request, part, origin))
            )
        if world.record[request] != actor.view[request] and self.fault == "no count":
            return f"marks {request} answered", self._note(world, number, request, READY, origin)
        return f"is done with {request}", self._with(world, number, request=request + 1, step=0)

    # ---- Changes

    def _put(
        self,
        rows: tuple[tuple[int, int], ...],
        request: int,
        state: int,
        origin: int,
    ) -> tuple[tuple[int, int], ...]:
        return tuple((state, origin) if place == request else row for place, row in enumerate(rows))

    def _note(self, world: World, number: int, request: int, state: int, origin: int, **more: int) -> World:
        """Into the record, and into this process's memory."""
        view = self._put(world.actors[number].view, request, state, origin)
        record = self._put(world.record, request, state, origin)
        return structs.replace(self._with(world, number, view=view, **more), record=record)

    def _with(self, world: World, number: int, **more: Any) -> World:
        outer = {name: more.pop(name) for name in ("deaths", "stops") if name in more}
        actors = tuple(
            structs.replace(actor, **more) if place == number else actor
            for place, actor in enumerate(world.actors)
        )
        return structs.replace(world, actors=actors, **outer)

    # ---- Guarantees

    def broken(self, world: World) -> str:
        """Which guarantee does not hold here; empty if all do."""
        if any(ran > 1 for ran, unsafe in zip(world.ran, UNSAFE, strict=True) if unsafe):
            return "once"
        for place, (request, part, origin) in enumerate(world.stream):
            if (request, part) != divmod(place, HALVES) or (part and world.stream[place - 1][2] != origin):
                return "stream"
        return ""

    def unfinished(self, world: World) -> bool:
        """Whether something that was taken stays unanswered although somebody is left to serve."""
        left = any(actor.life == RUNS for actor in world.actors)
        owed = HALVES * sum(state != NONE for state, _ in world.record)
        return left and world.open and len(world.stream) < owed


def explore(fault: Fault = "", deaths: int = 2, standbys: int = 2) -> Result:
    """All states that can be reached, the nearest first; stops at the first broken guarantee."""
    model = Model(fault, deaths, standbys)
    first = model.first()
    came: dict[World, tuple[World, str] | None] = {first: None}
    queue = deque([first])
    depth = 0
    levels = {first: 0}
    while queue:
        world = queue.popleft()
        depth = levels[world]
        rule = model.broken(world)
        following = [] if rule else list(model.steps(world))
        if not rule and all(what.endswith(MISHAPS) for what, _ in following) and model.unfinished(world):
            rule = "end"
        if rule:
            return Result(len(came), depth, Broken(rule, _way(came, world)))
        for what, to in following:
            if to not in came:
                came[to] = (world, what)
                levels[to] = depth + 1
                queue.append(to)
    return Result(len(came), depth, None)


def _way(came: dict[World, tuple[World, str] | None], world: World) -> list[str]:
    way = []
    while (before := came[world]) is not None:
        world, what = before
        way.append(what)
    return way[::-1]
