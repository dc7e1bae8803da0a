"""Carries out each step of a scenario at its time, once its condition holds, and undoes it later."""

from __future__ import annotations

import asyncio
import signal

from quota_gateway.fault_bench import link_faults, process_faults, records, server_faults
from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.rollouts import Rollouts
from quota_gateway.fault_bench.scenario import CONDITION, CONTROLLER, LINK_ACTIONS, SERVER_ACTIONS, Step
from quota_gateway.fault_bench.undo import Undo, undo_nothing

POLL_INTERVAL_S = 0.005  # between two checks of a step's condition


class Timeline:
    """Runs the steps of a bench's scenario.

    ``missed`` describes each step that was not carried out and each rollout that has not ended, once `finish`
    has returned.
    """

    def __init__(self, bench: FaultBench, next_program: Program | None = None) -> None:
        self.bench = bench
        self.scenario = bench.scenario
        self.tasks: list[asyncio.Task[None]] = []
        self.next_program = next_program or bench.program  # the version that program rollouts install
        self.rollouts = Rollouts(bench, bench.folder / "rollouts")
        self.rollout_tasks: dict[str, asyncio.Task[None]] = {}  # by rollout
        self.pending_steps = set(range(len(self.scenario.steps)))  # numbers of steps yet to be carried out
        self.missed: list[str] = []

    def start(self) -> None:
        """Start the steps' clocks, right before the load starts."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._run(n, step)) for n, step in enumerate(self.scenario.steps)]

    async def finish(self) -> None:
        """End the timeline after the last request: wait for the steps that were begun, and for their undoing.

        Steps that are still pending are cancelled and count as missed. Raises the exception of a failed step.
        """
        for number in self.pending_steps:
            self.tasks[number].cancel()
        self.missed = [
            f"step {number}, {self.scenario.steps[number].do}, was not carried out, it waited for: "
            f"{self.scenario.steps[number].when or 'its time, which came after the end of the load'}"
            for number in sorted(self.pending_steps)
        ]
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for name in self.rollout_tasks:
            state = self.rollouts.state(name)
            if not state.outcome:
                self.missed.append(
                    f"rollout {name} has not ended: {state.halt_reason or self.rollouts.last_line()}"
                )
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def close(self) -> None:
        """Cancel all steps and kill the rollouts' controllers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.rollouts.close()
        await asyncio.gather(*self.rollout_tasks.values(), return_exceptions=True)

    async def _run(self, number: int, step: Step) -> None:
        await asyncio.sleep(step.at_s)
        while step.when and not self.condition_holds(step.when):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.pending_steps.discard(number)
        targets = self.scenario.targets(step) or list(step.on)
        if step.do == "partition":
            targets = [link.name for link in self.links_between_groups(step.groups)]
        self._record(number, step, targets)
        undo = await self.carry_out(step, targets, number)
        if step.for_s:
            await asyncio.sleep(step.for_s)
            await undo()
            self._record(number, step, targets, undone=True)

    def _record(
        self, number: int, step: Step, targets: list[str], undone: bool = False, answer: str = ""
    ) -> None:
        self.bench.history.add(
            records.StepCarriedOut(self.bench.clock.now, number, step.do, targets, undone, answer)
        )

    def condition_holds(self, condition: str) -> bool:
        """Whether a condition such as "asked >= 400" or "open g1 >= 5" is true now."""
        match = CONDITION.fullmatch(condition)
        assert match
        figure = match[1]
        gateway = match[2]
        minimum = int(match[3])
        load = self.bench.load
        open_requests = load.open[gateway] if gateway else load.open.total()
        figures = {
            "open": open_requests,
            "ready": sum(self.bench.load_balancer.is_up(name) for name in self.bench.managed_gateways),
            "asked": load.requests_total,
            "answered": load.requests_total - load.open.total(),
        }
        return figures[figure] >= minimum

    def links_between_groups(self, groups: tuple[tuple[str, ...], ...]) -> list[Link]:
        """The links between parties of different groups; a party in no group keeps all its links."""
        group_of = {name: number for number, names in enumerate(groups) for name in names}
        group_of |= {f"doors-{index}": group_of["doors"] for index in (0, 1) if "doors" in group_of}
        return [
            link
            for link in self.bench.links.values()
            if len({group_of[end] for end in link.name.split(">") if end in group_of}) == 2
        ]

    # ---- Actions

    async def carry_out(self, step: Step, targets: list[str], number: int = 0) -> Undo:
        """Carry out a step on its targets; returns the function that undoes it."""
        bench = self.bench
        if step.do == "partition" or step.do in LINK_ACTIONS:
            return await link_faults.carry_out(step, [bench.links[name] for name in targets])
        if step.do in SERVER_ACTIONS:
            return server_faults.carry_out(step, [bench.servers[name] for name in targets], bench)
        if step.do in ("no-discovery", "skew"):
            return server_faults.disturb_discovery(step, bench.discovery)
        if step.do == "rollout":
            for name in targets:
                self._run_rollout(name)
            return undo_nothing
        if targets == [CONTROLLER]:
            return self._signal_controllers(step)
        if step.do == "call":
            return await self._call_admin(step, targets, number)
        return await self._disturb_processes(step, targets)

    async def _call_admin(self, step: Step, gateways: list[str], number: int) -> Undo:
        for name in gateways:
            answer = await self.bench.call_admin(name, step.line)
            self._record(number, step, [name], answer=answer or "nothing")
        return undo_nothing

    async def _disturb_processes(self, step: Step, gateways: list[str]) -> Undo:
        undos = [await process_faults.carry_out(step, self.bench.managed_gateways[name]) for name in gateways]

        async def undo_all() -> None:
            for undo in undos:
                await undo()

        return undo_all

    # ---- Rollouts

    def _run_rollout(self, name: str) -> None:
        """Start a rollout, or continue it with a new controller after the previous one was killed."""
        spec = next(rollout for rollout in self.scenario.rollouts if rollout.name == name)
        if name not in self.rollouts.plans:
            if spec.settings:
                self.rollouts.write_settings_plan(name, spec.settings, spec.plan)
            else:
                self.rollouts.write_program_plan(name, self.next_program, self.bench.program, spec.plan)
        task = asyncio.get_running_loop().create_task(self.rollouts.run(name))
        self.rollout_tasks[name] = task

    def _signal_controllers(self, step: Step) -> Undo:
        running = [name for name, task in self.rollout_tasks.items() if not task.done()]
        self.rollouts.signal_controllers(signal.SIGKILL if step.do == "kill" else signal.SIGSTOP)

        async def resume_controllers() -> None:
            if step.do == "stop":
                self.rollouts.signal_controllers(signal.SIGCONT)
                return
            for name in running:
                await self.rollout_tasks[name]
                self._run_rollout(name)

        return resume_controllers
