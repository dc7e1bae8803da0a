"""Copies of client connections that were transferred to the next process, to take back if it dies early."""

from __future__ import annotations

import logging
import os
import socket
from typing import NamedTuple

from quota_gateway.net.tcp_info import bytes_consumed

log = logging.getLogger(__name__)

NOT_RETAINED = 0  # in place of a retained connection's id


class RetainedConnection(NamedTuple):
    """A copy of a transferred connection's descriptor, and what was true as it was transferred."""

    descriptor: int
    consumed_bytes: int
    has_requested: bool  # a request had come on it

    def untouched(self) -> bool:
        """Whether no process has read from the connection since it was transferred."""
        try:
            return bytes_consumed(self.descriptor) == self.consumed_bytes
        except OSError:  # the connection has ended
            return False


class ReclaimedConnection(NamedTuple):
    """A connection that was taken back from a process that has ended."""

    sock: socket.socket
    has_requested: bool


class RetainedConnections:
    """Bounded set of copies, by id.

    If the next process dies, connections of which it has read nothing are as they were and go on here. On
    any other it may have answered something, so that connection is closed. A copy keeps its connection open
    for the client, so the next process reports each connection that it closes, and the copy goes too.
    """

    def __init__(self) -> None:
        self._copies: dict[int, RetainedConnection] = {}
        self._last_id = NOT_RETAINED

    def __len__(self) -> int:
        return len(self._copies)

    def retain(self, descriptor: int, has_requested: bool, max_connections: int) -> int:
        """Copy a connection; returns its id, or NOT_RETAINED where the bound or the kernel allows no copy."""
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
        """Close a copy; nothing happens if there is none of this id."""
        copy = self._copies.pop(retained_id, None)
        if copy:
            os.close(copy.descriptor)

    def reclaim(self) -> list[ReclaimedConnection]:
        """The untouched connections, which are the caller's from now on; all others are closed."""
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
