"""The successor's side of a hot restart: a new process takes over from the serving one."""

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
    OverridesApplied,
    OverridesChanged,
    RemainingConnections,
    ServerConnection,
    StateEnd,
    StatePiece,
    TakeOver,
)
from quota_gateway.net.hot_restart.overrides_exchange import OverridesExchange
from quota_gateway.net.hot_restart.session import PeerSession
from quota_gateway.net.hot_restart.state_transfer import StateAssembly
from quota_gateway.net.peer_process import peer_credentials
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.state_machine import Transitions, transition

log = logging.getLogger(__name__)


class SuccessorState(Enum):
    """How far a process has taken over from the one before it."""

    NOT_CONNECTED = "not connected"  # this process has not tried to connect yet
    GREETING = "greeting"  # connected; the predecessor has not sent its identity
    LOADING = "loading"  # identities agree; the predecessor's state is requested or being received
    TAKEN_OVER = "taken over"  # this process serves; the predecessor finishes its requests
    ALONE = "alone"  # a cold start, or the predecessor has ended


TRANSITIONS: Transitions[SuccessorState] = {
    SuccessorState.NOT_CONNECTED: frozenset({SuccessorState.GREETING, SuccessorState.ALONE}),
    SuccessorState.GREETING: frozenset({SuccessorState.LOADING, SuccessorState.ALONE}),
    SuccessorState.LOADING: frozenset({SuccessorState.TAKEN_OVER, SuccessorState.ALONE}),
    SuccessorState.TAKEN_OVER: frozenset({SuccessorState.ALONE}),
    SuccessorState.ALONE: frozenset(),
}
GREETED = frozenset({SuccessorState.LOADING, SuccessorState.TAKEN_OVER})


