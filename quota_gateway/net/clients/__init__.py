"""The client side of the gateway: accepts connections, parses commands and writes replies in order."""

from quota_gateway.net.clients.connection import Client
from quota_gateway.net.clients.registry import MAX_LINGERING, ClientRegistry

__all__ = ["MAX_LINGERING", "Client", "ClientRegistry"]
