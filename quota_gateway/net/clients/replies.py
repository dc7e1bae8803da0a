"""The reply to one command of a client: complete, or streamed from a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quota_gateway.net.servers import Source

if TYPE_CHECKING:
    from quota_gateway.net.clients.connection import Client


class ReplySlot:
    """A command's position in the order of replies, and its reply once there is one."""

    __slots__ = ("connection", "answer", "request_id", "value")

    def __init__(self, connection: Client, answer: bytes | None = None, request_id: str = "") -> None:
        self.connection = connection
        self.answer = answer
        self.request_id = request_id
        self.value: StreamedValue | None = None

    def has_begun(self) -> bool:
        """Whether the reply is there, or has begun to be streamed."""
        return self.answer is not None or self.value is not None

    def fill(self, answer: bytes) -> None:
        """Set the command's reply. Not called after a disconnect, as the driver then drops the answer."""
        self.connection.replies.set_answer(self, answer)
        self.connection.flush()

    def begin(self, length: int, source: Source) -> StreamedValue | None:
        """Begin the command's reply as a streamed value; None if the client has disconnected."""
        if not self.connection.can_write_replies():
            return None
        value = StreamedValue(self.connection, length, source)
        self.connection.replies.begin_value(self, value)
        self.connection.flush()
        return value


class StreamedValue:
    """A long value that is passed on to a client as it arrives from a server.

    Its source is paused until all earlier replies are written, and while the client reads nothing, so at most
    one read of the source is buffered here.
    """

    def __init__(self, connection: Client, length: int, source: Source) -> None:
        self.connection = connection
        self.source = source
        self.buffered = b"$%d\r\n" % length
        self.has_ended = False
        self.is_complete = False

    def write(self, data: bytes) -> None:
        """Add the next piece; it is dropped if the client has disconnected."""
        if not self.connection.can_write_replies():
            return
        self.buffered += data
        self.connection.flush()
        if self.buffered or self.connection.replies.is_stuck:
            self.source.pause()

    def end(self, whole: bool) -> None:
        """End the value; ``whole``: it is complete."""
        self.has_ended = True
        self.is_complete = whole
        if whole:
            self.buffered += b"\r\n"
        self.connection.flush()

    def take_buffered(self) -> bytes:
        """Return the buffered bytes and clear the buffer."""
        pending = self.buffered
        self.buffered = b""
        return pending
