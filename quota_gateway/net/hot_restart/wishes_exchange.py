"""Operators' wishes between the two processes of a gateway: a call at either one reaches both."""

from __future__ import annotations

import asyncio
import logging

from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.messages import WishesApplied, WishesChanged
from quota_gateway.net.hot_restart.operator_wishes import OperatorWishes, OperatorWishesFile, WishesInForce
from quota_gateway.net.hot_restart.session import PeerSession

log = logging.getLogger(__name__)


class WishesExchange:
    """Sends changed wishes to the peer process, and applies those that it sends."""

    def __init__(self, in_force: WishesInForce, file: OperatorWishesFile | None) -> None:
        self.in_force = in_force
        self._file = file
        self._last_number = 0
        self._applied = asyncio.Event()  # the peer has answered the last number

    def save(self) -> None:
        """Write the wishes in force to the file, where there is one."""
        if self._file:
            self._file.write(self.in_force.current())

    async def announce(self, session: PeerSession) -> None:
        """Return once the peer has applied the wishes in force, or has not in time, which is logged."""
        self._last_number += 1
        self._applied.clear()
        session.send(WishesChanged(self._last_number, self.in_force.current()))
        try:
            async with asyncio.timeout(limits.WISHES_TIMEOUT_S):
                await self._applied.wait()
        except TimeoutError:
            log.error("the peer process did not confirm operators' wishes")

    def apply_changed(self, session: PeerSession, message: WishesChanged) -> None:
        """Take over the peer's wishes and answer it."""
        self.in_force.apply(message.wishes)
        self.save()
        session.send(WishesApplied(message.number))

    def note_applied(self, message: WishesApplied) -> None:
        """Take the peer's answer; one to an earlier number says nothing about the last one."""
        if message.number == self._last_number:
            self._applied.set()

    def read_file(self) -> OperatorWishes | None:
        """The wishes that the process before wrote, or None."""
        return self._file.read() if self._file else None

    def remove_file(self) -> None:
        """Remove what a process that is dead wrote."""
        if self._file:
            self._file.remove()
