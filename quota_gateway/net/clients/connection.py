"""One client's connection: commands in, replies out in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import TYPE_CHECKING, cast

from quota_gateway.errors import ProtocolError
from quota_gateway.net.clients.command_stream import CommandStream
from quota_gateway.net.clients.command_timer import CommandTimer
from quota_gateway.net.clients.read_throttle import ReadThrottle
from quota_gateway.net.clients.replies import ReplySlot
from quota_gateway.net.clients.reply_queue import ReplyQueue, WriteOutcome
from quota_gateway.net.clients.stall_timer import StallTimer
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.sockets import has_unread_bytes
from quota_gateway.state_machine import transition

if TYPE_CHECKING:
    from quota_gateway.net.clients.registry import ClientRegistry

log = logging.getLogger(__name__)

LINGER_S = 0.4  # for what still comes behind a close; LINGER_S + COMMAND_TIMEOUT_S stay below 3 s


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
    """One client's connection. Owned by ``ClientRegistry``, which counts it and decides when it may go.

    Its parts know nothing of each other or of it: ``stream`` parses, ``throttle`` pauses reading,
    ``command_timer`` bounds the wait for a command, ``replies`` keeps the order. This class is what joins
    them: each event of the transport, and each reply that comes, leads through ``_parse`` or ``flush``.

    Calls that come back within a call: writing may call ``pause_writing``, a command that is answered at once
    calls ``flush`` within ``_parse``, and ``flush`` calls ``_parse`` where commands wait for a free place.

    There is no ``eof_received``: a client that closes its direction counts as gone, and what it is owed is
    dropped.
    """

    def __init__(self, clients: ClientRegistry, waited_s: float = 0.0) -> None:
        self.clients = clients
        self.state = ClientState.OPEN
        self.close_reason: CloseReason | None = None  # None until this gateway ends it
        self.transport: asyncio.Transport | None = None
        self.opened_at_s = clients.loop.time()
        self.idle_since = self.opened_at_s
        self.has_requested = False  # a request has come: clients keep such connections between their requests
        self.retained_id = 0  # the number under which the process before this one keeps a copy of it
        self.linger_timer: asyncio.TimerHandle | None = None

        # Commands in
        self.stream = CommandStream()
        self.throttle = ReadThrottle(clients.waiting)
        self.command_timer = CommandTimer(clients.loop, waited_s)
        self.is_parsing = False
        self.is_parsing_blocked = False  # the most are in flight, or the client is stuck: commands wait
        self.last_read_ms = 0.0  # when the latest bytes came, by the driver's clock
        self.bad_commands = 0  # in a row
        self.total_read_bytes = 0  # in all

        # Replies out
        self.replies = ReplyQueue(clients.unsent)
        self.stall_timer = StallTimer()

    def _enter(self, state: ClientState) -> None:
        self.state = transition("connection of a client", TRANSITIONS, self.state, state)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is up."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        if not self.has_requested:
            self.command_timer.start(self._on_command_timeout)
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
        self.command_timer.stop()
        self.throttle.set_waiting(0)
        slots = self.replies.drop_all()
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
        self.total_read_bytes += nbytes
        if self._is_discarding():
            self._discard(nbytes)
        else:
            self._take_bytes(bytes(self.clients.buffer[:nbytes]))

    def _is_discarding(self) -> bool:
        """Whether what comes is behind the last command that is taken."""
        return not self.takes_commands or self.stream.is_out_of_bounds

    def _discard(self, nbytes: int) -> None:
        """Read and discard what comes behind the last command, up to a bound.

        Only so is the client's end seen, and a close does not reset the connection under the answers before
        it. At the bound reading is paused, and a client that still sends once it lingers is cut off.
        """
        self.throttle.discarded_bytes += nbytes
        if self.state is ClientState.LINGERING and self.throttle.is_discard_exhausted():
            self.end_lingering()
        else:
            self._update_reading()

    def _take_bytes(self, data: bytes) -> None:
        self.clients.connections.move_to_end(self)  # the last to be evicted
        self.idle_since = self.clients.loop.time()
        self.last_read_ms = self.clients.driver.clock()
        self.command_timer.on_bytes()
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
                self.reject_protocol()
                break
            if command is None:
                break
            self.command_timer.stop()
            self.clients.dispatcher.dispatch(self, command)
        self.is_parsing = False
        self.is_parsing_blocked = self._is_full()
        is_command_due = self.stream.is_within_command() or not self.has_requested
        if is_command_due and not self.command_timer.is_running:
            self.command_timer.start(self._on_command_timeout)
        self._update_reading()
        self._report_all_answered()
        self._close_if_due()

    def _is_full(self) -> bool:
        return self.replies.is_stuck or self.replies.is_full()

    def _update_reading(self) -> None:
        """Pause or resume reading; called whenever what it depends on may have changed."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._is_discarding():
            is_pause_due = self.throttle.is_discard_exhausted()
        else:
            self.throttle.set_waiting(self.stream.bytes_since_command if self.replies.is_full() else 0)
            is_pause_due = self.replies.is_stuck or self.throttle.is_over_budget()
        self.throttle.apply(self.transport, is_pause_due)

    def _on_command_timeout(self) -> None:
        self.command_timer.expired()
        # Where complete commands may wait behind those in flight, the peer is not late.
        if self.is_parsing_blocked or (self._is_body_due() and self.command_timer.grant_body_round()):
            self.command_timer.start(self._on_command_timeout)
        elif self.takes_commands:
            self.take_no_more_commands()
            if self.stream.is_within_command():
                self.reply(b"-ERR no whole command in time\r\n")
            self._update_reading()
            self._close_if_due()

    def _is_body_due(self) -> bool:
        """Whether all that is missing of a command is its body, on a connection that has been used."""
        return self.has_requested and self.stream.is_in_body()

    def take_no_more_commands(self) -> None:
        """Close after the replies that are owed."""
        self._enter(ClientState.ENDING)

    def reject_protocol(self) -> None:
        """Answer what is not RESP with an error; the connection closes after the replies before it."""
        self.take_no_more_commands()
        self.reply(b"-ERR Protocol error\r\n")

    # ---- Replies out

    def reply(self, reply: bytes) -> None:
        """Answer a command at once, in its place."""
        self.replies.slots.append(ReplySlot(self, reply))
        self.owe(len(reply))
        self.flush()

    def owe(self, added_bytes: int) -> None:
        """Count bytes of a reply that waits to be written."""
        self.replies.count_unsent(added_bytes)
        self.clients.enforce_unsent_budget()

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
        owed = len(self.replies.slots)
        outcome = self.replies.write_due(self.transport)
        if len(self.replies.slots) < owed:
            self.idle_since = self.clients.loop.time()
        if outcome is WriteOutcome.VALUE_BROKE_OFF:
            self.clients.driver.metrics.broken_off_total += 1
            self.close(CloseReason.VALUE_BROKE_OFF)
        return outcome is WriteOutcome.DONE

    def _report_all_answered(self) -> None:
        """Report that everything that was read has been answered."""
        if (
            self.clients.on_all_answered
            and not self.replies.slots
            and not self.stream.is_within_command()
            and self.takes_commands
        ):
            self.clients.on_all_answered(self)

    # ---- Slow clients

    def pause_writing(self) -> None:
        """Called by the event loop as the client takes no more for now: no further command is read."""
        assert self.transport
        self.replies.is_stuck = True
        self._update_reading()
        self.stall_timer.start(self.transport, self._on_stalled)

    def resume_writing(self) -> None:
        """Called by the event loop as the client takes data again: commands are read again, and its end."""
        self.replies.is_stuck = False
        self._update_reading()
        if self.state is not ClientState.LINGERING:
            self.stall_timer.cancel()
        self.flush()

    def _on_stalled(self) -> None:
        """Called by the stall timer: the client has taken no byte for its whole time."""
        self.abort(CloseReason.STALLED)

    # ---- Between requests

    def _close_if_due(self) -> None:
        """Close between requests, when it is time to.

        Commands that were read but not taken yet, as the most were in flight, are taken first: closing then
        would lose them. During the shutdown, bytes that are here unread are read first.
        """
        if self.replies.slots or not self.can_write_replies():
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
            and not self.replies.slots
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

    def close(self, reason: CloseReason = CloseReason.IN_ORDER) -> None:
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
            self.end_lingering()

    def close_idle(self) -> None:
        """Close unless something is owed on it, or about to be."""
        if self.can_write_replies() and not self.replies.slots and not self.has_unread_bytes():
            self.close()

    def abort(self, reason: CloseReason) -> None:
        """End at once; what the client has not taken is lost. After a close the reason of that one stands."""
        self.close_reason = self.close_reason or reason
        self.end_lingering()

    def end_lingering(self) -> None:
        """End a connection that was closed before; what it still has to write is lost."""
        if self.transport:
            self.transport.abort()

    def _on_lingered(self) -> None:
        """End for good; a client that is slow to take its replies has as long as any slow one."""
        if self.transport and self.transport.get_write_buffer_size():
            self.stall_timer.start(self.transport, self._on_stalled)
        else:
            self.end_lingering()

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
