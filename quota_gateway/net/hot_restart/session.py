"""Session with the peer process: a link that carries decoded messages, and a heartbeat."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

from quota_gateway.net.heartbeat import Heartbeat
from quota_gateway.net.hot_restart.link import NO_DESCRIPTOR, Link, close_descriptors
from quota_gateway.net.hot_restart.messages import Alive, Message, decode, encode
from quota_gateway.net.peer_process import PeerProcess

log = logging.getLogger(__name__)


class PeerSession:
    """One link to the peer process that sends and receives message objects.

    ``on_message`` gets each message with its descriptors, and removes those that it keeps from the list. A
    PeerProcessError that it raises ends the session. ``on_end`` is called once, unless ``close`` ended it.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[PeerSession, Message, list[int]], None],
        on_end: Callable[[PeerSession], None],
    ) -> None:
        self._on_message = on_message
        self._on_end: Callable[[PeerSession], None] | None = on_end
        self.link = Link(sock, self._received, self._ended)
        self.heartbeat = Heartbeat(lambda: self.send(Alive()), self._hung)

    @property
    def open(self) -> bool:
        """Whether messages can still be sent."""
        return self.link.open

    @property
    def peer_process(self) -> PeerProcess:
        """The process at the other end."""
        return self.link.peer_process

    def all_sent(self) -> bool:
        """Whether every message has been written to the socket."""
        return not self.link.queue

    def send(self, message: Message, descriptor: int = NO_DESCRIPTOR) -> None:
        """Send a message, or queue it; does nothing once the session has ended."""
        self.link.send(encode(message), descriptor)

    def end(self, reason: str) -> None:
        """End the session; does nothing if it has ended."""
        self.link.end(reason)

    def close(self, reason: str) -> None:
        """End the session as this process ends; ``on_end`` is not called."""
        self._on_end = None
        self.heartbeat.stop()
        self.end(reason)
        self.peer_process.close()

    def _received(self, _link: Link, data: bytes, descriptors: list[int]) -> None:
        self.heartbeat.received()
        try:
            message = decode(data)
            if not isinstance(message, Alive):
                self._on_message(self, message, descriptors)
        finally:
            close_descriptors(descriptors)

    def _ended(self, _link: Link) -> None:
        self.heartbeat.stop()
        if self._on_end:
            self._on_end(self)

    def _hung(self) -> None:
        """Kill a peer process that has missed several heartbeats, so that it does not serve any more."""
        log.error("the peer process hangs and is killed")
        self.peer_process.kill()
        self.end("the peer process hangs")
