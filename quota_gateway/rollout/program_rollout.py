"""Rolls out another version of the program: a successor takes over, and its predecessor lives on for a while.

  before        one process, the predecessor, at the address ``before``
  side by side  the successor, at the address ``after``, has taken over; the predecessor lives until the stage
                is confirmed, and takes back by itself if the successor dies or hangs
  after         one process, the successor

The rollback, from ``side by side`` and from ``after``, is the same step in the other direction: a process of
the version before, called predecessor as well, is started at the address ``before`` and takes over the
present state. The predecessor that has handed over is ended first, as it knows only the state of that time.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from quota_gateway.rollout.admin_clients import AdminClients
from quota_gateway.rollout.answers import STARTED
from quota_gateway.rollout.change_strategy import ChangeRejectedError, ChangeStrategy, CheckedTargets
from quota_gateway.rollout.plan import Plan, PlanError, ProgramChange, ProgramVersion
from quota_gateway.rollout.platform_commands import PlatformCommands
from quota_gateway.rollout.process_pair import ProcessPair, ProcessPairReader, ProcessState
from quota_gateway.rollout.retry import NotYetError
from quota_gateway.rollout.rollout_state import RolloutState
from quota_gateway.rollout.version_check import VersionCheck

MAX_CONCURRENT_CHECKS = 8  # of targets: each runs the new version once
# Of a target's time, for a successor that is there and does not serve: the change is rolled back before the
# time is up, after which the rollout would halt.
SERVING_PATIENCE_RATIO = 0.7


class ProgramRollout(ChangeStrategy):
    """Another version of the program for each target.

    Keeps no second truth: every step asks both admin addresses which process serves, and does what is
    missing.
    """

    def __init__(self, plan: Plan, clients: AdminClients, state: RolloutState) -> None:
        super().__init__(plan, clients, state)
        assert plan.program
        self.change: ProgramChange = plan.program
        self.platform = PlatformCommands(plan, self.change, clients.token)
        self.versions = VersionCheck(plan)
        self.pairs = ProcessPairReader(clients)
        # By target, since when a process of it is waited for, by the event loop's clock. Shared by apply,
        # which waits for the successor to serve, and by the rollback, which waits for it to hand over and
        # begins anew when it starts a predecessor. Not stored: another controller counts from its first look.
        self.waiting_since_s: dict[str, float] = {}
        if state.started:
            for name, address in state.started.after.items():
                is_changed = name in state.changed_pids
                clients.use_address(name, address if is_changed else state.started.before[name])

    # ---- Checks

    async def check(self) -> CheckedTargets:
        """Check the versions, then that each target is one process of the version before."""
        await self.versions.require_compatible(self.change.before, self.change.after)
        concurrent_checks = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)

        async def check_target(name: str) -> str:
            async with concurrent_checks:
                return await self._check_target(name)

        serving = await asyncio.gather(*map(check_target, self.targets))
        before = dict(zip(self.targets, serving, strict=True))
        after = {
            name: target.next_admin_address if before[name] == target.admin_address else target.admin_address
            for name, target in self.targets.items()
        }
        return CheckedTargets(before, after)

    async def _check_target(self, name: str) -> str:
        """Check that one process of the version before serves, and that the version after takes its file.

        Returns its address.
        """
        target = self.targets[name]
        address = await self.pairs.only_serving_address(target)
        self.clients.use_address(name, address)
        await self.require_file_in_force(name)
        try:
            await self._require_version(name, self.change.before)
        except ChangeRejectedError as error:
            raise PlanError(str(error)) from None
        await self.versions.require_accepted(name, self.change.after, self.config_path(target))
        return address

    async def _require_version(self, name: str, version: ProgramVersion) -> None:
        """Raises ChangeRejectedError where the process that is asked is known to be of another version."""
        folder = (await self.clients.figures(name)).program
        if folder and Path(folder).resolve() != self.plan.path(version.folder).resolve():
            raise ChangeRejectedError(f"{name} is run from {folder}, not from {version.folder}")

    def is_outdated(self) -> bool:
        """Never: versions are told by their folders, which stand in the plan."""
        return False

    # ---- The change

    async def apply(self, target: str) -> int:
        """Start the successor, or look whether it has taken over; see the base."""
        address = self.started.after[target]
        pair = await self._pair(target)
        if pair.successor is ProcessState.SILENT:
            if pair.predecessor is not ProcessState.SERVING:
                raise NotYetError(f"{target}: {pair.predecessor.value}, and nobody answers at {address}")
            await self._start_successor(target, address)
            raise NotYetError(f"{target}: its next process starts")
        if pair.successor is not ProcessState.SERVING:
            self._require_patience(target)
            raise NotYetError(f"{target}: its next process {pair.successor.value}")
        if pair.predecessor is ProcessState.SERVING:
            raise ChangeRejectedError(
                f"{target}: its next process serves beside the one before, it took nothing over"
            )
        self.clients.use_address(target, address)
        await self._require_version(target, self.change.after)
        return (await self.clients.figures(target)).pid

    async def _pair(self, target: str) -> ProcessPair:
        return await self.pairs.read(target, self.started.before[target], self.started.after[target])

    async def _start_successor(self, target: str, address: str) -> None:
        result = await self.platform.start(self.targets[target], self.change.after, address)
        if not result.succeeded:
            raise ChangeRejectedError(f"{target}: its next process does not start: {result.message}")
        # "started" means that no process had the address: the successor that was there before has died.
        if result.message == STARTED and target in self.waiting_since_s:
            raise ChangeRejectedError(f"{target}: its next process has ended")
        self.waiting_since_s.setdefault(target, asyncio.get_running_loop().time())

    def _require_patience(self, target: str) -> None:
        """Raises ChangeRejectedError where the successor has not served for too long."""
        now_s = asyncio.get_running_loop().time()
        waiting_s = now_s - self.waiting_since_s.setdefault(target, now_s)
        if waiting_s > SERVING_PATIENCE_RATIO * self.plan.target_timeout_s:
            raise ChangeRejectedError(f"{target}: its next process is there, and does not serve")

    async def renew_trial(self, targets: list[str]) -> None:
        """Nothing to do: predecessor and successor live on by themselves."""

    async def failure_of(self, target: str) -> str:
        """Whether the successor has ended, as the predecessor serves again."""
        return self._failure_in(target, await self._pair(target))

    def _failure_in(self, target: str, pair: ProcessPair) -> str:
        if pair.successor is ProcessState.SILENT and pair.predecessor is ProcessState.SERVING:
            return f"{target}: its next process has ended, the one before it serves again"
        return ""

    async def confirm(self, target: str) -> bool:
        """End the predecessor; see the base."""
        pair = await self._pair(target)
        failure = self._failure_in(target, pair)
        if failure:
            raise ChangeRejectedError(failure)
        if pair.successor is not ProcessState.SERVING:
            raise NotYetError(f"{target}: its next process {pair.successor.value}")
        await self._retire_predecessor(target)
        return True

    async def _retire_predecessor(self, target: str) -> None:
        await self.pairs.retire_predecessor(target, self.started.before[target], self.started.after[target])

    # ---- The rollback

    async def roll_back(self, target: str) -> None:
        """Make a predecessor serve, and end the successor; see the base."""
        address = self.started.before[target]
        pair = await self._pair(target)
        if pair.predecessor is ProcessState.SERVING:  # never handed over, took back, or has taken over again
            await self._stop_successor(target)
            self.clients.use_address(target, address)
            return
        if pair.predecessor is ProcessState.HANDED_OVER:
            await self._retire_predecessor(target)
        if pair.predecessor is ProcessState.SILENT:
            result = await self.platform.start(self.targets[target], self.change.before, address)
            self.waiting_since_s[target] = asyncio.get_running_loop().time()
            reason = "the version before starts" if result.succeeded else result.message
            raise NotYetError(f"{target}: {reason}")
        if pair.predecessor is ProcessState.NOT_SERVING and pair.successor is not ProcessState.HANDED_OVER:
            await self._stop_successor_that_hangs(target)
        raise NotYetError(f"{target}: {pair.predecessor.value} as before, {pair.successor.value} as after")

    async def _stop_successor_that_hangs(self, target: str) -> None:
        """After some time end the successor: at least it frees its addresses for the predecessor."""
        try:
            self._require_patience(target)
        except ChangeRejectedError:
            await self._stop_successor(target)

    async def _stop_successor(self, target: str) -> None:
        address = self.started.after[target]
        result = await self.platform.stop(self.targets[target], self.change.after, address)
        if not result.succeeded:
            raise NotYetError(f"{target}: its process at {address} can't be ended: {result.message}")
