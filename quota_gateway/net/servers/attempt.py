"""An attempt at a server, as its connection sees it, and the two ends of a streamed value."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from quota_gateway.net.servers.replies import Reply

if TYPE_CHECKING:
    from quota_gateway.net.servers.connection import Connection


class Sink(Protocol):
    """Where a long value goes."""

    def write(self, data: bytes) -> None:
        """The next piece."""

    def end(self, whole: bool) -> None:
        """No more comes."""


class Source(Protocol):
    """Where a long value comes from."""

    def pause(self) -> None:
        """Give nothing until ``resume``."""

    def resume(self) -> None:
        """Give more."""


class Attempt:
    """A command on its way to a server; ``done`` is called once with what came of it.

    ``payload`` is asked for as the first byte could go out: None if by then it may not go any more.
    ``begun`` is called when a long value begins, with its length; it says where that goes, if anywhere.
    """

    __slots__ = ("payload", "done", "begun", "connection")

    def __init__(
        self,
        payload: Callable[[], bytes | None],
        done: Callable[[Reply], None],
        begun: Callable[[int, Source], Sink | None] = lambda _length, _source: None,
    ) -> None:
        self.payload = payload
        self.begun = begun
        self.done: Callable[[Reply], None] | None = done
        self.connection: Connection | None = None

    def finish(self, reply: Reply) -> None:
        """Tell the outcome, the first only."""
        done = self.done
        self.done = None
        self.connection = None
        if done:
            done(reply)
