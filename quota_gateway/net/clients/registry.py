"""All clients' connections: how they are accepted, limited, passed on and closed."""

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
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.driver import Driver

MAX_WAITING_BYTES = 2 * 1024 * 1024  # read behind the most commands that may be in flight
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # of replies that clients have not taken
MAX_LINGERING = 16  # connections that only discard what still comes, beyond those that may be open
SHUTDOWN_GRACE_S = 0.25  # for half-read commands and new connections, once the shutdown closes the others
SWEEP_INTERVAL_S = 0.1  # between two looks at idle connections while they are not wanted

LOADING_REPLY = b"-LOADING the list of servers is not known yet\r\n"
DRAINING_REPLY = b"-DRAINING clients are served elsewhere\r\n"
PONG_REPLY = b"+PONG\r\n"


class ClientRegistry:
    """The listener for clients and every connection that it accepted or that was adopted."""

    def __init__(self, driver: Driver, settings: api.Settings, most_connections: int) -> None:
        self.driver = driver
        self.dispatcher = CommandDispatcher(driver, settings, self.ping_reply)
        self.most_connections = most_connections
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.connections: OrderedDict[Client, None] = OrderedDict()  # the longest unused first
        self.lingering: dict[Client, None] = {}  # closed, but for what still comes on them
        self.adopting: set[asyncio.Task[None]] = set()  # of connections that are accepted, but not up yet
        self.waiting = ByteBudget(MAX_WAITING_BYTES)
        self.unsent = ByteBudget(MAX_UNSENT_BYTES)

        # The listener
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None  # accepts on a copy of the listener

        # Whether clients are wanted
        self.ready = False  # the list of servers is known
        self.serving = True  # the load balancer may send clients
        self.idle_timeout_s = inf  # for which a connection is kept without a request
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.is_shutting_down = False  # the shutdown has begun
        self.grace_is_over = False  # the shutdown waits no longer for what is on its way

        # Hot restart and failover: never both, so each callback has one owner (process/builder.py)
        self.peer_connections = 0  # connections that the process before this one still holds
        self.transfer: Callable[[Client, int], bool] | None = None  # passes a connection to the next process
        self.on_opened: Callable[[Client], None] | None = None
        self.on_closed: Callable[[Client], None] | None = None
        self.on_all_answered: Callable[[Client], None] | None = None  # nothing read on it is pending

    # ---- Accepting

    async def listen(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Listen on this address only, or on the socket that was passed on and listens there."""
        self.listener = passed or await bind(host, port)
        await self.accept()

    async def accept(self) -> None:
        """Accept, on a copy of the listener: when that is closed, the listener's queue goes on filling."""
        if self.listener and not self.server:
            self.server = await self.loop.create_server(
                lambda: Client(self), sock=self.listener.dup(), backlog=BACKLOG
            )

    def stop_accepting(self) -> None:
        """Leave connections in the listener's queue to another process, or to later."""
        if self.server:
            self.server.close()
            self.server = None

    def adopt(
        self, sock: socket.socket, asked: bool, waited_s: float, retained_id: int = 0
    ) -> asyncio.Task[None]:
        """Take over a connection that is accepted already.

        ``asked``: whether a request had come on it; ``waited_s``: for how long it has been open;
        ``retained_id``: the number of the copy that the process before keeps, 0 for none.
        """
        client = Client(self, waited_s)
        client.has_requested = asked
        client.retained_id = retained_id
        task = self.loop.create_task(self._bring_up(client, sock))
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)
        return task

    async def _bring_up(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            sock.close()

    def try_to_transfer(self, client: Client) -> None:
        """Pass a connection on to the next process, if it is between requests."""
        if self.transfer and client.transport and client.is_transferable():
            sock = client.transport.get_extra_info("socket")
            if self.transfer(client, sock.fileno()):
                client.detach()

    # ---- Whether clients are wanted

    def ping_reply(self) -> bytes:
        """Reply to PING, by which the load balancer decides: PONG only once the servers are known."""
        if not self.ready:
            return LOADING_REPLY
        return PONG_REPLY if self.serving else DRAINING_REPLY

    def set_serving(self, action: api.SetServing) -> None:
        """Tell the load balancer whether to send clients; close connections that are idle for longer."""
        self.serving = action.serving
        self.idle_timeout_s = action.keep_idle_ms / 1000.0
        if self.sweep_timer is None and self.idle_timeout_s < inf:
            self._sweep()

    def _sweep(self) -> None:
        """Close what has been idle for too long; within a command only at a drain's last step."""
        self.sweep_timer = None
        if self.idle_timeout_s == inf:
            return
        latest = self.loop.time() - self.idle_timeout_s
        is_last_drain_step = self.idle_timeout_s == 0.0
        for client in [one for one in self.connections if one.idle_since <= latest]:
            if is_last_drain_step or not client.stream.is_within_command():
                client.close_idle()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def reconfigure(self, settings: api.Settings, most_connections: int) -> None:
        """Apply new settings; beyond the limit idle connections are closed, the longest unused first.

        A connection with requests in flight is closed once they have been answered.
        """
        self.dispatcher.reconfigure(settings)
        self.most_connections = most_connections
        for client in list(self.connections):
            if not self.is_over_limit():
                break
            if client.is_idle():
                client.close()

    def is_unwanted(self) -> bool:
        """Whether connections are closed as soon as nothing is owed on them."""
        return self.idle_timeout_s < inf or self.is_over_limit()

    def is_over_limit(self) -> bool:
        """Whether there are more connections than there may be."""
        return len(self.connections) + self.peer_connections > self.most_connections

    # ---- Limits

    def opened(self, client: Client) -> None:
        """Count a new connection; beyond the limit an idle one is closed, or else the new one.

        Without a limit the process would run out of descriptors, which its connections to servers need too.
        """
        self.connections[client] = None
        if self.on_opened:
            self.on_opened(client)
        if not self.is_over_limit():
            return
        evicted = self._eviction_candidate(client)
        if evicted is client:
            client.reject_over_limit()
        evicted.close()  # counted no more, so the next new connection finds another one
        self._limit_lingering()

    def _eviction_candidate(self, newest: Client) -> Client:
        """The longest unused connection that is idle, else one on which nothing is owed, else the newest."""
        for client in self.connections:
            if client is not newest and client.is_idle():
                return client
        for client in self.connections:
            if client is not newest and not client.replies.slots and not client.has_unread_bytes():
                return client
        return newest

    def _limit_lingering(self) -> None:
        while len(self.connections) + len(self.lingering) > self.most_connections + MAX_LINGERING:
            oldest = next(iter(self.lingering), None)
            if oldest is None or oldest.transport is None:
                return
            del self.lingering[oldest]
            oldest.end_lingering()

    def enforce_unsent_budget(self) -> None:
        """Close the client that holds most, if more reply bytes wait to be written than may.

        Clients that write many requests and read no replies hold little each, and together too much.
        """
        if self.unsent.is_exceeded():
            most = max(self.connections, key=lambda client: client.replies.unsent_bytes, default=None)
            if most:
                most.abort(CloseReason.UNSENT_BUDGET)

    def uncount(self, client: Client) -> None:
        """Remove a connection from the count: it has ended, or only discards what still comes."""
        self.connections.pop(client, None)
        if self.on_closed:
            self.on_closed(client)

    # ---- Shutdown

    def stop_listening(self) -> None:
        """Accept no more than has come, and close each connection once nothing is owed on it."""
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
        """Accept all that wait in the listener's queue: closing it would reset them, requests and all."""
        listener.setblocking(False)
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:  # the queue is empty, or no descriptor is left
                return
            sock.setblocking(False)
            self.adopt(sock, False, 0.0)

    def _end_grace(self) -> None:
        """Close each connection on which no complete command has come: its client retries elsewhere."""
        self.grace_is_over = True
        for client in list(self.connections):
            client.flush()

    def has_ended(self) -> bool:
        """Whether every connection that was accepted has ended."""
        return not (self.connections or self.lingering or self.adopting)

    def abort(self) -> None:
        """Close what is left, at the very end."""
        for client in [*self.connections, *self.lingering]:
            client.abort(CloseReason.PROCESS_END)
