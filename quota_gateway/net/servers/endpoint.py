"""What the connection pool knows of one server: its address, its state and its idle connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quota_gateway.net.servers.connection import PooledConnection

Address = tuple[str, int]


class ServerEndpoint:
    """One server, as its last entry in the endpoint list describes it.

    ``epoch`` counts the changes that make older connections unusable: a connection whose epoch differs is
    closed instead of used.
    """

    __slots__ = (
        "number",
        "address",
        "started_ms",
        "listed",
        "ready",
        "repeats_replies",
        "idle",
        "epoch",
        "reported_idle",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.address: Address = ("", 0)
        self.started_ms = 0.0
        self.epoch = 0
        self.listed = False  # listed as ready
        self.ready = False  # listed as ready and not set down by an operator
        self.repeats_replies = False  # has sent bytes that no command had asked for
        self.idle: list[PooledConnection] = []  # ordered by last use, the most recent at the end
        self.reported_idle = False  # what the policy code was last told: at least one connection is idle
