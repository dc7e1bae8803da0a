"""The end of a hot restart that takes over: a new process that finds one that serves."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
from enum import Enum

from quota_gateway import api, state_document
from quota_gateway.errors import PeerProcessError, RestartError
from quota_gateway.net.heartbeat import HEARTBEAT_INTERVAL_S, MAX_MISSED_HEARTBEATS
from quota_gateway.net.hot_restart import limits
from quota_gateway.net.hot_restart.connection_transfer import ConnectionReceiver
from quota_gateway.net.hot_restart.identity import GatewayIdentity
from quota_gateway.net.hot_restart.link import connect
from quota_gateway.net.hot_restart.messages import (
    ClientConnection,
    CustomerUsage,
    Hello,
    Message,
    RemainingConnections,
    ServerConnection,
    StateEnd,
    StatePiece,
    TakeOver,
    WishesApplied,
    WishesChanged,
)
from quota_gateway.net.hot_restart.session import PeerSession
from quota_gateway.net.hot_restart.state_transfer import StateAssembly
from quota_gateway.net.hot_restart.wishes_exchange import WishesExchange
from quota_gateway.net.peer_process import peer_credentials
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.state_machine import Transitions, transition

log = logging.getLogger(__name__)


class SuccessorState(Enum):
    """How far a process has taken over from the one before it."""

    NOT_CONNECTED = "not connected"  # no predecessor was looked for yet
    GREETING = "greeting"  # connected; the predecessor has not answered
    LOADING = "loading"  # it has answered; its state is requested, or comes
    TAKEN_OVER = "taken over"  # this process serves; the predecessor finishes its requests
    ALONE = "alone"  # a plain start, or the predecessor has ended


TRANSITIONS: Transitions[SuccessorState] = {
    SuccessorState.NOT_CONNECTED: frozenset({SuccessorState.GREETING, SuccessorState.ALONE}),
    SuccessorState.GREETING: frozenset({SuccessorState.LOADING, SuccessorState.ALONE}),
    SuccessorState.LOADING: frozenset({SuccessorState.TAKEN_OVER, SuccessorState.ALONE}),
    SuccessorState.TAKEN_OVER: frozenset({SuccessorState.ALONE}),
    SuccessorState.ALONE: frozenset(),
}
GREETED = frozenset({SuccessorState.LOADING, SuccessorState.TAKEN_OVER})


class Successor:
    """Takes over from a process that serves, and is its peer until it has ended."""

    def __init__(self, identity: GatewayIdentity, parts: ProcessParts, exchange: WishesExchange) -> None:
        self.state = SuccessorState.NOT_CONNECTED
        self.session: PeerSession | None = None
        self._identity = identity
        self._parts = parts
        self._exchange = exchange
        self._connections = ConnectionReceiver(parts)
        self._assembly = StateAssembly()
        self._listener: socket.socket | None = None
        # What ``take_over`` waits for: both end as well when the session does.
        self._greeted = asyncio.Event()
        self._loaded: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    # ---- Taking over

    async def take_over(self, address: str) -> bool:
        """Take over from the process that listens there; false for a plain start, whatever the reason."""
        session = self._connect(address)
        if session is None:
            self._enter(SuccessorState.ALONE)
            self._forget_wishes()
            return False
        saved_wishes = self._exchange.read_file()
        try:
            await self._load_from(session)
        except (RestartError, TimeoutError) as error:
            log.error("nothing taken over: %r", error)
            await self._give_up(session, isinstance(error, TimeoutError))
            # The predecessor lived: what operators wished of it holds here.
            if saved_wishes and not self._exchange.in_force.any_server_down():
                self._exchange.in_force.apply(saved_wishes)
            return False
        finally:
            self._assembly.clear()
        wishes = self._exchange.in_force.current()
        log.info(
            "taken over from the predecessor; servers down: %s%s",
            ", ".join(wishes.servers_down) or "none",
            "; drained" if wishes.drained else "",
        )
        return True

    def _connect(self, address: str) -> PeerSession | None:
        """A session with the process that listens there; None where none does, or it is another user's."""
        sock = connect(address)
        if sock is None:
            return None
        if peer_credentials(sock).user_id != os.getuid():
            sock.close()
            return None
        self.session = PeerSession(sock, self._received, self._ended)
        self._enter(SuccessorState.GREETING)
        return self.session

    def _forget_wishes(self) -> None:
        """Drop the wishes in the file: no process serves, so its writer is dead. Its token still holds."""
        wishes = self._exchange.read_file()
        if wishes:
            self._exchange.in_force.raise_token(wishes.highest_token)
        self._exchange.remove_file()

    async def _load_from(self, session: PeerSession) -> None:
        """Greet, request the state, and return once it is in use. Raises RestartError or TimeoutError."""
        async with asyncio.timeout(limits.HELLO_TIMEOUT_S):
            session.send(Hello(self._identity))
            await self._greeted.wait()
        async with asyncio.timeout(limits.STATE_TIMEOUT_S):
            if not session.open:
                raise RestartError("the predecessor broke off")
            session.link.has_received = False
            session.send(TakeOver(heartbeats=True))
            if not await self._loaded:
                raise RestartError("the predecessor broke off")

    async def _give_up(self, session: PeerSession, timed_out: bool) -> None:
        """End the session for a plain start.

        A predecessor that was silent all the time hangs. It is killed first: waking up later, it would serve
        side by side with this process.
        """
        if timed_out and self.state is SuccessorState.GREETING:
            # HELLO_TIMEOUT_S alone is shorter than the silence that heartbeats allow.
            for _ in range(MAX_MISSED_HEARTBEATS):
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        if timed_out and not session.link.has_received and session.peer_process.alive():
            log.error("the predecessor hangs and is killed")
            session.peer_process.kill()
            while session.peer_process.alive():
                await asyncio.sleep(limits.EXIT_POLL_INTERVAL_S)
        session.end("nothing taken over")

    def take_listener(self) -> socket.socket | None:
        """The clients' listener as the predecessor passed it on; the first caller owns it."""
        listener = self._listener
        self._listener = None
        return listener

    # ---- Beside the predecessor

    @property
    def greeted(self) -> bool:
        """Whether both processes have identified themselves, and the session is open."""
        return self.state in GREETED

    def end_predecessor(self) -> bool:
        """Send SIGTERM to the predecessor; false unless this process has taken over and it still lives."""
        if self.state is not SuccessorState.TAKEN_OVER or self.session is None:
            return False
        if not self.session.peer_process.alive():
            return False
        self.session.peer_process.signal(signal.SIGTERM)
        return True

    def _received(self, session: PeerSession, message: Message, descriptors: list[int]) -> None:
        match message:
            case Hello():
                self._greet(message)
            case StatePiece():
                self._assembly.add(message)
            case StateEnd():
                self._load(session, message, descriptors)
            case ClientConnection():
                self._connections.adopt_client(message, descriptors)
            case ServerConnection():
                self._connections.adopt_server(message, descriptors)
            case RemainingConnections():
                self._connections.set_remaining(message)
            case CustomerUsage():
                self._parts.driver.post(message.to_event())
            case WishesChanged():
                self._exchange.apply_changed(session, message)
            case WishesApplied():
                self._exchange.note_applied(message)
            case _:
                raise PeerProcessError(f"not a predecessor's message: {type(message).__name__}")

    def _greet(self, message: Hello) -> None:
        if message.identity != self._identity:
            raise PeerProcessError(f"another gateway, or another version: {message.identity}")
        if self.state is SuccessorState.GREETING:
            self._enter(SuccessorState.LOADING)
        self._greeted.set()

    def _load(self, session: PeerSession, end: StateEnd, descriptors: list[int]) -> None:
        """Use the state at once: the connections that come behind it rely on it. Raises PeerProcessError."""
        if self.state is not SuccessorState.LOADING:
            raise PeerProcessError(f"a state out of turn: {self.state.value}")
        if descriptors:
            self._listener = socket.socket(fileno=descriptors.pop())
        state = self._assembly.complete(end)
        discovery = self._parts.discovery
        discovery.use_cached_list(state.server_list)
        try:
            state_document.load(self._parts.driver.gateway, state.decisions, discovery.registry.numbers)
        except RestartError as error:  # the decisions are as they were
            raise PeerProcessError(str(error)) from error
        self._exchange.in_force.apply(state.wishes)
        self._connections.set_remaining(state.remaining)
        self._enter(SuccessorState.TAKEN_OVER)
        self._finish_loading(True)
        if end.heartbeats:
            self._connections.report_closed_to(session)
            session.heartbeat.start()

    def _ended(self, session: PeerSession) -> None:
        """The predecessor has ended, or broke off: this process goes on alone."""
        self.session = None
        self._enter(SuccessorState.ALONE)
        self._connections.end()
        self._greeted.set()
        self._finish_loading(False)
        self._parts.driver.post(api.PeerExited())
        session.peer_process.close()

    def _finish_loading(self, loaded: bool) -> None:
        """Wake ``take_over``, unless it has been woken or has given up. The first outcome counts."""
        if not self._loaded.done():
            self._loaded.set_result(loaded)

    def _enter(self, state: SuccessorState) -> None:
        self.state = transition("successor", TRANSITIONS, self.state, state)

    def close(self) -> None:
        """Release all, as this process ends."""
        if self.session:
            self.session.close("this process ends")
            self.session = None
        listener = self.take_listener()
        if listener:
            listener.close()
