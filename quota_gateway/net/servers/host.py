"""A server as the sockets see it: its address, and its idle connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quota_gateway.net.servers.connection import Connection

Address = tuple[str, int]


class Host:
    """A server as discovery last told it. Each change that makes old connections useless is an epoch."""

    __slots__ = ("number", "address", "started", "listed", "ready", "idle", "epoch", "told")

    def __init__(self, number: int) -> None:
        self.number = number
        self.address: Address = ("", 0)
        self.started = 0.0
        self.epoch = 0
        self.listed = self.ready = False  # ready: listed so, and not held
        self.idle: list[Connection] = []  # the most recently used last
        self.told = False  # whether the decisions think that one is idle
