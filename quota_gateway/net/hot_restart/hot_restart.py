"""Hot restart as the rest of the process uses it: taking over, handing over and operators' overrides."""

from __future__ import annotations

import logging
import os
import signal
import socket
from pathlib import Path

from quota_gateway.net.hot_restart.address import SocketFolder
from quota_gateway.net.hot_restart.identity import GatewayIdentity
from quota_gateway.net.hot_restart.operator_overrides import (
    EffectiveOverrides,
    OperatorOverrides,
    OperatorOverridesFile,
)
from quota_gateway.net.hot_restart.overrides_exchange import OverridesExchange
from quota_gateway.net.hot_restart.predecessor import Predecessor
from quota_gateway.net.hot_restart.session import PeerSession
from quota_gateway.net.hot_restart.successor import Successor
from quota_gateway.net.hot_restart.takeover_listener import SOCKET_NAME
from quota_gateway.net.process_parts import ProcessParts

log = logging.getLogger(__name__)

# An answer at the admin endpoint; a rollout looks for its first words (quota_gateway.rollout.answers).
NOTHING_TO_RETIRE = "no process beside this one can be retired: it has no predecessor that still runs"


class HotRestart:
    """A process is first the successor of the previous process, and later the predecessor of the next one.

    It may become a predecessor several times: if the next process dies, it takes back what it handed over
    and offers a takeover again. Without a folder hot restart is off: this process starts cold and offers no
    takeover.
    """

    def __init__(self, folder: str | None, identity: GatewayIdentity, parts: ProcessParts) -> None:
        self._folder = SocketFolder(Path(folder)) if folder else None
        overrides_file = OperatorOverridesFile(self._folder.path, identity) if self._folder else None
        self._overrides = EffectiveOverrides(parts.driver, parts.discovery)
        self._exchange = OverridesExchange(self._overrides, overrides_file)
        self.successor = Successor(identity, parts, self._exchange)
        self.predecessor = Predecessor(self._folder, identity, parts, self._exchange, self._may_accept)

    # ---- Start and end of the process

    async def take_over(self) -> bool:
        """Take over from the serving process; false if this process must start cold, whatever the reason."""
        if self._folder is None:
            return False
        try:
            address = self._folder.address(SOCKET_NAME)
        except OSError as error:
            log.error("nothing taken over, starting cold: the socket's folder can't be opened: %r", error)
            return False
        return await self.successor.take_over(address)

    def take_listener(self) -> socket.socket | None:
        """The clients' listener that the predecessor sent, or None; the first caller owns it."""
        return self.successor.take_listener()

    def offer(self) -> None:
        """Offer a takeover: listen for the next process. Called once this process serves."""
        self.predecessor.offer()

    @property
    def handed_over(self) -> bool:
        """Whether the next process serves in place of this one."""
        return self.predecessor.handed_over

    def is_handover_complete(self) -> bool:
        """Whether this process has handed over and has sent all messages to its successor."""
        return self.predecessor.is_handover_complete()

    def close(self) -> None:
        """Close sockets and sessions, as this process ends."""
        self.predecessor.close()
        self.successor.close()
        if self._folder:
            self._folder.close()

    def _may_accept(self) -> bool:
        """Allow one peer process at a time: the next one may connect only after the predecessor has ended."""
        return self.successor.session is None

    # ---- Operators

    def retire(self) -> str:
        """Send SIGTERM to the predecessor of the two processes; returns why not, or an empty string.

        Can be called at either process, as the other may have a version that does not know the command. The
        serving process is never ended: a predecessor that serves again, as its successor has ended, no longer
        counts as one.
        """
        if self.handed_over:
            os.kill(os.getpid(), signal.SIGTERM)
            return ""
        return "" if self.successor.end_predecessor() else NOTHING_TO_RETIRE

    @property
    def highest_token(self) -> int:
        """The highest fencing token that a caller at the admin endpoint has sent."""
        return self._overrides.highest_token

    def accept_token(self, token: int) -> bool:
        """Record a caller's fencing token; whether the caller may act: no higher token has been seen."""
        return self._overrides.accept_token(token)

    def operator_overrides(self) -> OperatorOverrides:
        """The overrides in effect in this process."""
        return self._overrides.current()

    async def share_overrides(self) -> None:
        """Write the overrides to disk, and wait until the peer process, if there is one, has applied them.

        A failed write, and a peer that does not answer in time, are logged; the overrides hold here anyway.
        """
        self._exchange.save()
        session = self._greeted_session()
        if session:
            await self._exchange.announce(session)

    def _greeted_session(self) -> PeerSession | None:
        """The session with the peer process, once both processes have identified themselves."""
        if self.successor.greeted:
            return self.successor.session
        return self.predecessor.session if self.predecessor.greeted else None
