"""The replies that one client is owed, and how they are written."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum

from quota_gateway.net.clients.budget import ByteBudget
from quota_gateway.net.clients.replies import ReplySlot, StreamedValue

MAX_PIPELINED = 64  # commands of one connection in flight; more are read up to a bound, and wait


class WriteOutcome(Enum):
    """How writing what is due has ended."""

    DONE = "done"  # nothing more is due, or the client takes no more for now
    VALUE_BROKE_OFF = "value broke off"  # the connection has to end: nothing else tells the client
    CONNECTION_CLOSING = "connection closing"


class ReplyQueue:
    """Replies in the order of their commands, and the bytes of those that are not written yet."""

    __slots__ = ("_unsent_budget", "slots", "is_stuck", "unsent_bytes", "total_written_bytes")

    def __init__(self, unsent_budget: ByteBudget) -> None:
        self._unsent_budget = unsent_budget  # over all clients
        self.slots: deque[ReplySlot] = deque()
        # The client does not take its replies: the transport holds more than its high-water mark, 64 KiB or,
        # behind a streamed value, nothing.
        self.is_stuck = False
        self.unsent_bytes = 0  # of replies that wait for their turn; not of streamed values
        self.total_written_bytes = 0  # in all

    def is_full(self) -> bool:
        """Whether as many commands are in flight as may be."""
        return len(self.slots) >= MAX_PIPELINED

    def count_unsent(self, added_bytes: int) -> None:
        """Count bytes of replies that wait for their turn; negative as they go to the transport."""
        self.unsent_bytes += added_bytes
        self._unsent_budget.add(added_bytes)

    def drop_all(self) -> deque[ReplySlot]:
        """Forget all replies, as nobody waits for them any more; returns their places."""
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
        """Write what there is of a streamed value; its source goes on while the client takes everything."""
        # From now on, a write that leaves anything over calls ``pause_writing`` at once.
        transport.set_write_buffer_limits(0)
        held = value.take()
        if held:
            self._write(held, transport)
        if not value.has_ended and not self.is_stuck:
            value.source.resume()

    def _write(self, data: bytes, transport: asyncio.Transport) -> None:
        transport.write(data)
        self.total_written_bytes += len(data)
