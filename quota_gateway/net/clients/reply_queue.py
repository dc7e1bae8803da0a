"""Queues the pending replies of one client and writes them in order."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum

from quota_gateway.net.clients.replies import ReplySlot, StreamedValue
from quota_gateway.net.clients.reply_budget import ReplyBudget

MAX_PIPELINED = 64  # commands of one connection in flight; more are read up to a limit, and wait
VALUE_PREFIX = b"$"  # of the reply to a request that was served; all other replies are short
SHED_REPLY = b"-ERR failed\r\n"  # in place of a reply for which there is no room


class WriteOutcome(Enum):
    """Result of writing the replies that are due."""

    DONE = "done"  # nothing more is due, or the write buffer is full
    VALUE_BROKE_OFF = "value broke off"  # the server did not send all of it; closing is what tells the client
    CONNECTION_CLOSING = "connection closing"


class ReplyQueue:
    """Replies in the order of their commands, and the number of bytes that are not written yet."""

    __slots__ = (
        "_budget",
        "_unanswered",
        "_awaited_behind",
        "slots",
        "is_stuck",
        "unsent_bytes",
        "total_written_bytes",
    )

    def __init__(self, budget: ReplyBudget) -> None:
        self._budget = budget  # shared by all clients
        self._unanswered = 0  # slots whose reply has not begun
        self._awaited_behind = 0  # of these, those behind another one; counted in the budget
        self.slots: deque[ReplySlot] = deque()
        # The client does not read its replies: the transport buffers more than its high-water mark, which is
        # 64 KiB, or 0 from the first streamed value on.
        self.is_stuck = False
        self.unsent_bytes = 0  # of replies that wait for earlier ones; without streamed values
        self.total_written_bytes = 0

    def is_full(self) -> bool:
        """Whether the maximum of commands is in flight."""
        return len(self.slots) >= MAX_PIPELINED

    def must_hold_commands(self) -> bool:
        """Whether a further command has to wait until replies have been written."""
        return self.is_full() or self.lacks_room()

    def lacks_room(self) -> bool:
        """Whether the reply to a further command would have to wait, and there is no room for it."""
        return bool(self.slots) and not self._budget.has_room(self.unsent_bytes, self._awaited_behind)

    # ---- The replies

    def append(self, slot: ReplySlot) -> None:
        """Add the slot of the next command, with its reply if there is one already."""
        self.slots.append(slot)
        if slot.answer is None:
            self._unanswered += 1
        else:
            self._count_unsent(len(slot.answer))
        self._count_awaited()

    def set_answer(self, slot: ReplySlot, answer: bytes) -> None:
        """Set the reply of a command that has none yet."""
        slot.answer = answer
        self._unanswered -= 1
        self._count_unsent(len(answer))
        if answer.startswith(VALUE_PREFIX):
            self._budget.expect_sizes_like(len(answer))
        self._count_awaited()

    def begin_value(self, slot: ReplySlot, value: StreamedValue) -> None:
        """Begin to stream the reply of a command that has none yet."""
        slot.value = value
        self._unanswered -= 1
        self._count_awaited()

    def shed_last(self) -> bool:
        """Replace the last complete reply by an error, as there is no room for it; false if there is none."""
        for slot in reversed(self.slots):
            if slot.answer is not None and len(slot.answer) > len(SHED_REPLY):
                self._count_unsent(len(SHED_REPLY) - len(slot.answer))
                slot.answer = SHED_REPLY
                return True
        return False

    def drop_all(self) -> deque[ReplySlot]:
        """Drop all replies of a client that no longer waits for them; returns their slots."""
        slots = self.slots
        self.slots = deque()
        self._unanswered = 0
        self._count_unsent(-self.unsent_bytes)
        self._count_awaited()
        return slots

    def _count_unsent(self, added_bytes: int) -> None:
        self.unsent_bytes += added_bytes
        self._budget.add(added_bytes)

    def _count_awaited(self) -> None:
        """Count the unanswered commands behind the first slot: their replies may have to wait."""
        is_first_unanswered = bool(self.slots) and not self.slots[0].has_begun()
        awaited_behind = self._unanswered - is_first_unanswered
        self._budget.awaited_replies += awaited_behind - self._awaited_behind
        self._awaited_behind = awaited_behind

    # ---- Writing

    def write_due(self, transport: asyncio.Transport) -> WriteOutcome:
        """Write the replies that are due, in the order of their commands."""
        while self.slots and not self.is_stuck:
            slot = self.slots[0]
            if slot.value:
                self._stream(slot.value, transport)
                if not slot.value.has_ended:
                    break
                if not slot.value.is_complete:
                    return WriteOutcome.VALUE_BROKE_OFF
            elif slot.answer is None:
                break
            else:
                self._count_unsent(-len(slot.answer))
                self._write(slot.answer, transport)
            self.slots.popleft()
            self._count_awaited()
            if transport.is_closing():
                return WriteOutcome.CONNECTION_CLOSING
        return WriteOutcome.DONE

    def _stream(self, value: StreamedValue, transport: asyncio.Transport) -> None:
        """Write the buffered part of a streamed value; resume its source unless the write buffer is full."""
        # From now on, a write that leaves bytes in the buffer calls ``pause_writing`` immediately.
        transport.set_write_buffer_limits(0)
        pending = value.take_buffered()
        if pending:
            self._write(pending, transport)
        if not value.has_ended and not self.is_stuck:
            value.source.resume()

    def _write(self, data: bytes, transport: asyncio.Transport) -> None:
        transport.write(data)
        self.total_written_bytes += len(data)
