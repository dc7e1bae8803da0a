"""The clients' listener, where the platform passes one to the process."""

from __future__ import annotations

import logging
import socket
from collections.abc import Mapping

from quota_gateway.net.servers import Address

log = logging.getLogger("quota_gateway")

VARIABLE = "EDGE_PASSED_SOCKET"  # the number of an inherited descriptor


def passed_listener(environment: Mapping[str, str], listen: Address) -> socket.socket | None:
    """The inherited socket that listens at the clients' address.

    Returns:
        The socket, non-blocking; None where the environment names none, or names a descriptor that is no
        listener at ``listen``, which is logged and left open.
    """
    text = environment.get(VARIABLE)
    if not text:
        return None
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, ValueError) as error:  # no open descriptor; no number
        log.error("the passed socket %r is none: %r", text, error)
        return None
    if sock.type == socket.SOCK_STREAM and sock.family == socket.AF_INET and sock.getsockname() == listen:
        sock.setblocking(False)
        return sock
    log.error("the passed socket %r does not listen at %s:%d", text, *listen)
    sock.detach()  # somebody else's: closing it here would close it for good
    return None
