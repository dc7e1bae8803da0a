"""The one or two processes of a target while a program is rolled out, by their admin endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from quota_gateway.rollout import answers
from quota_gateway.rollout.admin_clients import AdminAnswer, AdminClients, UnreachableError
from quota_gateway.rollout.plan import PlanError, Target
from quota_gateway.rollout.retry import NotYetError


class ProcessState(Enum):
    """What the admin endpoint at an address says about its process; the values stand in reasons."""

    SERVING = "serves"
    HANDED_OVER = "followed by another"  # alive; takes back if the other one dies or hangs
    NOT_SERVING = "does not serve"  # it starts, or hangs while it does
    SILENT = "silent"  # dead or unreachable: the other address may tell


@dataclass(frozen=True, slots=True)
class ProcessPair:
    """States of the processes at a target's two addresses, named by version.

    After a rollback has begun the predecessor may have taken over from the successor.

    Attributes:
        predecessor: of the process of the version before, also where it was started for a rollback.
        successor: of the process of the version after.
    """

    predecessor: ProcessState
    successor: ProcessState


class ProcessPairReader:
    """Asks both processes of a target."""

    def __init__(self, clients: AdminClients) -> None:
        self.clients = clients

    async def state(self, target: str, address: str) -> ProcessState:
        """State of the process at an address."""
        try:
            answer = await self.clients.health(target, address)
        except UnreachableError:
            return ProcessState.SILENT
        if answer.accepted:
            return ProcessState.SERVING
        return ProcessState.HANDED_OVER if answers.HANDED_OVER in answer.text else ProcessState.NOT_SERVING

    async def read(self, target: str, predecessor_address: str, successor_address: str) -> ProcessPair:
        """State of both processes."""
        predecessor, successor = await asyncio.gather(
            self.state(target, predecessor_address), self.state(target, successor_address)
        )
        return ProcessPair(predecessor, successor)

    async def only_serving_address(self, target: Target) -> str:
        """The address whose process serves; raises PlanError unless there is none at the other."""
        addresses = (target.admin_address, target.next_admin_address)
        states = {address: await self.state(target.name, address) for address in addresses}
        serving = [address for address, state in states.items() if state is ProcessState.SERVING]
        others = [state for state in states.values() if state is not ProcessState.SERVING]
        if len(serving) != 1 or others != [ProcessState.SILENT]:
            found = ", ".join(f"{address} {state.value}" for address, state in states.items())
            raise PlanError(f"{target.name}: want one process that serves and no other: {found}")
        return serving[0]

    async def retire_predecessor(self, target: str, predecessor_address: str, successor_address: str) -> None:
        """End the predecessor after it has handed over, if there is one.

        Both processes are asked, as either may be of a version that does not know the command.

        Raises:
            NotYetError: until it has ended.
        """
        successor_answer = await self._retire(target, successor_address)
        predecessor_answer = await self._retire(target, predecessor_address)
        # It says so itself; or it is of a version that can't say it, and the predecessor is silent.
        is_alone = answers.NO_PREDECESSOR in successor_answer or (
            not predecessor_answer and answers.UNKNOWN_COMMAND in successor_answer
        )
        if not is_alone:
            reason = successor_answer or predecessor_answer or "no answer"
            raise NotYetError(f"{target}: what was followed can't be ended: {reason}")

    async def _retire(self, target: str, address: str) -> str:
        """Why the process at an address ends none; empty where it does not answer.

        Raises:
            NotYetError: it ends the predecessor, which takes a while.
        """
        answer = await self._retire_answer(target, address)
        if answer is None:
            return ""
        if answer.accepted:
            raise NotYetError(f"{target}: the process that was followed ends")
        return answer.text

    async def _retire_answer(self, target: str, address: str) -> AdminAnswer | None:
        try:
            return await self.clients.retire(target, address)
        except UnreachableError:
            return None
