"""Copies of client connections that were transferred to the next process, for use if that process dies."""

from __future__ import annotations

import logging
import os
import socket
from typing import NamedTuple

from quota_gateway.net.tcp_info import bytes_consumed

log = logging.getLogger(__name__)

NOT_RETAINED = 0  # in place of the id, where no copy was made


class RetainedConnection(NamedTuple):
    """A copy of a transferred connection's descriptor, and the connection's state at the transfer."""

    descriptor: int
    consumed_bytes: int
    has_requested: bool  # a request had been received on it

    def untouched(self) -> bool:
        """Whether no process has read from the connection since the transfer."""
        try:
            return bytes_consumed(self.descriptor) == self.consumed_bytes
        except OSError:  # the connection has ended
            return False


class ReclaimedConnection(NamedTuple):
    """A connection that is taken back after the next process has died."""

    sock: socket.socket
    has_requested: bool


class RetainedConnections:
    """Bounded set of copies, by id.

    If the next process dies, connections from which it has read nothing are unchanged, and this process
    continues them. On any other it may have sent an answer, so that connection is closed. A copy keeps its
    connection open for the client, so the next process reports each connection that it closes, and the copy
    is closed too.
    """

    def __init__(self) -> None:
        self._copies: dict[int, RetainedConnection] = {}
        self._last_id = NOT_RETAINED

    def __len__(self) -> int:
        return len(self._copies)

    def retain(self, descriptor: int, has_requested: bool, max_connections: int) -> int:
        """Copy a connection; returns the copy's id, or NOT_RETAINED at the bound or if the copy failed."""
        if len(self._copies) >= max_connections:
            return NOT_RETAINED
        try:
            consumed_bytes = bytes_consumed(descriptor)
            copy = RetainedConnection(os.dup(descriptor), consumed_bytes, has_requested)
        except OSError:
            return NOT_RETAINED
        self._last_id += 1
        self._copies[self._last_id] = copy
        return self._last_id

    def release(self, retained_id: int) -> None:
        """Close a copy; does nothing if there is none with this id."""
        copy = self._copies.pop(retained_id, None)
        if copy:
            os.close(copy.descriptor)

    def reclaim(self) -> list[ReclaimedConnection]:
        """Return the untouched connections, which the caller owns from now on, and close all others."""
        copies = self._copies
        self._copies = {}
        reclaimed = []
        for copy in copies.values():
            if copy.untouched():
                sock = socket.socket(fileno=copy.descriptor)
                reclaimed.append(ReclaimedConnection(sock, copy.has_requested))
            else:
                os.close(copy.descriptor)
        if copies:
            log.info("%d connections reclaimed, %d closed", len(reclaimed), len(copies) - len(reclaimed))
        return reclaimed

    def close(self) -> None:
        """Close all copies."""
        for retained_id in list(self._copies):
            self.release(retained_id)
