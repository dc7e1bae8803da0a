"""Towards clients: the listener, connections, the command parser and the order of replies."""

from quota_gateway.net.clients.connection import Client
from quota_gateway.net.clients.registry import MAX_LINGERING, ClientRegistry

__all__ = ["MAX_LINGERING", "Client", "ClientRegistry"]
