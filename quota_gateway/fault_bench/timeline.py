"""The timeline: carries out each step at its time and once its condition holds, and undoes it."""

from __future__ import annotations

import asyncio
import signal

from quota_gateway.fault_bench import link_faults, process_faults, records, server_faults
from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.rollouts import Rollouts
from quota_gateway.fault_bench.scenario import CONDITION, CONTROLLER, OF_LINK, OF_SERVER, Step
from quota_gateway.fault_bench.undo import Undo, undo_nothing

POLL_INTERVAL_S = 0.005  # between two looks at a step's condition


class Timeline:
    """Runs the steps of a scenario on a bench."""

    def __init__(self, bench: FaultBench, following: Program | None = None) -> None:
        self.bench = bench
        self.scenario = bench.scenario
        self.tasks: list[asyncio.Task[None]] = []
        self.next = following or bench.program  # the version that rollouts of the program are to
        self.rollouts = Rollouts(bench, bench.folder / "rollouts")
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
            await asyncio.sleep(POLL_INTERVAL_S)
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
        self.bench.history.add(
            records.StepCarriedOut(self.bench.clock.now, number, step.do, on, undone, said)
        )

    def holds(self, condition: str) -> bool:
        """Whether "asked >= 400", "open g1 >= 5" or the like is true now."""
        match = CONDITION.fullmatch(condition)
        assert match
        word = match[1]
        gateway = match[2]
        least = int(match[3])
        load = self.bench.load
        open_requests = load.open[gateway] if gateway else load.open.total()
        figures = {
            "open": open_requests,
            "ready": sum(self.bench.load_balancer.is_up(name) for name in self.bench.managed_gateways),
            "asked": load.requests_total,
            "answered": load.requests_total - load.open.total(),
        }
        return figures[word] >= least

    def cut_by(self, groups: tuple[tuple[str, ...], ...]) -> list[Link]:
        """The links between parties of different groups; who is in none is cut off from nobody."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        group |= {f"doors-{place}": group["doors"] for place in (0, 1) if "doors" in group}
        return [
            link
            for link in self.bench.links.values()
            if len({group[end] for end in link.name.split(">") if end in group}) == 2
        ]

    # ---- Acts

    async def carry_out(self, step: Step, on: list[str], number: int = 0) -> Undo:
        """Do it; what it gives undoes it."""
        bench = self.bench
        if step.do == "partition" or step.do in OF_LINK:
            return await link_faults.carry_out(step, [bench.links[name] for name in on])
        if step.do in OF_SERVER:
            return server_faults.carry_out(step, [bench.servers[name] for name in on], bench)
        if step.do in ("no-discovery", "skew"):
            return server_faults.disturb_discovery(step, bench.discovery)
        if step.do == "rollout":
            for name in on:
                self._begin(name)
            return undo_nothing
        if on == [CONTROLLER]:
            return self._controller(step)
        if step.do == "call":
            return await self._call_admin(step, on, number)
        return await self._disturb_processes(step, on)

    async def _call_admin(self, step: Step, gateways: list[str], number: int) -> Undo:
        for name in gateways:
            answer = await self.bench.call_admin(name, step.line)
            self._note(number, step, [name], said=answer or "nothing")
        return undo_nothing

    async def _disturb_processes(self, step: Step, gateways: list[str]) -> Undo:
        undos = [await process_faults.carry_out(step, self.bench.managed_gateways[name]) for name in gateways]

        async def undo_all() -> None:
            for undo in undos:
                await undo()

        return undo_all

    # ---- Rollouts

    def _begin(self, name: str) -> None:
        """Begin one, or go on with it; who carries it out may be killed and started again."""
        rolling = next(one for one in self.scenario.rollouts if one.name == name)
        if name not in self.rollouts.plans:
            if rolling.settings:
                self.rollouts.write_settings_plan(name, rolling.settings, rolling.plan)
            else:
                self.rollouts.write_program_plan(name, self.next, self.bench.program, rolling.plan)
        task = asyncio.get_running_loop().create_task(self.rollouts.run(name))
        self.controllers[name] = task

    def _controller(self, step: Step) -> Undo:
        running = [name for name, task in self.controllers.items() if not task.done()]
        self.rollouts.signal_controllers(signal.SIGKILL if step.do == "kill" else signal.SIGSTOP)

        async def start_again() -> None:
            if step.do == "stop":
                self.rollouts.signal_controllers(signal.SIGCONT)
                return
            for name in running:
                await self.controllers[name]
                self._begin(name)

        return start_again
