"""One client's connection: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, cast

from quota_gateway.errors import ProtocolError
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.clients.command_stream import CommandStream
from quota_gateway.net.clients.commands import GET, POST, CommandError
from quota_gateway.net.clients.replies import ReplySlot, StreamedValue
from quota_gateway.net.clients.stall_timer import StallTimer
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.sockets import has_unread_bytes
from quota_gateway.state_machine import transition

if TYPE_CHECKING:
    from quota_gateway.net.clients.registry import ClientRegistry

log = logging.getLogger(__name__)

MAX_PIPELINED = 64  # commands of one connection in flight; more are read up to a bound, and wait
READ_BYTES = 64 * 1024
MAX_BODY_ROUNDS = 3  # further command timeouts granted to a body while its bytes come
MAX_BAD_COMMANDS = 16  # in a row: a peer that sends more is no client
MAX_DISCARDED_BYTES = 1024 * 1024  # read behind the last command: a peer that sends more is no client
# For a first request, and for the rest of a command: a peer that is no client is closed within 3 s.
COMMAND_TIMEOUT_S = 2.5
LINGER_S = 0.4  # for what still comes behind a close; with COMMAND_TIMEOUT_S below those 3 s


class ClientState(Enum):
    """Where a client's connection stands."""

    OPEN = "open"
    ENDING = "ending"  # takes no further command; closes once the replies before are out
    LINGERING = "lingering"  # closed for replies; what still comes is discarded
    CLOSED = "closed"


TRANSITIONS = {
    ClientState.OPEN: frozenset({ClientState.ENDING, ClientState.LINGERING, ClientState.CLOSED}),
    ClientState.ENDING: frozenset({ClientState.LINGERING, ClientState.CLOSED}),
    ClientState.LINGERING: frozenset({ClientState.CLOSED}),
    ClientState.CLOSED: frozenset(),
}


