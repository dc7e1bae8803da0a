"""One attempt to run a command at a server, and the interfaces for the two ends of a streamed value."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from quota_gateway.net.servers.replies import Reply

if TYPE_CHECKING:
    from quota_gateway.net.servers.connection import PooledConnection


class Sink(Protocol):
    """Receives a streamed value on the client's side."""

    def write(self, data: bytes) -> None:
        """Accept the next piece of the value."""

    def end(self, whole: bool) -> None:
        """Called once after the last piece; ``whole`` says whether the value is complete."""


class Source(Protocol):
    """Delivers a streamed value from the server's side; the receiver pauses and resumes it."""

    def pause(self) -> None:
        """Stop reading from the server until ``resume`` is called."""

    def resume(self) -> None:
        """Continue reading from the server."""


StreamHandler = Callable[[int, Source], Sink | None]


def reject_stream(_length: int, _source: Source) -> None:
    """Stream handler for an attempt that accepts no streamed value."""
    return


class Attempt:
    """A command that is sent to a server once. The driver owns it until ``finish`` has been called.

    ``payload`` is called when the connection is ready for the first byte. It returns the bytes to send, or
    None if the attempt may no longer start.
    ``on_stream`` is called with the length in bytes when a streamed value begins. It returns the receiver, or
    None if there is none.
    ``on_finish`` is called once, with the outcome; it is None from then on.
    """

    __slots__ = ("payload", "on_finish", "on_stream", "connection")

    def __init__(
        self,
        payload: Callable[[], bytes | None],
        on_finish: Callable[[Reply], None],
        on_stream: StreamHandler = reject_stream,
    ) -> None:
        self.payload = payload
        self.on_stream = on_stream
        self.on_finish: Callable[[Reply], None] | None = on_finish
        self.connection: PooledConnection | None = None

    def finish(self, reply: Reply) -> None:
        """Report the outcome; calls after the first one do nothing."""
        on_finish = self.on_finish
        self.on_finish = None
        self.connection = None
        if on_finish:
            on_finish(reply)
