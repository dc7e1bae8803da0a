"""Sends attempts to servers over a pool of connections and reports their outcomes.

Each attempt's outcome is reported exactly once. If the last byte of an attempt was not handed to the kernel,
the server can't have executed it. Once it was, the server may have executed it, whatever the outcome is.
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
