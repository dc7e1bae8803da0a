"""How many connections a process may open within its configured number of file descriptors."""

from __future__ import annotations

from quota_gateway.config import Config
from quota_gateway.net import admin
from quota_gateway.net.clients import MAX_LINGERING

# Not for clients or servers: log, event loop, discovery, listener, a margin, closed clients that linger.
OTHER_DESCRIPTORS = 32 + MAX_LINGERING


def connection_budget(config: Config) -> int:
    """Maximum number of client connections; as many connections to servers may be open."""
    others = OTHER_DESCRIPTORS + (admin.DESCRIPTORS if config.admin else 0)
    return max(2, config.descriptors - others) // 2
