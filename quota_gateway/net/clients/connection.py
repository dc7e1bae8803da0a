"""One client's connection: reads commands and writes replies in the order of the commands."""

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
from quota_gateway.net.metrics import AwaitedCommand
from quota_gateway.net.sockets import has_unread_bytes
from quota_gateway.net.tcp_info import has_peer_closed, tells_state
from quota_gateway.state_machine import transition

if TYPE_CHECKING:
    from quota_gateway.net.clients.registry import ClientRegistry

log = logging.getLogger(__name__)

MAX_COMMANDS_PER_TURN = 8  # of one connection, before the event loop serves the others

# How long input is discarded after a half-close. LINGER_S + COMMAND_TIMEOUT_S is below 3 s, the limit that
# command_timer.py gives.
LINGER_S = 0.4


class ClientState(Enum):
    """State of a client's connection."""

    OPEN = "open"
    ENDING = "ending"  # takes no further command; closes once the earlier replies are written
    LINGERING = "lingering"  # half-closed: writes no more replies and discards all input
    CLOSED = "closed"


TRANSITIONS = {
    ClientState.OPEN: frozenset({ClientState.ENDING, ClientState.LINGERING, ClientState.CLOSED}),
    ClientState.ENDING: frozenset({ClientState.LINGERING, ClientState.CLOSED}),
    ClientState.LINGERING: frozenset({ClientState.CLOSED}),
    ClientState.CLOSED: frozenset(),
}