class Client(asyncio.BufferedProtocol):
    """One client's connection. Owned by ``ClientRegistry``, which counts it and decides when it may go."""

    def __init__(self, clients: ClientRegistry) -> None:
        self.clients = clients
        self.state = ClientState.OPEN
        self.close_reason: CloseReason | None = None  # None until this gateway ends it
        self.transport: asyncio.Transport | None = None
        self.opened_at_s = clients.loop.time()
        self.idle_since = self.opened_at_s
        self.has_requested = False  # a request has come: clients keep such connections between their requests
        self.retained_id = 0  # the number under which the process before this one keeps a copy of it

        # Commands in
        self.stream = CommandStream()
        self.is_parsing = False
        self.is_parsing_blocked = False  # the most are in flight, or the client is stuck: commands wait
        self.is_reading_paused = False
        self.waiting_bytes = 0  # of commands that wait so
        self.discarded_bytes = 0  # that came behind the last command
        self.last_read_ms = 0.0  # when the last bytes came, by the driver's clock
        self.bad_commands = 0  # in a row
        self.total_read_bytes = 0  # in all

        # The time that a command has to come
        self.command_timer: asyncio.TimerHandle | None = None  # runs while a complete command is awaited
        self.command_timeout_s = COMMAND_TIMEOUT_S
        self.has_moved = False  # bytes came since the timer was started
        self.body_rounds = 0

        # Replies out
        self.slots: deque[ReplySlot] = deque()
        self.is_stuck = False  # the client does not take its replies
        self.unsent_bytes = 0
        self.total_written_bytes = 0  # in all
        self.stall_timer = StallTimer()
        self.linger_timer: asyncio.TimerHandle | None = None

    def _enter(self, state: ClientState) -> None:
        self.state = transition("connection of a client", TRANSITIONS, self.state, state)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        if not self.has_requested:
            self._start_command_timer()
        self.clients.opened(self)
        if self.clients.is_shutting_down:  # adopted late: the flush of all connections is over
            self.clients.loop.call_soon(self.flush)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self._enter(ClientState.CLOSED)
        self.transport = None
        self.stall_timer.cancel()
        if self.linger_timer:
            self.linger_timer.cancel()
        self.clients.uncount(self)
        self.clients.lingering.pop(self, None)
        self._drop_pending()

    def can_write_replies(self) -> bool:
        """Whether replies can be written."""
        return self.transport is not None and self.state is not ClientState.LINGERING

    @property
    def takes_commands(self) -> bool:
        """Whether further commands are taken."""
        return self.state is ClientState.OPEN

    def _drop_pending(self) -> None:
        """Nobody waits for the replies any more: the decisions learn that the client has gone."""
        self._stop_command_timer()
        self._count_waiting(0)
        slots = self.slots
        self.slots = deque()
        self.count_unsent(-self.unsent_bytes)
        if slots and self.close_reason:
            log.warning(
                "closed a client's connection with %d replies owed: %s", len(slots), self.close_reason.value
            )
        for slot in slots:
            if slot.answer is None:
                self.clients.driver.client_disconnected(slot.request_id, self.close_reason)

    # ---- Commands in

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Buffer for the next read: one for all connections, as each read is consumed at once."""
        return self.clients.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop once bytes are in the buffer."""
        if not self.takes_commands or self.stream.is_out_of_bounds:
            self._discard(nbytes)
        else:
            self.data_received(bytes(self.clients.buffer[:nbytes]))

    def _discard(self, nbytes: int) -> None:
        """Read and discard what comes behind the last command, up to a bound.

        Only so is the client's end seen, and a close does not reset the connection under the answers before
        it. A client that never stops sending is cut off at the bound.
        """
        self.total_read_bytes += nbytes
        self.discarded_bytes += nbytes
        is_endless = self.discarded_bytes > MAX_DISCARDED_BYTES
        if self.state is ClientState.LINGERING and is_endless:
            self.abort()
        else:
            self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Take bytes of commands."""
        self.total_read_bytes += len(data)
        self.clients.connections.move_to_end(self)  # the last to be evicted
        self.idle_since = self.clients.loop.time()
        self.has_moved = True
        self.last_read_ms = self.clients.driver.clock()
        self.stream.feed(data)
        self._parse()

    def _parse(self) -> None:
        """Take commands, but no more than may be in flight at once.

        A reply that a command gets at once calls ``flush``, which may come back here: ``is_parsing`` prevents
        it.
        """
        self.is_parsing = True
        while self.takes_commands and self.transport and not self._is_full():
            try:
                command = self.stream.next_command()
            except ProtocolError:
                self._reject_protocol()
                break
            if command is None:
                break
            self._stop_command_timer()
            self._take(command)
        self.is_parsing = False
        self.is_parsing_blocked = self._is_full()
        if self.command_timer is None and (self.stream.is_within_command() or not self.has_requested):
            self._start_command_timer()
        self._update_reading()
        self._report_all_answered()
        self._close_if_due()

    def _is_full(self) -> bool:
        return self.is_stuck or len(self.slots) >= MAX_PIPELINED

    def _update_reading(self) -> None:
        """Keep reading as long as there is capacity for what comes.

        The client's end is seen only behind its data; once it is seen, commands that are not forwarded yet
        are dropped.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if not self.takes_commands or self.stream.is_out_of_bounds:
            pause = self.discarded_bytes > MAX_DISCARDED_BYTES
        else:
            is_waiting = len(self.slots) >= MAX_PIPELINED
            self._count_waiting(self.stream.bytes_since_command if is_waiting else 0)
            is_over_budget = self.waiting_bytes >= READ_BYTES and self.clients.waiting.is_exhausted()
            pause = self.is_stuck or is_over_budget
        if pause == self.is_reading_paused:
            return
        self.is_reading_paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _count_waiting(self, waiting_bytes: int) -> None:
        self.clients.waiting.add(waiting_bytes - self.waiting_bytes)
        self.waiting_bytes = waiting_bytes

    def _start_command_timer(self) -> None:
        """A peer that sends nothing, half a command or a single PING must not stay for good."""
        self.command_timer = self.clients.loop.call_later(self.command_timeout_s, self._on_command_timeout)
        self.command_timeout_s = COMMAND_TIMEOUT_S
        self.has_moved = False

    def _stop_command_timer(self) -> None:
        self.body_rounds = 0
        if self.command_timer:
            self.command_timer.cancel()
            self.command_timer = None

    def _on_command_timeout(self) -> None:
        self.command_timer = None
        body_is_coming = self.has_moved and self.has_requested and self.stream.is_in_body()
        if self.is_parsing_blocked:  # complete commands may wait behind those in flight: the peer is not late
            self._start_command_timer()
        elif body_is_coming and self.body_rounds < MAX_BODY_ROUNDS:
            self.body_rounds += 1
            self._start_command_timer()
        elif self.takes_commands:
            self._enter(ClientState.ENDING)
            if self.stream.is_within_command():
                self._reply(b"-ERR no whole command in time\r\n")
            self._update_reading()
            self._close_if_due()

    def _reject_protocol(self) -> None:
        """Answer what is not RESP with an error; the connection closes after the replies before it."""
        self._enter(ClientState.ENDING)
        self._reply(b"-ERR Protocol error\r\n")

    def _take(self, command: object) -> None:
        if not isinstance(command, list) or not command or not all(isinstance(w, bytes) for w in command):
            self._reject_protocol()
            return
        name = command[0].upper()
        if name in (GET, POST):
            self._call(command)
        elif name == b"PING":
            self._reply(self.clients.ping_reply())
        else:
            self._reject_command(b"-ERR unknown command\r\n")

    def _call(self, command: list[bytes]) -> None:
        driver = self.clients.driver
        try:
            # A command behind the most in flight has waited here since it came: its client counts that.
            call = self.clients.commands.parse(command, driver.clock() - self.last_read_ms)
            request = call.request
            if request.request_id in driver.requests:
                raise CommandError("a request of this id is in hand")
        except ValueError as error:  # CommandError, or a value that api.Request does not take
            self._reject_command(f"-ERR {error}\r\n".encode("ascii", "replace"))
            return
        self.has_requested = True
        self.bad_commands = 0
        slot = ReplySlot(self, None, request.request_id)
        self.slots.append(slot)
        pending = ClientRequest(request.request_id, call.encode, slot.fill, slot.begin)
        pending.latency_objective_ms = call.latency_objective_ms
        driver.accept(pending, request, request.client_timeout_ms)

    def _reject_command(self, reply: bytes) -> None:
        """Answer a bad command; the connection stays open, but not for an endless row of them.

        Each costs as much as a request, so megabytes of small commands that are no requests would cost more
        than all others' requests.
        """
        self.bad_commands += 1
        if self.bad_commands >= MAX_BAD_COMMANDS:
            self._enter(ClientState.ENDING)
        self._reply(reply)

    # ---- Replies out

    def _reply(self, reply: bytes) -> None:
        self.slots.append(ReplySlot(self, reply))
        self.count_unsent(len(reply))
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands, then see what may be done next."""
        if not self.can_write_replies():
            return
        if not self._write_due_replies() or self.is_parsing:
            return
        if self.is_parsing_blocked:
            self._parse()
        self._report_all_answered()
        self._close_if_due()

    def _write_due_replies(self) -> bool:
        """Write what is due; false if the connection ended over it."""
        assert self.transport
        while self.slots and not self.is_stuck:
            slot = self.slots[0]
            if slot.value:
                if not self._stream(slot.value):
                    break
                if self.state is ClientState.LINGERING:  # the value broke off, and the connection with it
                    return False
            elif slot.answer is None:
                break
            else:
                self.count_unsent(-len(slot.answer))
                self.transport.write(slot.answer)
                self.total_written_bytes += len(slot.answer)
            self.slots.popleft()
            self.idle_since = self.clients.loop.time()
            if self.state is ClientState.LINGERING or self.transport.is_closing():
                return False
        return True

    def _report_all_answered(self) -> None:
        """Report that everything that was read has been answered."""
        if (
            self.clients.on_all_answered
            and not self.slots
            and not self.stream.is_within_command()
            and self.takes_commands
        ):
            self.clients.on_all_answered(self)

    def _stream(self, value: StreamedValue) -> bool:
        """Write what there is of a streamed value; whether that was the last of it.

        A value that breaks off ends the connection: nothing else tells the client that it is incomplete.
        """
        assert self.transport
        # From now on the client is stuck as soon as it does not take everything.
        self.transport.set_write_buffer_limits(0)
        held = value.take()
        if held:
            self.transport.write(held)
            self.total_written_bytes += len(held)
        if not value.has_ended:
            if not self.is_stuck:
                value.source.resume()
            return False
        if not value.is_complete:
            self.clients.driver.metrics.broken_off_total += 1
            self.close(CloseReason.VALUE_BROKE_OFF)
        return True

    def count_unsent(self, added_bytes: int) -> None:
        """Count what the client is owed and has not been written; see ``ClientRegistry.count_unsent``."""
        self.unsent_bytes += added_bytes
        self.clients.count_unsent(added_bytes)

    # ---- Between requests

    def _close_if_due(self) -> None:
        """Close between requests, when it is time to.

        Commands that were read but not taken yet, as the most were in flight, are taken first: closing then
        would lose them. During the shutdown, bytes that are here unread are read first.
        """
        if self.slots or not self.can_write_replies():
            return
        if not self.takes_commands or (self.clients.is_shutting_down and self._may_close()):
            self.close()
        elif self.clients.transfer:
            self.clients.try_to_transfer(self)
        elif self.has_requested and not self.stream.is_within_command() and self.clients.is_unwanted():
            self.close_idle()

    def _may_close(self) -> bool:
        """Whether the shutdown may close it; in its grace a new one may have a command on its way."""
        return not self.has_unread_bytes() if self.clients.grace_is_over else self.is_used_and_idle()

    def _is_between_commands(self) -> bool:
        return (
            self.can_write_replies()
            and not self.slots
            and self.takes_commands
            and not self.stream.is_within_command()
            and not self.stream.is_out_of_bounds
        )

    def is_transferable(self) -> bool:
        """Whether nothing of a command has been read, and nothing of a reply is left."""
        transport = self.transport
        return (
            transport is not None
            and self._is_between_commands()
            and not transport.is_closing()
            and transport.get_write_buffer_size() == 0
        )

    def is_idle(self) -> bool:
        """Whether a close crosses nothing that is here already: no part of a command, read or unread."""
        return self._is_between_commands() and not self.has_unread_bytes()

    def is_used_and_idle(self) -> bool:
        """Whether it is idle and has been used: a new one has its first command on its way."""
        return self.has_requested and self.is_idle()

    def has_unread_bytes(self) -> bool:
        """Whether bytes, or the client's end, are here and were not read yet."""
        assert self.transport
        return self.transport.is_closing() or has_unread_bytes(
            self.transport.get_extra_info("socket").fileno()
        )

    # ---- The end

    def close(self, reason: CloseReason = CloseReason.BETWEEN_REQUESTS) -> None:
        """Half-close behind the replies that were written; commands without a reply are dropped.

        The one way to end a connection in order. What still comes is read and discarded for a short time: a
        socket that is closed over unread bytes resets its connection, and replies that the client has not
        read yet are lost with it.
        """
        if self.transport is None or self.state is ClientState.LINGERING:
            return
        self._enter(ClientState.LINGERING)
        self.close_reason = reason
        self.linger_timer = self.clients.loop.call_later(LINGER_S, self._on_lingered)
        self.clients.uncount(self)
        self.clients.lingering[self] = None
        self._drop_pending()
        self._update_reading()
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):  # the connection has ended meanwhile
            self.abort()

    def abort(self, reason: CloseReason = CloseReason.BETWEEN_REQUESTS) -> None:
        """End at once; what the client has not taken is lost. After a close the reason of that one stands."""
        self.close_reason = self.close_reason or reason
        if self.transport:
            self.transport.abort()

    def _on_lingered(self) -> None:
        """End for good; a client that is slow to take its replies has as long as any slow one."""
        if self.transport and self.transport.get_write_buffer_size():
            self.stall_timer.start(self.transport, self._on_stalled)
        else:
            self.abort()

    def _on_stalled(self) -> None:
        """Called by the stall timer: the client has taken no byte for its whole time."""
        self.abort(CloseReason.STALLED)

    def detach(self) -> None:
        """Release the socket: another process has it by now."""
        self.clients.uncount(self)
        if self.transport:
            self.transport.pause_reading()
            self.transport.abort()

    def reject_over_limit(self) -> None:
        """Answer that there are too many connections."""
        assert self.transport
        self.transport.write(b"-ERR max number of clients reached\r\n")

    def close_idle(self) -> None:
        """Close unless something is owed on it, or about to be."""
        if self.can_write_replies() and not self.slots and not self.has_unread_bytes():
            self.close()

    # ---- Slow clients

    def pause_writing(self) -> None:
        """Called by the event loop as the client takes no more for now: nothing more is read from it."""
        assert self.transport
        self.is_stuck = True
        self._update_reading()
        self.stall_timer.start(self.transport, self._on_stalled)

    def resume_writing(self) -> None:
        """Called by the event loop as the client takes data again: commands are read again, and its end."""
        self.is_stuck = False
        self._update_reading()
        if self.state is not ClientState.LINGERING:
            self.stall_timer.cancel()
        self.flush()
