"""Queues the pending replies of one client and writes them in order."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum

from quota_gateway.net.clients.budget import ByteBudget
from quota_gateway.net.clients.replies import ReplySlot, StreamedValue

MAX_PIPELINED = 64  # commands of one connection in flight; more are read up to a limit, and wait


class WriteOutcome(Enum):
    """Result of writing the replies that are due."""

    DONE = "done"  # nothing more is due, or the write buffer is full
    VALUE_BROKE_OFF = "value broke off"  # the server did not send all of it; closing is what tells the client
    CONNECTION_CLOSING = "connection closing"


class ReplyQueue:
    """Replies in the order of their commands, and the number of bytes that are not written yet."""

    __slots__ = ("_unsent_budget", "slots", "is_stuck", "unsent_bytes", "total_written_bytes")

    def __init__(self, unsent_budget: ByteBudget) -> None:
        self._unsent_budget = unsent_budget  # shared by all clients
        self.slots: deque[ReplySlot] = deque()
        # The client does not read its replies: the transport buffers more than its high-water mark, which is
        # 64 KiB, or 0 from the first streamed value on.
        self.is_stuck = False
        self.unsent_bytes = 0  # of replies that wait for earlier ones; without streamed values
        self.total_written_bytes = 0

    def is_full(self) -> bool:
        """Whether the maximum of commands is in flight."""
        return len(self.slots) >= MAX_PIPELINED

    def count_unsent(self, added_bytes: int) -> None:
        """Add to the bytes that wait to be written; negative when they are written or dropped."""
        self.unsent_bytes += added_bytes
        self._unsent_budget.add(added_bytes)

    def drop_all(self) -> deque[ReplySlot]:
        """Drop all replies of a client that no longer waits for them; returns their slots."""
        slots = self.slots
        self.slots = deque()
        self.count_unsent(-self.unsent_bytes)
        return slots

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
                self.count_unsent(-len(slot.answer))
                self._write(slot.answer, transport)
            self.slots.popleft()
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
