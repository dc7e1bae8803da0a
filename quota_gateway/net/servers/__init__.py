"""Towards servers: attempts, their connections, and the pool of all connections.

The outcome of an attempt is reported once. An attempt whose last byte was not handed to the kernel never ran;
one that was may have, whatever became of it.
"""

from quota_gateway.net.servers.attempt import Attempt, Sink, Source
from quota_gateway.net.servers.connection import PooledConnection
from quota_gateway.net.servers.endpoint import Address, ServerEndpoint
from quota_gateway.net.servers.pool import ServerPool
from quota_gateway.net.servers.replies import Reply, ReplyReader, ServerError

__all__ = [
    "Address",
    "Attempt",
    "PooledConnection",
    "ServerEndpoint",
    "ReplyReader",
    "Reply",
    "ServerError",
    "ServerPool",
    "Sink",
    "Source",
]