class Successor:
    """Takes over from the serving process, and stays connected to it until it has ended."""

    def __init__(self, identity: GatewayIdentity, parts: ProcessParts, exchange: OverridesExchange) -> None:
        self.state = SuccessorState.NOT_CONNECTED
        self.session: PeerSession | None = None
        self._identity = identity
        self._parts = parts
        self._exchange = exchange
        self._connections = ConnectionReceiver(parts)
        self._assembly = StateAssembly()
        self._listener: socket.socket | None = None
        # ``take_over`` waits for these; both are also set when the session ends.
        self._greeted = asyncio.Event()
        self._loaded: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    # ---- Taking over

    async def take_over(self, address: str) -> bool:
        """Take over from the process at the address; false for a cold start, whatever the reason."""
        session = self._connect(address)
        if session is None:
            self._enter(SuccessorState.ALONE)
            self._drop_saved_overrides()
            return False
        saved_overrides = self._exchange.read_file()
        try:
            await self._load_from(session)
        except (RestartError, TimeoutError) as error:
            log.error("nothing taken over, starting cold: %r", error)
            await self._give_up(session, isinstance(error, TimeoutError))
            # A predecessor was running, so the overrides that it saved still hold.
            if saved_overrides and not self._exchange.effective.any_server_down():
                self._exchange.effective.apply(saved_overrides)
            return False
        finally:
            self._assembly.clear()
        overrides = self._exchange.effective.current()
        log.info(
            "taken over from the predecessor; servers down: %s%s",
            ", ".join(overrides.servers_down) or "none",
            "; drained" if overrides.drained else "",
        )
        return True

    def _connect(self, address: str) -> PeerSession | None:
        """Open a session with the process at the address; None if there is none or another user runs it."""
        sock = connect(address)
        if sock is None:
            return None
        if peer_credentials(sock).user_id != os.getuid():
            sock.close()
            return None
        self.session = PeerSession(sock, self._received, self._ended)
        self._enter(SuccessorState.GREETING)
        return self.session

    def _drop_saved_overrides(self) -> None:
        """Remove the saved overrides: no process serves, so their writer is dead. Their token still holds."""
        overrides = self._exchange.read_file()
        if overrides:
            self._exchange.effective.raise_token(overrides.highest_token)
        self._exchange.remove_file()

    async def _load_from(self, session: PeerSession) -> None:
        """Send the identity, request the state, and wait until it is loaded.

        Raises RestartError or TimeoutError.
        """
        async with asyncio.timeout(limits.HELLO_TIMEOUT_S):
            session.send(Hello(self._identity))
            await self._greeted.wait()
        async with asyncio.timeout(limits.STATE_TIMEOUT_S):
            if not session.open:
                raise RestartError("the session with the predecessor ended before the handover")
            session.link.has_received = False
            session.send(TakeOver(heartbeats=True))
            if not await self._loaded:
                raise RestartError("the session with the predecessor ended before the handover")

    async def _give_up(self, session: PeerSession, timed_out: bool) -> None:
        """End the session, so that this process can start cold.

        A predecessor that has sent nothing during the whole wait hangs. It is killed first: if it recovered
        later, it would serve at the same time as this process.
        """
        if timed_out and self.state is SuccessorState.GREETING:
            # HELLO_TIMEOUT_S alone is shorter than the silence that heartbeats tolerate.
            for _ in range(MAX_MISSED_HEARTBEATS):
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        if timed_out and not session.link.has_received and session.peer_process.alive():
            log.error("the predecessor hangs and is killed")
            session.peer_process.kill()
            while session.peer_process.alive():
                await asyncio.sleep(limits.EXIT_POLL_INTERVAL_S)
        session.end("nothing taken over")

    def take_listener(self) -> socket.socket | None:
        """The clients' listener that the predecessor sent, or None; the first caller owns it."""
        listener = self._listener
        self._listener = None
        return listener

    # ---- While the predecessor still runs

    @property
    def greeted(self) -> bool:
        """Whether both processes have identified themselves, and the session is open."""
        return self.state in GREETED

    def end_predecessor(self) -> bool:
        """Send SIGTERM to the predecessor; false if nothing was taken over, or it has ended."""
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
            case OverridesChanged():
                self._exchange.apply_changed(session, message)
            case OverridesApplied():
                self._exchange.note_applied(message)
            case _:
                raise PeerProcessError(f"a predecessor does not send this message: {type(message).__name__}")

    def _greet(self, message: Hello) -> None:
        if message.identity != self._identity:
            raise PeerProcessError(f"the predecessor is of another gateway or version: {message.identity}")
        if self.state is SuccessorState.GREETING:
            self._enter(SuccessorState.LOADING)
        self._greeted.set()

    def _load(self, session: PeerSession, end: StateEnd, descriptors: list[int]) -> None:
        """Load the state at once: the connections that follow it rely on it. Raises PeerProcessError."""
        if self.state is not SuccessorState.LOADING:
            raise PeerProcessError(f"state received out of turn, this process is: {self.state.value}")
        if descriptors:
            self._listener = socket.socket(fileno=descriptors.pop())
        state = self._assembly.complete(end)
        discovery = self._parts.discovery
        discovery.use_cached_list(state.server_list)
        try:
            state_document.load(self._parts.driver.gateway, state.decisions, discovery.registry.numbers)
        except RestartError as error:  # the policy's state is unchanged
            raise PeerProcessError(str(error)) from error
        self._exchange.effective.apply(state.overrides)
        self._connections.set_remaining(state.remaining)
        self._enter(SuccessorState.TAKEN_OVER)
        self._finish_loading(True)
        if end.heartbeats:
            self._connections.report_closed_to(session)
            session.heartbeat.start()

    def _ended(self, session: PeerSession) -> None:
        """Continue alone, as the predecessor has ended or the link to it has failed."""
        self.session = None
        self._enter(SuccessorState.ALONE)
        self._connections.end()
        self._greeted.set()
        self._finish_loading(False)
        self._parts.driver.post(api.PeerExited())
        session.peer_process.close()

    def _finish_loading(self, loaded: bool) -> None:
        """Wake up ``take_over``, unless it has been woken up or has given up. The first outcome counts."""
        if not self._loaded.done():
            self._loaded.set_result(loaded)

    def _enter(self, state: SuccessorState) -> None:
        self.state = transition("successor", TRANSITIONS, self.state, state)

    def close(self) -> None:
        """Close the session and the listener, as this process ends."""
        if self.session:
            self.session.close("this process ends")
            self.session = None
        listener = self.take_listener()
        if listener:
            listener.close()
