"""Limit on the bytes of replies that wait in this process, over all client connections."""

from __future__ import annotations

from quota_gateway.net.clients.budget import ByteBudget
from quota_gateway.net.declared_lengths import STREAMED_VALUE_BYTES

MAX_UNSENT_BYTES = 8 * 1024 * 1024  # of replies that wait to be written
OWN_SHARES_RATIO = 0.5  # of the limit, divided equally; the rest and unused shares are for whoever needs them
EXPECTED_SIZE_DECAY = 0.98  # per reply, of the size that is expected of further ones


class ReplyBudget(ByteBudget):
    """The bytes of replies that wait, and the bytes expected of the replies that will have to.

    A reply has to wait if an earlier request of its connection has not been answered, or if the client does
    not read. Requests behind an unanswered one are started only while there is room for their replies, so
    that the limit costs time and no replies. The size of a reply is known only once it is there: expected is
    the largest one of late, as too little room costs more than commands that wait.
    """

    __slots__ = ("awaited_replies", "expected_bytes", "open_connections", "own_share_bytes")

    def __init__(self, most_connections: int) -> None:
        super().__init__(MAX_UNSENT_BYTES)
        self.awaited_replies = 0  # of requests in flight that are behind another one on their connection
        self.expected_bytes = float(STREAMED_VALUE_BYTES)  # of one reply; longer ones are streamed
        self.open_connections = 0
        self.divide(most_connections)

    def divide(self, most_connections: int) -> None:
        """Set each connection's own share, which it may use however much the others use."""
        self.own_share_bytes = self.limit_bytes * OWN_SHARES_RATIO / most_connections

    def expect_sizes_like(self, reply_bytes: int) -> None:
        """Learn from the size of a reply what to expect of further ones."""
        self.expected_bytes = max(float(reply_bytes), self.expected_bytes * EXPECTED_SIZE_DECAY)

    def has_room(self, unsent_bytes: int, awaited_replies: int) -> bool:
        """Whether one more reply of a connection may have to wait; the arguments are what it uses so far."""
        shared_bytes = self.limit_bytes - self.open_connections * self.own_share_bytes
        if self.used_bytes + (self.awaited_replies + 1) * self.expected_bytes <= shared_bytes:
            return True
        return unsent_bytes + (awaited_replies + 1) * self.expected_bytes <= self.own_share_bytes
