"""Accepts, limits, transfers and closes the connections of all clients."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Callable
from math import inf

from quota_gateway import api
from quota_gateway.net.clients.budget import ByteBudget
from quota_gateway.net.clients.command_dispatcher import CommandDispatcher
from quota_gateway.net.clients.connection import Client
from quota_gateway.net.clients.listener import BACKLOG, bind
from quota_gateway.net.clients.read_throttle import READ_BYTES
from quota_gateway.net.clients.reply_budget import ReplyBudget
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.driver import Driver

MAX_WAITING_BYTES = 2 * 1024 * 1024  # of commands that were read and wait, as the maximum is in flight
MAX_LINGERING = 16  # half-closed connections allowed in addition to the limit on open ones
SHUTDOWN_GRACE_S = 0.25  # for partly read commands and new connections, once idle ones are closed
SWEEP_INTERVAL_S = 0.1  # between two checks for connections that are idle for too long

LOADING_REPLY = b"-LOADING the list of servers is not known yet\r\n"
DRAINING_REPLY = b"-DRAINING clients are served elsewhere\r\n"
PONG_REPLY = b"+PONG\r\n"


class ClientRegistry:
    """The listener for clients and all their connections, accepted here or adopted from another process."""

    def __init__(self, driver: Driver, settings: api.Settings, most_connections: int) -> None:
        self.driver = driver
        self.dispatcher = CommandDispatcher(driver, settings, self.ping_reply)
        self.most_connections = most_connections
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.connections: OrderedDict[Client, None] = OrderedDict()  # least recently used first
        self.lingering: dict[Client, None] = {}  # half-closed connections, whose input is discarded
        self.adopting: set[asyncio.Task[None]] = set()  # create the transports of adopted sockets
        self.command_budget = ByteBudget(MAX_WAITING_BYTES)
        self.reply_budget = ReplyBudget(most_connections)
        self.awaiting_room: dict[Client, None] = {}  # their commands wait for room for the replies
        self.uses_room_soon = False  # ``_use_room`` is scheduled

        # The listener
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None  # accepts on a duplicate of the listener

        # What the load balancer is told, and when connections are closed
        self.ready = False  # the endpoint list has been received
        self.serving = True  # the load balancer may send clients
        self.idle_timeout_s = inf  # how long a connection may stay open without a request
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.is_shutting_down = False  # the shutdown has begun
        self.grace_is_over = False  # the shutdown no longer waits for commands to arrive
        self.finishes_owed_only = False  # the shutdown reads no further commands, even if they have arrived

        # Hot restart and failover are never both in use, so each callback has one owner (process/builder.py)
        self.peer_connections = 0  # connections that the predecessor still has
        self.transfer: Callable[[Client, int], bool] | None = None  # to the successor; returns success
        self.on_opened: Callable[[Client], None] | None = None
        self.on_closed: Callable[[Client], None] | None = None
        self.on_all_answered: Callable[[Client], None] | None = None  # all commands read are answered

    # ---- Accepting

    async def listen(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Listen on this address only, or on a passed socket that already listens there."""
        self.listener = passed or await bind(host, port)
        await self.accept()

    async def accept(self) -> None:
        """Accept on a duplicate of the listener, which keeps queueing connections when that is closed."""
        if self.listener and not self.server:
            self.server = await self.loop.create_server(
                lambda: Client(self), sock=self.listener.dup(), backlog=BACKLOG
            )

    def stop_accepting(self) -> None:
        """Stop accepting; queued connections stay for another process, or until this one accepts again."""
        if self.server:
            self.server.close()
            self.server = None

    def adopt(
        self, sock: socket.socket, had_request: bool, waited_s: float, retained_id: int = 0
    ) -> asyncio.Task[None]:
        """Take over a connection that is already accepted.

        ``had_request``: whether a request was received on it; ``waited_s``: for how long its first request
        has been awaited; ``retained_id``: the id of the copy that the predecessor keeps, 0 for none.
        """
        client = Client(self)
        client.has_requested = had_request
        client.waited_s = waited_s
        client.retained_id = retained_id
        task = self.loop.create_task(self._attach_socket(client, sock))
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)
        return task

    async def _attach_socket(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()

    def try_to_transfer(self, client: Client) -> None:
        """Transfer a connection to the successor if it is between requests."""
        if self.transfer and client.transport and client.is_transferable():
            sock = client.transport.get_extra_info("socket")
            if self.transfer(client, sock.fileno()):
                client.detach()

    # ---- Load balancer and idle connections

    def ping_reply(self) -> bytes:
        """Reply to PING, which tells the load balancer whether to send clients to this gateway.

        The reply is PONG only once the endpoint list is known.
        """
        if not self.ready:
            return LOADING_REPLY
        return PONG_REPLY if self.serving else DRAINING_REPLY

    def set_serving(self, action: api.SetServing) -> None:
        """Set whether the load balancer sends clients; close connections that are idle for too long."""
        self.serving = action.serving
        self.idle_timeout_s = action.keep_idle_ms / 1000.0
        if self.sweep_timer is None and self.idle_timeout_s < inf:
            self._sweep()

    def _sweep(self) -> None:
        """Close connections idle for too long; those within a command only at the last step of a drain."""
        self.sweep_timer = None
        if self.idle_timeout_s == inf:
            return
        latest = self.loop.time() - self.idle_timeout_s
        is_last_drain_step = self.idle_timeout_s == 0.0
        for client in [candidate for candidate in self.connections if candidate.idle_since <= latest]:
            if is_last_drain_step or not client.stream.is_within_command():
                client.close_idle()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def reconfigure(self, settings: api.Settings, most_connections: int) -> None:
        """Apply new settings; above the limit idle connections are closed, least recently used first.

        Then those are closed that only have written replies left to send. If still too many are left, those
        with requests in flight are closed once these are answered.
        """
        self.dispatcher.reconfigure(settings)
        self.most_connections = most_connections
        self.reply_budget.divide(most_connections)
        for client in sorted(self.connections, key=Client.has_unsent_bytes):
            if not self.is_over_limit():
                break
            if client.can_close_in_order():
                client.close()

    def should_close_idle(self) -> bool:
        """Whether connections are closed as soon as no reply is pending on them."""
        return self.idle_timeout_s < inf or self.is_over_limit()

    def is_over_limit(self) -> bool:
        """Whether there are more connections than the limit allows."""
        return len(self.connections) + self.peer_connections > self.most_connections

    # ---- Limits

    def register(self, client: Client) -> None:
        """Add a new connection; above the limit an idle one is closed, or else the new one.

        Without a limit the process would run out of file descriptors, which its connections to servers need
        too.
        """
        self.connections[client] = None
        self.reply_budget.open_connections = len(self.connections)
        if self.on_opened:
            self.on_opened(client)
        if not self.is_over_limit():
            return
        evicted = self._eviction_candidate(client)
        if evicted is client:
            client.reject_over_limit()
        evicted.close()  # also unregisters it, so the next new connection evicts another one
        self._limit_lingering()

    def _eviction_candidate(self, newest: Client) -> Client:
        """The least recently used idle connection, else one on which nothing is owed, else the newest."""
        for client in self.connections:
            if client is not newest and client.is_idle():
                return client
        for client in self.connections:
            if client is not newest and not client.owes_answer() and not client.has_unread_bytes():
                return client
        return newest

    def _limit_lingering(self) -> None:
        """End half-closed connections above the limit, oldest first, but none with replies left to send.

        One to end is always found: the connection that was closed just now had nothing left to send.
        """
        while len(self.connections) + len(self.lingering) > self.most_connections + MAX_LINGERING:
            oldest = next((client for client in self.lingering if not client.owes_answer()), None)
            if oldest is None or oldest.transport is None:
                return
            del self.lingering[oldest]
            oldest.end_lingering()

    def note_awaits_room(self, client: Client) -> None:
        """Note whether a client's commands wait for room for their replies."""
        if not client.is_parsing_blocked or not client.replies.lacks_room():
            self.awaiting_room.pop(client, None)
        elif client not in self.awaiting_room:
            self.awaiting_room[client] = None
            self.driver.metrics.held_commands_total += 1

    def on_replies_changed(self) -> None:
        """Enforce the limit on replies that wait, and use the room there is for further commands."""
        self._enforce_reply_budget()
        if self.awaiting_room and not self.uses_room_soon:
            self.uses_room_soon = True
            self.loop.call_soon(self._use_room)

    def _use_room(self) -> None:
        """Go on with the commands that wait for room, in the order in which they began to."""
        self.uses_room_soon = False
        for client in list(self.awaiting_room):
            if client.replies.lacks_room():
                return
            client.go_on_parsing()

    def _enforce_reply_budget(self) -> None:
        """While too many reply bytes wait, replace replies of the connection that holds most by errors.

        The reply furthest behind goes first. Commands are held back before (``ReplyBudget``), so this only
        happens where replies are larger than expected, or where many clients read nothing. These are aborted
        by their stall timers.
        """
        while self.reply_budget.is_exceeded():
            holder = max(self.connections, key=lambda client: client.replies.unsent_bytes, default=None)
            if holder is None or not holder.shed_last_reply():
                return

    def unregister(self, client: Client) -> None:
        """Remove a connection from the open ones: it has ended, was transferred or is lingering."""
        self.connections.pop(client, None)
        self.reply_budget.open_connections = len(self.connections)
        self.awaiting_room.pop(client, None)
        if self.on_closed:
            self.on_closed(client)

    # ---- Shutdown

    def stop_listening(self) -> None:
        """Accept the queued connections and no more, and close each connection once no reply is pending."""
        if self.listener:
            if self.server:
                self._accept_queued(self.listener)
            self.listener.close()
            self.listener = None
        self.stop_accepting()
        self.is_shutting_down = True
        for client in list(self.connections):
            client.flush()
        self.loop.call_later(SHUTDOWN_GRACE_S, self._end_grace)

    def _accept_queued(self, listener: socket.socket) -> None:
        """Accept all queued connections: closing the listener would reset them and lose their requests."""
        listener.setblocking(False)
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # the queue is empty, or no descriptor is left
                return
            sock.setblocking(False)
            self.adopt(sock, False, 0.0)

    def _end_grace(self) -> None:
        """Close each connection that has no complete command; its client retries elsewhere."""
        self.grace_is_over = True
        for client in list(self.connections):
            client.flush()

    def stop_waiting_for_commands(self) -> None:
        """Close each connection once no answer is owed, although further commands may have arrived."""
        self.finishes_owed_only = True
        for client in list(self.connections):
            client.flush()

    def has_ended(self) -> bool:
        """Whether every connection that was accepted has ended."""
        return not (self.connections or self.lingering or self.adopting)

    def count_owed(self) -> int:
        """Number of connections on which an answer, or the rest of one, is still owed."""
        return sum(client.owes_answer() for client in [*self.connections, *self.lingering])

    def abort(self) -> None:
        """Abort all remaining connections when the process ends."""
        for client in [*self.connections, *self.lingering]:
            client.abort(CloseReason.PROCESS_END)
