"""Replies to a client's commands, which go out in the order of the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quota_gateway.net.servers import Source

if TYPE_CHECKING:
    from quota_gateway.net.clients.connection import Client


class ReplySlot:
    """Place of a command's reply in the order of its connection."""

    __slots__ = ("connection", "answer", "request_id", "value")

    def __init__(self, connection: Client, answer: bytes | None = None, request_id: str = "") -> None:
        self.connection = connection
        self.answer = answer
        self.request_id = request_id
        self.value: StreamedValue | None = None

    def fill(self, answer: bytes) -> None:
        """Take the command's one reply. Not called once the client is gone: the driver drops the answer."""
        self.answer = answer
        self.connection.owe(len(answer))
        self.connection.flush()

    def begin(self, length: int, source: Source) -> StreamedValue | None:
        """Begin the command's one reply as a streamed value; None if the client has gone."""
        if not self.connection.can_write_replies():
            return None
        self.value = StreamedValue(self.connection, length, source)
        self.connection.flush()
        return self.value


class StreamedValue:
    """A long value on its way to a client.

    Its source is paused until the value's turn in the order of replies has come, and while the client takes
    nothing: at most one read of the source is held here.
    """

    def __init__(self, connection: Client, length: int, source: Source) -> None:
        self.connection = connection
        self.source = source
        self.buffered = b"$%d\r\n" % length
        self.has_ended = False
        self.is_complete = False

    def write(self, data: bytes) -> None:
        """Take the next piece; nothing is kept for a client that has gone."""
        if not self.connection.can_write_replies():
            return
        self.buffered += data
        self.connection.flush()
        if self.buffered or self.connection.replies.is_stuck:
            self.source.pause()

    def end(self, whole: bool) -> None:
        """Take note that no more comes."""
        self.has_ended = True
        self.is_complete = whole
        if whole:
            self.buffered += b"\r\n"
        self.connection.flush()

    def take(self) -> bytes:
        """Everything that may be written now; nothing of it is held any more."""
        held = self.buffered
        self.buffered = b""
        return held