class Client(asyncio.BufferedProtocol):
    """One client's connection. Owned by ``ClientRegistry``, which counts it and limits how many there are.

    Its parts are independent of each other and of this class: ``stream`` parses, ``throttle`` pauses reading,
    ``command_timer`` limits the wait for a command, ``replies`` keeps the order. This class connects them:
    each transport event and each reply leads to ``_parse`` or ``flush``.

    Some calls are reentrant: writing may call ``pause_writing``, a command that is answered immediately calls
    ``flush`` within ``_parse``, and ``flush`` calls ``_parse`` if commands wait for others to be answered.

    There is no ``eof_received``: a client that half-closes its connection counts as disconnected, and its
    pending replies are dropped.
    """

    def __init__(self, clients: ClientRegistry) -> None:
        self.clients = clients
        self.state = ClientState.OPEN
        self.close_reason: CloseReason | None = None  # None unless this gateway ended the connection
        self.transport: asyncio.Transport | None = None
        self.tells_state = False  # the kernel tells whether the client has closed the connection
        self.opened_at_s = clients.loop.time()
        self.idle_since = self.opened_at_s
        self.has_requested = False  # a request was received; clients now keep it open between requests
        self.waited_s = 0.0  # for a first request, in the process that the connection was adopted from
        self.retained_id = 0  # of the copy that the predecessor of a hot restart keeps; 0 for none
        self.linger_timer: asyncio.TimerHandle | None = None

        # Incoming commands
        self.stream = CommandStream()
        self.throttle = ReadThrottle(clients.command_budget)
        self.command_timer = CommandTimer(clients.loop)
        self.is_parsing = False
        self.next_turn: asyncio.Handle | None = None  # parses and reads on; until then reading is paused
        self.is_parsing_blocked = False  # a command has to wait: maximum in flight, no room, replies unread
        self.bad_commands = 0  # consecutive ones
        self.total_read_bytes = 0

        # Outgoing replies
        self.replies = ReplyQueue(clients.reply_budget)
        self.has_shed = False  # a reply was replaced by an error, for lack of room
        self.stall_timer = StallTimer()

    def _enter(self, state: ClientState) -> None:
        self.state = transition("connection of a client", TRANSITIONS, self.state, state)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is established."""
        # No isinstance check: uvloop's transports don't inherit from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self.tells_state = tells_state(self.transport.get_extra_info("socket").fileno())
        if not self.has_requested:
            self.command_timer.start(self._on_command_timeout, self.waited_s)
        self.clients.register(self)
        if self.clients.is_shutting_down:  # adopted after the shutdown flushed all connections
            self.clients.loop.call_soon(self.flush)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop once the connection has ended."""
        self._enter(ClientState.CLOSED)
        self.transport = None
        self.stall_timer.cancel()
        if self.linger_timer:
            self.linger_timer.cancel()
        if self.next_turn:
            self.next_turn.cancel()
        self.clients.unregister(self)
        self.clients.lingering.pop(self, None)
        self._drop_replies()

    def can_write_replies(self) -> bool:
        """Whether the connection still accepts replies."""
        return self.transport is not None and self.state is not ClientState.LINGERING

    @property
    def takes_commands(self) -> bool:
        """Whether further commands are taken."""
        return self.state is ClientState.OPEN

    def _drop_replies(self) -> None:
        """Drop all pending replies and report the disconnect for each unanswered request to the driver."""
        self.command_timer.stop()
        self.throttle.set_waiting(0)
        self._drop_unparsed_commands()
        unsent_bytes = self.replies.unsent_bytes
        slots = self.replies.drop_all()
        if slots and self.close_reason:
            log.warning(
                "closed a client's connection with %d replies pending: %s (%d answered, %d bytes; the client"
                " %s)",
                len(slots),
                self.close_reason.value,
                sum(slot.answer is not None for slot in slots),
                unsent_bytes,
                "reads nothing" if self.replies.is_stuck else "has read all that was written",
            )
        for slot in slots:
            if slot.answer is None:
                self.clients.driver.client_disconnected(slot.request_id, self.close_reason)
        self.clients.on_replies_changed()

    def _drop_unparsed_commands(self) -> None:
        """Drop the commands that were read but not parsed; count them if this gateway is what closes."""
        dropped = self.stream.drop_unparsed()
        if dropped and self.close_reason:
            self.clients.driver.metrics.dropped_commands_total += dropped
            log.warning(
                "closed a client's connection with %d commands read and not handled: %s (%d bytes unsent)",
                dropped,
                self.close_reason.value,
                self.transport.get_write_buffer_size() if self.transport else 0,
            )

    # ---- Incoming commands

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Buffer for the next read. All connections share one, as each read is consumed immediately."""
        return self.clients.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop once bytes are in the buffer."""
        self.total_read_bytes += nbytes
        if self._is_discarding():
            self._discard(nbytes)
        else:
            self._take_bytes(bytes(self.clients.buffer[:nbytes]))

    def _is_discarding(self) -> bool:
        """Whether input is discarded, as no further command is taken."""
        return not self.takes_commands or self.stream.is_out_of_bounds

    def _discard(self, nbytes: int) -> None:
        """Read and discard what follows the last command.

        Reading on is the only way to detect that the client disconnects: its requests that wait must not be
        forwarded then. It also keeps a close from resetting the connection before the client has read the
        earlier replies. Beyond a limit there is one read a turn, and a connection that lingers is aborted.
        """
        self.throttle.discarded_bytes += nbytes
        is_exhausted = self.throttle.is_discard_exhausted()
        if is_exhausted and self.state is ClientState.LINGERING:
            self.end_lingering()
            return
        if is_exhausted:
            self._await_next_turn()
        self._update_reading()

    def _take_bytes(self, data: bytes) -> None:
        self.clients.connections.move_to_end(self)  # most recently used: evicted last
        self.idle_since = self.clients.loop.time()
        self.command_timer.on_bytes()
        self.stream.feed(data, self.clients.driver.clock())
        if len(data) == len(self.clients.buffer):  # more is probably there, which the loop would read at once
            self._await_next_turn()
        self._parse()

    def _parse(self) -> None:
        """Dispatch the complete commands that were read, up to the maximum in flight and for one turn.

        Guards against a peer that sends small commands at full speed: others would wait until all that it has
        sent is handled. The rest of them waits for the next turn, and so does reading on.

        A command that is answered immediately calls ``flush``, which would call this method again;
        ``is_parsing`` prevents that.
        """
        self.is_parsing = True
        commands_left = MAX_COMMANDS_PER_TURN
        while self.takes_commands and self.transport and not self._must_block_parsing():
            if not commands_left:
                self._await_next_turn()
                break
            commands_left -= 1
            try:
                command = self.stream.next_command()
            except ProtocolError:
                self.reject_protocol_error()
                break
            if command is None:
                break
            self.command_timer.stop()
            self.clients.dispatcher.dispatch(self, command)
        self.is_parsing = False
        self.is_parsing_blocked = self._must_block_parsing()
        self.clients.note_awaits_room(self)
        awaits_command = self.stream.is_within_command() or not self.has_requested
        if awaits_command and not self.command_timer.is_running:
            self.command_timer.start(self._on_command_timeout)
        self._update_reading()
        self._report_all_answered()
        self._close_if_due()

    def _await_next_turn(self) -> None:
        if self.next_turn is None:
            self.next_turn = self.clients.loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Go on parsing, and reading, after the event loop has served other connections."""
        self.next_turn = None
        if not self.transport or self.transport.is_closing():
            return
        if self.takes_commands:  # also if invalid bytes follow the commands that wait
            self._parse()
        else:
            self._update_reading()

    def _must_block_parsing(self) -> bool:
        return self.replies.is_stuck or self.replies.must_hold_commands()

    def _update_reading(self) -> None:
        """Pause or resume reading; called whenever one of its conditions may have changed."""
        if self.transport is None or self.transport.is_closing():
            return
        should_pause = self.next_turn is not None
        if not self._is_discarding():
            holds_commands = self.replies.must_hold_commands()
            self.throttle.set_waiting(self.stream.waiting_bytes() if holds_commands else 0)
            should_pause = should_pause or self.replies.is_stuck or self.throttle.is_over_budget()
        self.throttle.apply(self.transport, should_pause)
        # While parsing is blocked, complete commands may be waiting unparsed: the peer is not late.
        self.command_timer.set_suspended(should_pause or self.is_parsing_blocked)

    def _on_command_timeout(self) -> None:
        if self._awaits_body() and self.command_timer.grant_body_extension():
            self.command_timer.start(self._on_command_timeout)
        elif self.takes_commands:
            self._report_command_timeout()
            self.stop_taking_commands()
            if self.stream.is_within_command():
                self.reply(b"-ERR no whole command in time\r\n")
            self._update_reading()
            self._close_if_due()

    def _report_command_timeout(self) -> None:
        """Count a command that did not arrive in time; log it if the peer has proved to be a real client."""
        self.clients.driver.metrics.command_timeouts[AwaitedCommand.of(self.has_requested)] += 1
        if self.has_requested:
            log.warning(
                "no complete command came within %.2f s (%d bytes read behind the last; open for %.1f s)",
                self.command_timer.timeout_s,
                self.stream.bytes_since_command,
                self.clients.loop.time() - self.opened_at_s,
            )

    def _awaits_body(self) -> bool:
        """Whether only the rest of a command's body is missing, on a connection that has sent a request."""
        return self.has_requested and self.stream.is_in_body()

    def stop_taking_commands(self) -> None:
        """Take no further command, and close after the pending replies."""
        self._enter(ClientState.ENDING)
        self.stream.drop_unparsed()

    def reject_protocol_error(self) -> None:
        """Answer malformed RESP with an error and close after it; earlier commands are answered first."""
        self.stop_taking_commands()
        self.reply(b"-ERR Protocol error\r\n")

    # ---- Outgoing replies

    def reply(self, reply: bytes) -> None:
        """Answer a command immediately; the reply is written after those of earlier commands."""
        self.replies.append(ReplySlot(self, reply))
        self.flush()

    def shed_last_reply(self) -> bool:
        """Replace the last reply that waits by an error, for lack of room; false if none is left."""
        has_shed = self.replies.shed_last()
        if has_shed:
            self.clients.driver.metrics.shed_replies_total += 1
            if not self.has_shed:
                log.warning("replies that wait for an earlier one become errors: too many bytes wait in all")
            self.has_shed = True
        return has_shed

    def go_on_parsing(self) -> None:
        """Dispatch commands that were read and wait, if they need not wait any longer."""
        if self.is_parsing_blocked and not self.is_parsing and self.next_turn is None:
            self._parse()

    def flush(self) -> None:
        """Write the replies that are due, in order; then parse waiting commands and close if necessary."""
        if self.can_write_replies() and self._write_due_replies() and not self.is_parsing:
            self.go_on_parsing()
            self._report_all_answered()
            self._close_if_due()
        self.clients.on_replies_changed()

    def _write_due_replies(self) -> bool:
        """Write the replies that are due; false if the connection was closed or is closing."""
        assert self.transport
        pending_before = len(self.replies.slots)
        outcome = self.replies.write_due(self.transport)
        if len(self.replies.slots) < pending_before:
            self.idle_since = self.clients.loop.time()
        if outcome is WriteOutcome.VALUE_BROKE_OFF:
            if self.close_reason is None:  # otherwise it is this gateway that ended the value
                self.clients.driver.metrics.broken_off_total += 1
            self.close(CloseReason.VALUE_BROKE_OFF)
        return outcome is WriteOutcome.DONE

    def _report_all_answered(self) -> None:
        """Call ``on_all_answered`` if everything that was read has been answered."""
        if (
            self.clients.on_all_answered
            and not self.owes_reply()
            and not self.stream.is_within_command()
            and self.takes_commands
        ):
            self.clients.on_all_answered(self)

    # ---- Slow clients

    def pause_writing(self) -> None:
        """Called by the event loop when the write buffer is full: no further command is read."""
        assert self.transport
        self.replies.is_stuck = True
        self._update_reading()
        self.stall_timer.start(self.transport, self._on_stalled)

    def resume_writing(self) -> None:
        """Called by the event loop when the write buffer has drained: resumes reading and writing."""
        self.replies.is_stuck = False
        self._update_reading()
        if self.state is not ClientState.LINGERING:
            self.stall_timer.cancel()
        self.flush()

    def _on_stalled(self) -> None:
        """Called by the stall timer: the client has read nothing for the whole timeout."""
        self.abort(CloseReason.STALLED)

    # ---- Between requests

    def owes_reply(self) -> bool:
        """Whether a command that was read has no reply yet, or one that is not written yet.

        Commands that wait in the parser count: behind unread replies no slot stands for them.
        """
        return bool(self.replies.slots) or self.stream.unparsed_commands() > 0

    def has_unsent_bytes(self) -> bool:
        """Whether bytes of replies that were written are still in this process's buffer."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def owes_answer(self) -> bool:
        """Whether anything that was read or written here is still owed an answer, or the rest of one.

        Every choice of a connection to close asks this. An orderly ``close`` still sends what was written, so
        it may do with ``owes_reply``.
        """
        return self.owes_reply() or self.has_unsent_bytes()

    def _close_if_due(self) -> None:
        """Close or transfer the connection if no reply is owed and there is a reason to.

        During the shutdown, bytes that the kernel has received are read first.
        """
        if self.owes_reply() or not self.can_write_replies():
            return
        if not self.takes_commands or (self.clients.is_shutting_down and self._may_close_at_shutdown()):
            self.close()
        elif self.clients.transfer:
            self.clients.try_to_transfer(self)
        elif self.has_requested and not self.stream.is_within_command() and self.clients.should_close_idle():
            self.close_idle()

    def _may_close_at_shutdown(self) -> bool:
        """Whether the shutdown may close it; in the grace period a first command may still be on its way."""
        if self.clients.finishes_owed_only:
            return True
        if self.clients.grace_is_over:
            return not self.has_unread_bytes()
        return self.has_requested and self.can_close_in_order()

    def _is_between_commands(self) -> bool:
        return (
            self.can_write_replies()
            and not self.owes_reply()
            and self.takes_commands
            and not self.stream.is_within_command()
            and not self.stream.is_out_of_bounds
        )

    def is_transferable(self) -> bool:
        """Whether no part of a command has been read and no part of a reply is still to be sent."""
        transport = self.transport
        return (
            transport is not None
            and self._is_between_commands()
            and not transport.is_closing()
            and not self.has_unsent_bytes()
        )

    def can_close_in_order(self) -> bool:
        """Whether ``close`` would lose no part of a command that has arrived, read or unread."""
        return self._is_between_commands() and not self.has_unread_bytes()

    def is_idle(self) -> bool:
        """Whether nothing is owed on it, so that it could also be ended without a half-close."""
        return not self.has_unsent_bytes() and self.can_close_in_order()

    def has_unread_bytes(self) -> bool:
        """Whether the kernel has received bytes, or the client's disconnect, that were not read yet."""
        assert self.transport
        return self.transport.is_closing() or has_unread_bytes(
            self.transport.get_extra_info("socket").fileno()
        )

    # ---- Closing

    def has_left(self) -> bool:
        """Whether the client has closed the connection, even behind bytes that were not read yet.

        Its requests are then reported as disconnected, and the connection is ended.
        """
        if self.transport is None:
            return True
        if not self.tells_state or not has_peer_closed(self.transport.get_extra_info("socket").fileno()):
            return False
        self._drop_replies()
        self.transport.abort()
        return True

    def close(self, reason: CloseReason = CloseReason.IN_ORDER) -> None:
        """Half-close after the replies that were written; commands without a reply are dropped.

        The reason of an earlier ``abort`` is kept.

        This is the only orderly way to end a connection. Input is read and discarded for ``LINGER_S``, as
        closing a socket with unread bytes resets the connection and loses replies that the client has not
        read yet.
        """
        if self.transport is None or self.state is ClientState.LINGERING:
            return
        self._enter(ClientState.LINGERING)
        self.close_reason = self.close_reason or reason
        self.linger_timer = self.clients.loop.call_later(LINGER_S, self._on_linger_timeout)
        self.clients.unregister(self)
        self.clients.lingering[self] = None
        self._drop_replies()
        self._update_reading()
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):  # the connection has ended meanwhile
            self.end_lingering()

    def close_idle(self) -> None:
        """Close unless replies are owed or unread bytes have arrived."""
        if self.can_write_replies() and not self.owes_reply() and not self.has_unread_bytes():
            self.close()

    def abort(self, reason: CloseReason) -> None:
        """End immediately; unread replies are lost. The reason of an earlier ``close`` is kept."""
        self.close_reason = self.close_reason or reason
        self.end_lingering()

    def end_lingering(self) -> None:
        """End the connection immediately; replies in the write buffer are lost."""
        if self.transport:
            self.transport.abort()

    def _on_linger_timeout(self) -> None:
        """End the connection; a client that has replies left to read gets the usual stall timeout first."""
        if self.transport and self.transport.get_write_buffer_size():
            self.stall_timer.start(self.transport, self._on_stalled)
        else:
            self.end_lingering()

    def detach(self) -> None:
        """Stop using the socket: it was transferred to another process."""
        self.clients.unregister(self)
        if self.transport:
            self.transport.pause_reading()
            self.transport.abort()

    def reject_over_limit(self) -> None:
        """Reply that there are too many connections."""
        assert self.transport
        self.transport.write(b"-ERR max number of clients reached\r\n")
