"""How many connections a process may hold, by the descriptors that its configuration allows."""

from __future__ import annotations

from quota_gateway.config import Config
from quota_gateway.net import admin
from quota_gateway.net.clients import MAX_LINGERING

# Beside clients and servers: the log, the loop, discovery, the listener, a margin, clients that linger.
OTHER_DESCRIPTORS = 32 + MAX_LINGERING


def connection_budget(config: Config) -> int:
    """Connections that clients may hold; as many may be held to servers."""
    others = OTHER_DESCRIPTORS + (admin.DESCRIPTORS if config.admin else 0)
    return max(2, config.descriptors - others) // 2
