"""The predecessor's side of a hot restart: the serving process hands over to the next one."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum

from quota_gateway import api, state_document
from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.address import SocketFolder
from quota_gateway.net.hot_restart.connection_transfer import ConnectionSender
from quota_gateway.net.hot_restart.identity import GatewayIdentity
from quota_gateway.net.hot_restart.link import NO_DESCRIPTOR
from quota_gateway.net.hot_restart.messages import (
    CustomerUsage,
    Hello,
    Message,
    OverridesApplied,
    OverridesChanged,
    RetainedConnectionClosed,
    TakeOver,
)
from quota_gateway.net.hot_restart.overrides_exchange import OverridesExchange
from quota_gateway.net.hot_restart.session import PeerSession
from quota_gateway.net.hot_restart.state_transfer import TransferredState, split_state, state_end
from quota_gateway.net.hot_restart.takeover_listener import TakeoverListener
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.state_machine import Transitions, transition

log = logging.getLogger(__name__)


class PredecessorState(Enum):
    """How far a process has handed over to the next one."""

    SERVING = "serving"  # this process serves; no next process is connected
    CONNECTED = "connected"  # the next process is connected, and has not sent its identity yet
    GREETED = "greeted"  # the next process has the same identity, and may ask to take over
    HANDED_OVER = "handed over"  # the successor serves; this process finishes its requests
    AWAITING_EXIT = "awaiting exit"  # the session has ended, but the successor's process still runs


TRANSITIONS: Transitions[PredecessorState] = {
    PredecessorState.SERVING: frozenset({PredecessorState.CONNECTED}),
    PredecessorState.CONNECTED: frozenset({PredecessorState.GREETED, PredecessorState.SERVING}),
    PredecessorState.GREETED: frozenset({PredecessorState.HANDED_OVER, PredecessorState.SERVING}),
    PredecessorState.HANDED_OVER: frozenset({PredecessorState.AWAITING_EXIT}),
    PredecessorState.AWAITING_EXIT: frozenset({PredecessorState.SERVING}),
}
SUCCESSOR_SERVES = frozenset({PredecessorState.HANDED_OVER, PredecessorState.AWAITING_EXIT})
GREETED = frozenset({PredecessorState.GREETED, PredecessorState.HANDED_OVER})


class Predecessor:
    """Offers a takeover to the next process and hands over to it; takes back if that process ends.

    Two processes never serve at the same time: after the handover this one serves again only when the
    successor's process has ended, however the session between them ended.
    """

    def __init__(
        self,
        folder: SocketFolder | None,
        identity: GatewayIdentity,
        parts: ProcessParts,
        exchange: OverridesExchange,
        may_accept: Callable[[], bool],
    ) -> None:
        self.state = PredecessorState.SERVING
        self.session: PeerSession | None = None
        self.connections = ConnectionSender(parts)
        self._listener = TakeoverListener(folder, self._connected) if folder else None
        self._identity = identity
        self._parts = parts
        self._exchange = exchange
        self._may_accept = may_accept
        self._loop = asyncio.get_running_loop()
        self._reclaiming: asyncio.Task[None] | None = None
        parts.driver.on_peer_usage = self._report_usage

    # ---- Offering a takeover

    def offer(self) -> None:
        """Listen for the next process. A failure is logged; the next process then starts cold."""
        if self._listener is None:
            return
        try:
            self._listener.open()
        except OSError as error:
            log.error("hot restart can't be offered, the next process will start cold: %r", error)
            return
        self._exchange.save()

    @property
    def offering(self) -> bool:
        """Whether the next process could connect."""
        return self._listener is not None and self._listener.is_open

    def _connected(self, sock: socket.socket) -> None:
        if self.state is not PredecessorState.SERVING or not self._may_accept():
            sock.close()  # the process that has connected starts cold
            return
        self.session = PeerSession(sock, self._received, self._ended)
        self._enter(PredecessorState.CONNECTED)
        timeout_s = limits.HELLO_TIMEOUT_S + limits.STATE_TIMEOUT_S
        self._loop.call_later(timeout_s, self._end_unless_handed_over, self.session)

    def _end_unless_handed_over(self, session: PeerSession) -> None:
        """End a session with a process that connects and then hangs: it would keep other processes out."""
        if session is self.session and not self.handed_over:
            session.end("the next process did not take over in time")

    # ---- Messages

    def _received(self, session: PeerSession, message: Message, _descriptors: list[int]) -> None:
        match message:
            case Hello():
                self._greet(session, message)
            case TakeOver():
                self._hand_over(session, message)
            case RetainedConnectionClosed():
                self.connections.retained.release(message.retained_id)
            case OverridesChanged():
                self._exchange.apply_changed(session, message)
            case OverridesApplied():
                self._exchange.note_applied(message)
            case _:
                raise PeerProcessError(f"a successor does not send this message: {type(message).__name__}")

    def _greet(self, session: PeerSession, message: Hello) -> None:
        if message.identity != self._identity:
            raise PeerProcessError(f"the next process is of another gateway or version: {message.identity}")
        if self.state is PredecessorState.CONNECTED:
            self._enter(PredecessorState.GREETED)
            session.send(Hello(self._identity))

    # ---- Handing over

    @property
    def greeted(self) -> bool:
        """Whether both processes have identified themselves, and the session is open."""
        return self.state in GREETED

    @property
    def handed_over(self) -> bool:
        """Whether the successor serves in place of this process."""
        return self.state in SUCCESSOR_SERVES

    def is_handover_complete(self) -> bool:
        """Whether this process has handed over, and all messages have been sent."""
        return self.handed_over and self.session is not None and self.session.all_sent()

    def _hand_over(self, session: PeerSession, request: TakeOver) -> None:
        """Hand over in one step of the event loop, so that no request is decided by both processes.

        Idle connections are sent at once. Requests in flight stay here, and what they may use is reserved in
        the state; the successor is notified as each ends. Raises PeerProcessError if called out of turn.
        """
        if self.state is not PredecessorState.GREETED:
            raise PeerProcessError(f"takeover requested out of turn, this process is: {self.state.value}")
        self._enter(PredecessorState.HANDED_OVER)
        clients = self._parts.clients
        clients.stop_accepting()
        self._parts.driver.post(api.HotRestartBegun())
        self._send_state(session, request.heartbeats)
        if not session.open:
            return
        # Retained copies get half of the unused capacity, as the successor opens new connections meanwhile.
        # A successor without heartbeats does not report the connections that it closes: none are retained.
        unused = max(0, clients.most_connections - len(clients.connections))
        self.connections.begin(session, max_retained=unused // 2 if request.heartbeats else 0)
        if request.heartbeats and session.open:
            session.heartbeat.start()

    def _send_state(self, session: PeerSession, heartbeats: bool) -> None:
        state = TransferredState(
            server_list=self._parts.discovery.registry.document(),
            decisions=state_document.save(self._parts.driver.gateway, self._parts.server_names()),
            overrides=self._exchange.effective.current(),
            remaining=self.connections.remaining(),
        )
        raw = state.to_bytes()
        for piece in split_state(raw):
            session.send(piece)
        listener = self._parts.clients.listener
        session.send(state_end(raw, heartbeats), listener.fileno() if listener else NO_DESCRIPTOR)

    def _report_usage(self, usage: api.PeerUsage) -> None:
        """Notify the successor of how a request that stayed here has changed its customer's quota use."""
        if self.handed_over and self.session:
            self.session.send(CustomerUsage.from_event(usage))

    # ---- Taking back

    def _ended(self, session: PeerSession) -> None:
        """Handle the end of the session: the next process has ended, or the link to it has failed."""
        self.session = None
        self.connections.end()
        if self.handed_over:
            self._enter(PredecessorState.AWAITING_EXIT)
            session.peer_process.when_ended(lambda: self._take_back(session))
            return
        self._enter(PredecessorState.SERVING)
        self._parts.driver.post(api.PeerExited())
        session.peer_process.close()

    def _take_back(self, session: PeerSession) -> None:
        """Serve again, as the successor's process has ended.

        What the successor charged to quotas, and a configuration that it loaded, are not known here.
        """
        session.peer_process.close()
        self._enter(PredecessorState.SERVING)
        self._parts.driver.post(api.PeerExited())
        log.error("the successor has ended: this process accepts again")
        self._reclaiming = self._loop.create_task(self.reclaim(), name="take back connections")

    async def reclaim(self) -> None:
        """Serve the retained connections that the successor has not read from, accept and offer again.

        During a shutdown only connections and requests that have already come are served: this process
        neither accepts nor offers a takeover any more.
        """
        clients = self._parts.clients
        for connection in self.connections.retained.reclaim():
            connection.sock.setblocking(False)
            await clients.adopt(connection.sock, connection.has_requested, 0.0)
        if clients.is_shutting_down:
            return
        await clients.accept()
        self.offer()

    def _enter(self, state: PredecessorState) -> None:
        self.state = transition("predecessor", TRANSITIONS, self.state, state)

    def close(self) -> None:
        """Close sockets and the session, as this process ends."""
        if self._listener:
            self._listener.close()
        self.connections.retained.close()
        if self.session:
            self.session.close("this process ends")
            self.session = None
