"""Reads the states of a target's one or two processes during a program rollout, and ends the predecessor.

Both are done by calls to the processes' admin endpoints.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from quota_gateway.rollout import answers
from quota_gateway.rollout.admin_clients import AdminAnswer, AdminClients, UnreachableError
from quota_gateway.rollout.plan import PlanError, Target
from quota_gateway.rollout.retry import NotYetError


class ProcessState(Enum):
    """State of a process as its admin endpoint reports it; the values are used in error texts."""

    SERVING = "serves"
    HANDED_OVER = "has handed over"  # alive; takes over again if the other process dies or hangs
    NOT_SERVING = "does not serve"  # it is starting, or hangs while it starts
    SILENT = "silent"  # dead or unreachable; the state of the other process may tell which


@dataclass(frozen=True, slots=True)
class ProcessPair:
    """States of the processes at a target's two addresses, named by version.

    After a rollback has begun the predecessor may have taken over from the successor.

    Attributes:
        predecessor: state of the process of the old version, also if a rollback has started it.
        successor: state of the process of the new version.
    """

    predecessor: ProcessState
    successor: ProcessState


class ProcessPairReader:
    """Reads the states of both processes of a target."""

    def __init__(self, clients: AdminClients) -> None:
        self.clients = clients

    async def state(self, target: str, address: str) -> ProcessState:
        """Read the state of the process at an address. Raises FencedError."""
        try:
            answer = await self.clients.health(target, address)
        except UnreachableError:
            return ProcessState.SILENT
        if answer.accepted:
            return ProcessState.SERVING
        return ProcessState.HANDED_OVER if answers.HANDED_OVER in answer.text else ProcessState.NOT_SERVING

    async def read(self, target: str, predecessor_address: str, successor_address: str) -> ProcessPair:
        """Read the states of both processes. Raises FencedError."""
        predecessor, successor = await asyncio.gather(
            self.state(target, predecessor_address), self.state(target, successor_address)
        )
        return ProcessPair(predecessor, successor)

    async def only_serving_address(self, target: Target) -> str:
        """The address whose process serves.

        Raises:
            PlanError: not exactly one process serves, or there is a process at the other address, too.
        """
        addresses = (target.admin_address, target.next_admin_address)
        states = {address: await self.state(target.name, address) for address in addresses}
        serving = [address for address, state in states.items() if state is ProcessState.SERVING]
        others = [state for state in states.values() if state is not ProcessState.SERVING]
        if len(serving) != 1 or others != [ProcessState.SILENT]:
            found = ", ".join(f"{address} {state.value}" for address, state in states.items())
            raise PlanError(f"{target.name}: needs exactly one process, which serves, but found: {found}")
        return serving[0]

    async def retire_predecessor(self, target: str, predecessor_address: str, successor_address: str) -> None:
        """End the predecessor after it has handed over, if there is one.

        Both processes are asked, as either may be of a version that does not know the command RETIRE.

        Raises:
            NotYetError: the predecessor has not ended yet.
        """
        successor_answer = await self._retire(target, successor_address)
        predecessor_answer = await self._retire(target, predecessor_address)
        # The successor says that it has no predecessor; or its version can't say so, and the predecessor does
        # not answer.
        has_no_predecessor = answers.NO_PREDECESSOR in successor_answer or (
            not predecessor_answer and answers.UNKNOWN_COMMAND in successor_answer
        )
        if not has_no_predecessor:
            reason = successor_answer or predecessor_answer or "no answer"
            raise NotYetError(f"{target}: the predecessor has not ended: {reason}")

    async def _retire(self, target: str, address: str) -> str:
        """Ask the process at an address to end the predecessor; its reason for not doing so.

        The reason is empty if the process does not answer.

        Raises:
            NotYetError: the process accepted the command; the predecessor takes a while to end.
        """
        answer = await self._retire_answer(target, address)
        if answer is None:
            return ""
        if answer.accepted:
            raise NotYetError(f"{target}: the predecessor is ending")
        return answer.text

    async def _retire_answer(self, target: str, address: str) -> AdminAnswer | None:
        try:
            return await self.clients.retire(target, address)
        except UnreachableError:
            return None
