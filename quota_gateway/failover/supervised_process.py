"""A gateway process as the supervisor sees it, with copies of the descriptors that must outlive it."""

from __future__ import annotations

import os

from quota_gateway.net.heartbeat import Heartbeat
from quota_gateway.net.hot_restart.link import NO_DESCRIPTOR, Link, close_descriptors

MAX_COPIES = 16_384  # copied connection descriptors per process


class SupervisedProcess:
    """One process, serving or standing by. Owns the copies of its descriptors until they are closed."""

    def __init__(self, link: Link, record: int, is_serving: bool) -> None:
        self.link = link
        self.record = record  # descriptor of its connection record
        self.is_serving = is_serving
        self.listener = NO_DESCRIPTOR  # descriptor of the clients' listener
        self.connections: dict[int, int] = {}  # descriptors of client connections, by ConnectionRow.number
        self.heartbeat: Heartbeat | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        return self.link.peer_process.pid

    def keep_listener(self, descriptor: int) -> None:
        """Take ownership of a copy of the clients' listener; close an earlier copy."""
        if self.listener != NO_DESCRIPTOR:
            os.close(self.listener)
        self.listener = descriptor

    def keep_connection(self, number: int, descriptor: int) -> None:
        """Take ownership of a copy of a connection; close an earlier one, which would keep it open."""
        self.close_connection(number)
        self.connections[number] = descriptor

    def close_connection(self, number: int) -> None:
        """Close the copy of a connection, if there is one."""
        descriptor = self.connections.pop(number, NO_DESCRIPTOR)
        if descriptor != NO_DESCRIPTOR:
            os.close(descriptor)

    def close_connections(self) -> None:
        """Close the copies of all connections."""
        close_descriptors(self.connections.values())
        self.connections.clear()

    def close_all(self) -> None:
        """Close the copies of all descriptors."""
        close_descriptors(
            descriptor for descriptor in (self.record, self.listener) if descriptor != NO_DESCRIPTOR
        )
        self.record = NO_DESCRIPTOR
        self.listener = NO_DESCRIPTOR
        self.close_connections()
