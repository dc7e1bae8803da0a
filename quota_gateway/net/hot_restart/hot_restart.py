"""Hot restart as the rest of the process sees it: both ends of it, and what operators wish."""

from __future__ import annotations

import logging
import os
import signal
import socket
from pathlib import Path

from quota_gateway.net.hot_restart.address import SocketFolder
from quota_gateway.net.hot_restart.identity import GatewayIdentity
from quota_gateway.net.hot_restart.operator_wishes import OperatorWishes, OperatorWishesFile, WishesInForce
from quota_gateway.net.hot_restart.predecessor import Predecessor
from quota_gateway.net.hot_restart.session import PeerSession
from quota_gateway.net.hot_restart.successor import Successor
from quota_gateway.net.hot_restart.takeover_listener import SOCKET_NAME
from quota_gateway.net.hot_restart.wishes_exchange import WishesExchange
from quota_gateway.net.process_parts import ProcessParts

log = logging.getLogger(__name__)

NOTHING_TO_RETIRE = "no process beside this one has been followed"  # an answer at the admin endpoint


class HotRestart:
    """A process is the successor of the one before it first, and later the predecessor of the next one.

    It may become a predecessor several times: if the next process dies, it takes back what it handed over
    and offers itself again. Without a folder both ends are off: a plain start, and no successor.
    """

    def __init__(self, folder: str | None, identity: GatewayIdentity, parts: ProcessParts) -> None:
        self._folder = SocketFolder(Path(folder)) if folder else None
        wishes_file = OperatorWishesFile(self._folder.path, identity) if self._folder else None
        self._wishes = WishesInForce(parts.driver, parts.discovery)
        self._exchange = WishesExchange(self._wishes, wishes_file)
        self.successor = Successor(identity, parts, self._exchange)
        self.predecessor = Predecessor(self._folder, identity, parts, self._exchange, self._may_accept)

    # ---- The process's life

    async def take_over(self) -> bool:
        """Take over from a process that serves; false for a plain start, whatever the reason."""
        if self._folder is None:
            return False
        try:
            address = self._folder.address(SOCKET_NAME)
        except OSError as error:
            log.error("nothing taken over: %r", error)
            return False
        return await self.successor.take_over(address)

    def take_listener(self) -> socket.socket | None:
        """The clients' listener as the predecessor passed it on; the first caller owns it."""
        return self.successor.take_listener()

    def offer(self) -> None:
        """Listen for the next process; called once this one serves."""
        self.predecessor.offer()

    @property
    def handed_over(self) -> bool:
        """Whether the next process serves in place of this one."""
        return self.predecessor.handed_over

    def is_handover_complete(self) -> bool:
        """Whether this process has handed over, and all messages have gone out."""
        return self.predecessor.is_handover_complete()

    def close(self) -> None:
        """Release all, as this process ends."""
        self.predecessor.close()
        self.successor.close()
        if self._folder:
            self._folder.close()

    def _may_accept(self) -> bool:
        """One peer process at a time: none may connect while the one before this has not ended."""
        return self.successor.session is None

    # ---- Operators

    def retire(self) -> str:
        """End the predecessor of the two processes as SIGTERM does; an empty string, or why none is ended.

        Called at either process, as the other may be of a version that does not know the call. The process
        that serves is never ended: a predecessor that has taken back meanwhile is none any more.
        """
        if self.handed_over:
            os.kill(os.getpid(), signal.SIGTERM)
            return ""
        return "" if self.successor.end_predecessor() else NOTHING_TO_RETIRE

    @property
    def highest_token(self) -> int:
        """The highest token that a caller at the admin endpoint has shown."""
        return self._wishes.highest_token

    def accept_token(self, token: int) -> bool:
        """Note a caller's token, and whether it may act: no caller with a higher one is known."""
        return self._wishes.accept_token(token)

    def operator_wishes(self) -> OperatorWishes:
        """What operators wish, as it is in force here."""
        return self._wishes.current()

    async def share_wishes(self) -> None:
        """Write the wishes in force to disk, and wait until the peer process, if there is one, has them too.

        A failed write, and a peer that does not answer in time, are logged; the wishes hold here anyway.
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
