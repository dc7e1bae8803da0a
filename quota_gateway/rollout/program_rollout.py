"""Rolls out another version of the program: a successor takes over from its predecessor at each target.

  before        one process, the predecessor, at the address ``before``
  side by side  the successor, at the address ``after``, has taken over; the predecessor stays alive until the
                stage is confirmed, and takes back by itself if the successor dies or hangs
  after         one process, the successor

The rollback, from ``side by side`` and from ``after``, is the same step in the other direction: a process of
the version before, called predecessor as well, is started at the address ``before`` and takes over the
present state. A predecessor that has handed over is ended first, as it knows only the state at that time.
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
# Part of a target's timeout that a live successor may take until it serves. Below 1, as a successor that does
# not serve should be rolled back, and at the end of the timeout the rollout would halt instead.
SERVING_TIMEOUT_RATIO = 0.7


class ProgramRollout(ChangeStrategy):
    """Another version of the program for each target.

    Stores no state of the processes: every step asks both admin addresses which process serves, and does what
    is missing.
    """

    def __init__(self, plan: Plan, clients: AdminClients, state: RolloutState) -> None:
        super().__init__(plan, clients, state)
        assert plan.program
        self.change: ProgramChange = plan.program
        self.platform = PlatformCommands(plan, self.change, clients.token)
        self.versions = VersionCheck(plan)
        self.pairs = ProcessPairReader(clients)
        # By target, the event loop's time when the wait for one of its processes began. Shared by `apply`,
        # which waits for the successor to serve, and by the rollback, which waits for it to hand over and
        # restarts the wait when it starts a predecessor. Not stored: another controller counts from its first
        # check.
        self.waiting_since_s: dict[str, float] = {}
        if state.started:
            for name, address in state.started.after.items():
                is_changed = name in state.changed_pids
                clients.use_address(name, address if is_changed else state.started.before[name])

    # ---- Checks

    async def check(self) -> CheckedTargets:
        """Check the versions, and that each target is a single process of the version before."""
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
        """Check that one process of the version before serves, and that the version after accepts its file.

        Returns the admin address of the process.
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
        """Raises ChangeRejectedError if the target's process is known to be of another version."""
        folder = (await self.clients.figures(name)).program
        if folder and Path(folder).resolve() != self.plan.path(version.folder).resolve():
            raise ChangeRejectedError(f"{name} is run from {folder}, want {version.folder}")

    def is_outdated(self) -> bool:
        """Always false: versions are identified by their folders, which are part of the plan."""
        return False

    # ---- The change

    async def apply(self, target: str) -> int:
        """Start the successor, or check whether it has taken over; see the base class."""
        address = self.started.after[target]
        pair = await self._pair(target)
        if pair.successor is ProcessState.SILENT:
            if pair.predecessor is not ProcessState.SERVING:
                raise NotYetError(
                    f"{target}: its process: {pair.predecessor.value}; no process answers at {address}"
                )
            await self._start_successor(target, address)
            raise NotYetError(f"{target}: its next process was started at {address}")
        if pair.successor is not ProcessState.SERVING:
            self._require_serving_in_time(target)
            raise NotYetError(f"{target}: its next process: {pair.successor.value}")
        if pair.predecessor is ProcessState.SERVING:
            raise ChangeRejectedError(
                f"{target}: its next process serves beside the one before and has not taken over from it"
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

    def _require_serving_in_time(self, target: str) -> None:
        """Raises ChangeRejectedError if the process waited for has not served for too long."""
        now_s = asyncio.get_running_loop().time()
        waiting_s = now_s - self.waiting_since_s.setdefault(target, now_s)
        if waiting_s > SERVING_TIMEOUT_RATIO * self.plan.target_timeout_s:
            raise ChangeRejectedError(f"{target}: its next process answers, but does not serve in time")

    async def renew_trial(self, targets: list[str]) -> None:
        """Nothing to do: predecessor and successor stay alive without a time limit."""

    async def failure_of(self, target: str) -> str:
        """A text that says that the successor has ended, if the predecessor serves again; else empty."""
        return self._failure_in(target, await self._pair(target))

    def _failure_in(self, target: str, pair: ProcessPair) -> str:
        if pair.successor is ProcessState.SILENT and pair.predecessor is ProcessState.SERVING:
            return f"{target}: its next process has ended, the one before it serves again"
        return ""

    async def confirm(self, target: str) -> bool:
        """End the predecessor; see the base class."""
        pair = await self._pair(target)
        failure = self._failure_in(target, pair)
        if failure:
            raise ChangeRejectedError(failure)
        if pair.successor is not ProcessState.SERVING:
            raise NotYetError(f"{target}: its next process: {pair.successor.value}")
        await self._retire_predecessor(target)
        return True

    async def _retire_predecessor(self, target: str) -> None:
        await self.pairs.retire_predecessor(target, self.started.before[target], self.started.after[target])

    # ---- The rollback

    async def roll_back(self, target: str) -> None:
        """Make a predecessor serve, and end the successor; see the base class."""
        address = self.started.before[target]
        pair = await self._pair(target)
        if pair.predecessor is ProcessState.SERVING:  # never handed over, took back, or took over again
            await self._stop_successor(target)
            self.clients.use_address(target, address)
            return
        if pair.predecessor is ProcessState.HANDED_OVER:
            await self._retire_predecessor(target)
        if pair.predecessor is ProcessState.SILENT:
            result = await self.platform.start(self.targets[target], self.change.before, address)
            self.waiting_since_s[target] = asyncio.get_running_loop().time()
            reason = "a process of the version before was started" if result.succeeded else result.message
            raise NotYetError(f"{target}: {reason}")
        if pair.predecessor is ProcessState.NOT_SERVING and pair.successor is not ProcessState.HANDED_OVER:
            await self._stop_overdue_successor(target)
        raise NotYetError(
            f"{target}: version before: {pair.predecessor.value}; version after: {pair.successor.value}"
        )

    async def _stop_overdue_successor(self, target: str) -> None:
        """End a successor that hangs: that frees its addresses for the predecessor."""
        try:
            self._require_serving_in_time(target)
        except ChangeRejectedError:
            await self._stop_successor(target)

    async def _stop_successor(self, target: str) -> None:
        address = self.started.after[target]
        result = await self.platform.stop(self.targets[target], self.change.after, address)
        if not result.succeeded:
            raise NotYetError(f"{target}: its process at {address} can't be ended: {result.message}")
