"""Link between two processes over a Unix socket: complete messages, some with descriptors."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import NamedTuple

from quota_gateway.errors import PeerProcessError
from quota_gateway.net.hot_restart import limits
from quota_gateway.net.peer_process import PeerProcess, peer_credentials

log = logging.getLogger(__name__)

MAX_DESCRIPTORS = 4  # of one message; ours have one at most
NO_DESCRIPTOR = -1


class QueuedMessage(NamedTuple):
    """A message that the socket has not taken yet; owns its descriptor."""

    data: bytes
    descriptor: int = NO_DESCRIPTOR

    def descriptors(self) -> list[int]:
        """The descriptors that go with it."""
        return [self.descriptor] if self.descriptor != NO_DESCRIPTOR else []


class Link:
    """A connection to the peer process; any failure of the socket or of a message ends it.

    ``on_message`` is called with the bytes and descriptors of each message, and closes the descriptors that
    it does not keep; a PeerProcessError that it raises ends the link. ``on_end`` is called once.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[Link, bytes, list[int]], None],
        on_end: Callable[[Link], None],
    ) -> None:
        self.queue: deque[QueuedMessage] = deque()
        self.open = True
        self.peer_process = PeerProcess(peer_credentials(sock).pid)
        self.has_received = False  # anything, since the owner reset it
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        sock.setblocking(False)
        self._loop.add_reader(sock.fileno(), self._readable)

    def send(self, data: bytes, descriptor: int = NO_DESCRIPTOR) -> None:
        """Send a message, or queue it; the descriptor is duplicated. Does nothing once the link has ended."""
        if not self.open:
            return
        if len(self.queue) >= limits.MAX_QUEUED_MESSAGES:
            self.end("the peer process reads nothing")
            return
        copy = os.dup(descriptor) if descriptor != NO_DESCRIPTOR else NO_DESCRIPTOR
        self.queue.append(QueuedMessage(data, copy))
        self._writable()

    def _writable(self) -> None:
        while self.open and self.queue:
            message = self.queue[0]
            try:
                socket.send_fds(self._sock, [message.data], message.descriptors())
            except BlockingIOError:
                self._loop.add_writer(self._sock.fileno(), self._writable)
                return
            except OSError as error:
                self.end(repr(error))
                return
            self.queue.popleft()
            close_descriptors(message.descriptors())
        if self.open:
            self._loop.remove_writer(self._sock.fileno())

    def _readable(self) -> None:
        for _ in range(limits.MAX_MESSAGES_PER_TURN):
            if not self.open:
                return
            try:
                data, descriptors, flags, _ = socket.recv_fds(
                    self._sock, limits.MAX_MESSAGE_BYTES, MAX_DESCRIPTORS
                )
            except BlockingIOError:
                return
            except OSError as error:
                self.end(repr(error))
                return
            self._receive(data, descriptors, flags)

    def _receive(self, data: bytes, descriptors: list[int], flags: int) -> None:
        if not data or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            close_descriptors(descriptors)
            self.end("closed" if not data else "a message is too long")
            return
        self.has_received = True
        try:
            self._on_message(self, data, descriptors)
        except PeerProcessError as error:
            self.end(f"malformed message: {error}")

    def end(self, reason: str) -> None:
        """Close the link; does nothing if it has ended."""
        if not self.open:
            return
        self.open = False
        log.info("the link to the peer process ended: %s", reason)
        self._loop.remove_reader(self._sock.fileno())
        self._loop.remove_writer(self._sock.fileno())
        self._sock.close()
        for message in self.queue:
            close_descriptors(message.descriptors())
        self.queue.clear()
        self._on_end(self)


def decode_number(body: bytes) -> int:
    """The number that a message's body is. Raises PeerProcessError if it is none."""
    try:
        return int(body)
    except ValueError as error:
        raise PeerProcessError(f"not a number: {body!r:.40}") from error


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close descriptors that no object owns; one that is closed already does no harm."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


def connect(address: str) -> socket.socket | None:
    """A socket that is connected to the process that listens at the address; None where none does."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        sock.connect(address)
    except OSError:
        sock.close()
        return None
    return sock
