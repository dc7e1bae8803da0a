"""Link between two processes over a Unix socket: whole messages, some with file descriptors."""

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

MAX_DESCRIPTORS = 4  # accepted with one message; this version sends one at most
NO_DESCRIPTOR = -1


class QueuedMessage(NamedTuple):
    """A message that the socket has not taken yet; owns its descriptor."""

    data: bytes
    descriptor: int = NO_DESCRIPTOR

    def descriptors(self) -> list[int]:
        """The descriptors to send with the message."""
        return [self.descriptor] if self.descriptor != NO_DESCRIPTOR else []


class Link:
    """A connection to the peer process; a socket error or a malformed message ends it.

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
        self.has_received = False  # whether any message has come since the owner last set this to False
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        sock.setblocking(False)
        self._loop.add_reader(sock.fileno(), self._readable)

    def send(self, data: bytes, descriptor: int = NO_DESCRIPTOR) -> None:
        """Send or queue a message and a duplicate of the descriptor; does nothing once the link has ended."""
        if not self.open:
            return
        if len(self.queue) >= limits.MAX_QUEUED_MESSAGES:
            self.end("the peer process does not read its messages, and the queue is full")
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
            self.end("closed by the peer process" if not data else "a message exceeds the limits")
            return
        self.has_received = True
        try:
            self._on_message(self, data, descriptors)
        except PeerProcessError as error:
            self.end(f"malformed message: {error}")

    def end(self, reason: str) -> None:
        """Close the link and log the reason; does nothing if it has ended."""
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
    """Decode a message body that is one decimal number. Raises PeerProcessError if it is not."""
    try:
        return int(body)
    except ValueError as error:
        raise PeerProcessError(f"message body is not a number: {body!r:.40}") from error


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close descriptors that no object owns; one that is closed already is ignored."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


def connect(address: str) -> socket.socket | None:
    """Connect to the process that listens at the address; None if there is none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        sock.connect(address)
    except OSError:
        sock.close()
        return None
    return sock
