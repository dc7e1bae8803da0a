"""The one or two processes of a target while a program is rolled out, by their admin endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from quota_gateway.rollout.admin_clients import AdminAnswer, AdminClients, UnreachableError
from quota_gateway.rollout.plan import PlanError, Target
from quota_gateway.rollout.retry import NotYetError

FOLLOWED_ANSWER = "has taken over"  # within a rejected HEALTH
ALONE_ANSWER = "no process beside"  # within a rejected RETIRE
UNKNOWN_COMMAND_ANSWER = "no such call"


class ProcessState(Enum):
    """What the admin endpoint at an address says about its process; the values stand in reasons."""

    SERVING = "serves"
    FOLLOWED = "followed by another"  # alive, and kept
    NOT_SERVING = "does not serve"  # it starts, or hangs while it does
    SILENT = "silent"  # dead or unreachable: the other address may tell


@dataclass(frozen=True, slots=True)
class ProcessPair:
    """The processes at a target's two addresses: of the version before and of the one after."""

    before: ProcessState
    after: ProcessState


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
        return ProcessState.FOLLOWED if FOLLOWED_ANSWER in answer.text else ProcessState.NOT_SERVING

    async def read(self, target: str, before_address: str, after_address: str) -> ProcessPair:
        """State of both processes."""
        before, after = await asyncio.gather(
            self.state(target, before_address), self.state(target, after_address)
        )
        return ProcessPair(before, after)

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

    async def retire_followed(self, target: str, before_address: str, after_address: str) -> None:
        """End the process that was followed by another, if there is one.

        Both are asked, as either may be of a version that does not know the command.

        Raises:
            NotYetError: until it has ended.
        """
        after = await self._retire(target, after_address)
        before = await self._retire(target, before_address)
        is_alone = ALONE_ANSWER in after or (not before and UNKNOWN_COMMAND_ANSWER in after)
        if not is_alone:
            reason = after or before or "no answer"
            raise NotYetError(f"{target}: what was followed can't be ended: {reason}")

    async def _retire(self, target: str, address: str) -> str:
        """Why the process at an address ends none; empty where it does not answer.

        Raises:
            NotYetError: it ends the one that was followed, which takes a while.
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
