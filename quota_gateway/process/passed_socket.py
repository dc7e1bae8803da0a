"""Adopts the listening socket for clients that the platform may pass to the process."""

from __future__ import annotations

import logging
import socket
from collections.abc import Mapping

from quota_gateway.net.servers import Address

log = logging.getLogger("quota_gateway")

VARIABLE = "EDGE_PASSED_SOCKET"  # environment variable with the number of an inherited file descriptor


def passed_listener(environment: Mapping[str, str], listen: Address) -> socket.socket | None:
    """The inherited socket that is bound to the clients' address.

    Returns:
        The socket, non-blocking. None if the environment names no descriptor, or one that is not a TCP socket
        bound to ``listen``; that is logged, and the descriptor stays open.
    """
    text = environment.get(VARIABLE)
    if not text:
        return None
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, ValueError) as error:  # not an open descriptor, or not a number
        log.error("EDGE_PASSED_SOCKET=%r is not the number of an open socket, not used: %r", text, error)
        return None
    if sock.type == socket.SOCK_STREAM and sock.family == socket.AF_INET and sock.getsockname() == listen:
        sock.setblocking(False)
        return sock
    log.error("EDGE_PASSED_SOCKET=%r is not a TCP socket bound to %s:%d, not used", text, *listen)
    sock.detach()  # not this gateway's: closing it here would close the inherited descriptor for good
    return None
