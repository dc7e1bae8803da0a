"""The timeline: carries out each step at its time and once its condition holds, and undoes it."""

from __future__ import annotations

import asyncio
import resource
import shutil
import signal
from collections.abc import Awaitable, Callable

from quota_gateway import api
from quota_gateway.fault_bench import history as seen
from quota_gateway.fault_bench.bench import Rig
from quota_gateway.fault_bench.processes import Member, Neighbour, Program
from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.rollouts import Rollouts
from quota_gateway.fault_bench.scenario import CONDITION, CONTROLLER, OF_LINK, OF_SERVER, Step
from quota_gateway.fault_bench.stand_ins import StandIn

LOOK_S = 0.005
LIMITS = {
    "descriptors": resource.RLIMIT_NOFILE,
    "memory": resource.RLIMIT_AS,
    "full": resource.RLIMIT_FSIZE,
}  # what is written to a file fails, as on a full disk
SPINNING = 3  # processes that take a gateway's core away
Undo = Callable[[], Awaitable[None]]


async def nothing() -> None:
    """There is nothing to undo."""


class Timeline:
    """Runs the steps of a scenario on a rig."""

    def __init__(self, rig: Rig, following: Program | None = None) -> None:
        self.rig = rig
        self.scenario = rig.scenario
        self.tasks: list[asyncio.Task[None]] = []
        self.next = following or rig.program  # the version that rollouts of the program are to
        self.rollouts = Rollouts(rig, rig.folder / "rollouts")
        self.controllers: dict[str, asyncio.Task[None]] = {}  # by rollout
        self.waiting = set(range(len(self.scenario.steps)))  # numbers of steps yet to be carried out
        self.missed: list[str] = []

    def start(self) -> None:
        """The first request is about to come."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._run(n, step)) for n, step in enumerate(self.scenario.steps)]

    async def finish(self) -> None:
        """Nothing more is asked: steps that still wait for their moment are missed, the others are undone.

        Raises what one of them raised.
        """
        for number in self.waiting:
            self.tasks[number].cancel()
        self.missed = [
            f"step {number}, {self.scenario.steps[number].do}, never came about: "
            f"{self.scenario.steps[number].when or 'too late'}"
            for number in sorted(self.waiting)
        ]
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for name in self.controllers:
            state = self.rollouts.state(name)
            if not state.outcome:
                self.missed.append(
                    f"rollout {name} has not ended: {state.halt_reason or self.rollouts.last_line()}"
                )
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def close(self) -> None:
        """End them at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.rollouts.close()
        await asyncio.gather(*self.controllers.values(), return_exceptions=True)

    async def _run(self, number: int, step: Step) -> None:
        await asyncio.sleep(step.at_s)
        while step.when and not self.holds(step.when):
            await asyncio.sleep(LOOK_S)
        self.waiting.discard(number)
        on = self.scenario.targets(step) or list(step.on)
        if step.do == "partition":
            on = [link.name for link in self.cut_by(step.groups)]
        self._note(number, step, on)
        undo = await self.carry_out(step, on, number)
        if step.for_s:
            await asyncio.sleep(step.for_s)
            await undo()
            self._note(number, step, on, undone=True)

    def _note(self, number: int, step: Step, on: list[str], undone: bool = False, said: str = "") -> None:
        self.rig.history.add(seen.Act(self.rig.clock.now, number, step.do, on, undone, said))

    def holds(self, condition: str) -> bool:
        """Whether "asked >= 400", "open g1 >= 5" or the like is true now."""
        match = CONDITION.fullmatch(condition)
        assert match
        word = match[1]
        gateway = match[2]
        least = int(match[3])
        clients = self.rig.clients
        if word == "open":
            return (clients.open[gateway] if gateway else sum(clients.open.values())) >= least
        if word == "ready":
            return sum(self.rig.front.up(name) for name in self.rig.members) >= least
        asked = clients.count["asked"]
        return (asked if word == "asked" else asked - sum(clients.open.values())) >= least

    def cut_by(self, groups: tuple[tuple[str, ...], ...]) -> list[Link]:
        """The links between parties of different groups; who is in none is cut off from nobody."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        group |= {f"doors-{place}": group["doors"] for place in (0, 1) if "doors" in group}
        return [
            link
            for link in self.rig.links.values()
            if len({group[end] for end in link.name.split(">") if end in group}) == 2
        ]

    # ---- Acts

    async def carry_out(self, step: Step, on: list[str], number: int = 0) -> Undo:
        """Do it; what it gives undoes it."""
        if step.do == "partition":
            return self._silence([self.rig.links[name] for name in on], step)
        if step.do in OF_LINK:
            return await self._link(step, [self.rig.links[name] for name in on])
        if step.do in OF_SERVER:
            return self._server(step, [self.rig.servers[name] for name in on])
        if step.do in ("no-discovery", "skew"):
            return self._discovery(step)
        if step.do == "rollout":
            for name in on:
                self._begin(name)
            return nothing
        if on == [CONTROLLER]:
            return self._controller(step)
        undone = [await self._process(step, self.rig.members[name], number) for name in on]

        async def undo() -> None:
            for one in undone:
                await one()

        return undo

    def _silence(self, links: list[Link], step: Step) -> Undo:
        for link in links:
            link.silence(step.way)

        async def heal() -> None:
            for link in links:
                link.silence(step.way, False)

        return heal

    async def _link(self, step: Step, links: list[Link]) -> Undo:
        if step.do == "silent":
            return self._silence(links, step)
        if step.do == "refuse":
            return await self._refuse(links)
        if step.do in ("reset", "lose"):
            for link in links:
                link.reset(step.do == "lose")
            return nothing
        ways = [weather for link in links for weather in link.weather(step.way)]
        for weather in ways:
            if step.do == "delay":
                weather.delay = step.amount / 1000.0
                weather.jitter = step.jitter / 1000.0
            else:
                weather.cut = int(step.amount)

        async def heal() -> None:
            for weather in ways:
                weather.delay = 0.0
                weather.jitter = 0.0
                weather.cut = None

        return heal

    async def _refuse(self, links: list[Link]) -> Undo:
        for link in links:
            await link.refuse()

        async def heal() -> None:
            for link in links:
                await link.refuse(False)

        return heal

    # ---- Rollouts

    def _begin(self, name: str) -> None:
        """Begin one, or go on with it; who carries it out may be killed and started again."""
        rolling = next(one for one in self.scenario.rollouts if one.name == name)
        if name not in self.rollouts.plans:
            if rolling.settings:
                self.rollouts.write_settings_plan(name, rolling.settings, rolling.plan)
            else:
                self.rollouts.write_program_plan(name, self.next, self.rig.program, rolling.plan)
        task = asyncio.get_running_loop().create_task(self.rollouts.run(name))
        self.controllers[name] = task

    def _controller(self, step: Step) -> Undo:
        running = [name for name, task in self.controllers.items() if not task.done()]
        self.rollouts.signal_controllers(signal.SIGKILL if step.do == "kill" else signal.SIGSTOP)

        async def again() -> None:
            if step.do == "stop":
                self.rollouts.signal_controllers(signal.SIGCONT)
                return
            for name in running:
                await self.controllers[name]
                self._begin(name)

        return again

    def _discovery(self, step: Step) -> Undo:
        discovery = self.rig.discovery
        ahead = step.amount if step.do == "skew" else 0.0
        discovery.ahead_ms += ahead
        if not ahead:
            discovery.fail(True)

        async def back() -> None:
            discovery.ahead_ms -= ahead
            if not ahead:
                discovery.fail(False)

        return back

    def _server(self, step: Step, servers: list[StandIn]) -> Undo:
        for server in servers:
            if step.do == "slow":
                server.model.slow = step.amount
            elif step.do == "failing":
                server.model.failing = True
            elif step.do == "mute":
                server.mute = True
            else:
                self.rig.mark(server, api.ServerState.DRAINING)

        async def back() -> None:
            for server in servers:
                server.model.slow = 1.0
                server.model.failing = False
                server.mute = False
                if step.do == "release":
                    server.model.restart()
                if step.do in ("release", "drain"):
                    self.rig.mark(server, api.ServerState.READY)

        return back

    async def _process(self, step: Step, member: Member, number: int) -> Undo:
        if step.do == "kill":
            return await self._kill(member)
        if step.do == "stop":
            return self._stop(member)
        if step.do == "busy":
            neighbour = Neighbour()
            await neighbour.start(member, SPINNING)
            return neighbour.close
        if step.do in LIMITS:
            which = LIMITS[step.do]
            member.limit(which, int(step.amount))

            async def free() -> None:
                member.limit(which, resource.getrlimit(which)[1])

            return free
        if step.do == "no-folder":
            shutil.rmtree(member.tmp)

            async def folder() -> None:
                member.tmp.mkdir(exist_ok=True)

            return folder
        await self._once(step, member, number)
        return nothing

    async def _once(self, step: Step, member: Member, number: int) -> None:
        """What can't be undone."""
        if step.do == "term":
            member.signal(signal.SIGTERM)
        elif step.do == "hup":
            member.signal(signal.SIGHUP)
        elif step.do == "start":
            await member.start()
        elif step.do == "upgrade":
            await member.upgrade()
        elif step.do == "call":
            said = await self.rig.call_admin(member.name, step.line)
            self._note(number, step, [member.name], said=said or "nothing")

    async def _kill(self, member: Member) -> Undo:
        member.signal(signal.SIGKILL)

        async def again() -> None:
            for process in member.processes:
                await process.child.wait()
            shutil.rmtree(member.tmp)  # private, and empty at each start
            member.tmp.mkdir()
            await member.start()

        return again

    def _stop(self, member: Member) -> Undo:
        stopped = [process for process in member.processes if process.alive]
        for process in stopped:
            process.signal(signal.SIGSTOP)

        async def go_on() -> None:
            for process in stopped:
                process.signal(signal.SIGCONT)

        return go_on
