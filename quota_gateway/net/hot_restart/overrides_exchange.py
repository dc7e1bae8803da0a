"""Exchange of operators' overrides between the two processes of a gateway, whichever receives the call."""

from __future__ import annotations

import asyncio
import logging

from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.messages import OverridesApplied, OverridesChanged
from quota_gateway.net.hot_restart.operator_overrides import (
    EffectiveOverrides,
    OperatorOverrides,
    OperatorOverridesFile,
)
from quota_gateway.net.hot_restart.session import PeerSession

log = logging.getLogger(__name__)


class OverridesExchange:
    """Sends changed overrides to the peer process, and applies those that the peer sends."""

    def __init__(self, effective: EffectiveOverrides, file: OperatorOverridesFile | None) -> None:
        self.effective = effective
        self._file = file
        self._last_number = 0
        self._applied = asyncio.Event()  # the peer process has answered the message with the last number

    def save(self) -> None:
        """Write the overrides in effect to the file; does nothing without a folder for it."""
        if self._file:
            self._file.write(self.effective.current())

    async def announce(self, session: PeerSession) -> None:
        """Send the overrides to the peer process and wait until it has applied them; a timeout is logged."""
        self._last_number += 1
        self._applied.clear()
        session.send(OverridesChanged(self._last_number, self.effective.current()))
        try:
            async with asyncio.timeout(limits.OVERRIDES_TIMEOUT_S):
                await self._applied.wait()
        except TimeoutError:
            log.error("the peer process did not confirm operators' overrides in time")

    def apply_changed(self, session: PeerSession, message: OverridesChanged) -> None:
        """Apply the overrides that the peer process has sent, save them and confirm."""
        self.effective.apply(message.overrides)
        self.save()
        session.send(OverridesApplied(message.number))

    def note_applied(self, message: OverridesApplied) -> None:
        """Handle the peer's answer; one to an earlier change does not confirm the last one."""
        if message.number == self._last_number:
            self._applied.set()

    def read_file(self) -> OperatorOverrides | None:
        """The overrides that the previous process saved, or None."""
        return self._file.read() if self._file else None

    def remove_file(self) -> None:
        """Remove the file of a process that has died."""
        if self._file:
            self._file.remove()
