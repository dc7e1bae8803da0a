"""An attempt at a server, as its connection sees it, and the two ends of a streamed value."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from quota_gateway.net.servers.replies import Reply

if TYPE_CHECKING:
    from quota_gateway.net.servers.connection import PooledConnection


class Sink(Protocol):
    """Receiver of a streamed value: the client's side."""

    def write(self, data: bytes) -> None:
        """Take the next piece."""

    def end(self, whole: bool) -> None:
        """Take note that no more comes; ``whole``: the value is complete."""


class Source(Protocol):
    """Sender of a streamed value: the server's side, which the receiver pauses and resumes."""

    def pause(self) -> None:
        """Read nothing more until ``resume``."""

    def resume(self) -> None:
        """Read on."""


StreamHandler = Callable[[int, Source], Sink | None]


def reject_stream(_length: int, _source: Source) -> None:
    """Stream handler of an attempt that takes no streamed value."""
    return


class Attempt:
    """A command on its way to a server. Owned by the driver until ``finish`` has been called.

    ``payload`` is called as the first byte could be written; None if by then the attempt may not begin.
    ``begun`` is called with the length when a streamed value begins; it returns the receiver, if any.
    ``done`` is called once, with the outcome.
    """

    __slots__ = ("payload", "done", "begun", "connection")

    def __init__(
        self,
        payload: Callable[[], bytes | None],
        done: Callable[[Reply], None],
        begun: StreamHandler = reject_stream,
    ) -> None:
        self.payload = payload
        self.begun = begun
        self.done: Callable[[Reply], None] | None = done
        self.connection: PooledConnection | None = None

    def finish(self, reply: Reply) -> None:
        """Report the outcome; only the first call does anything."""
        done = self.done
        self.done = None
        self.connection = None
        if done:
            done(reply)
