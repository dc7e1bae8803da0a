"""The listening socket for clients."""

from __future__ import annotations

import asyncio
import errno
import socket

BACKLOG = 1024  # connections that wait to be accepted
BIND_TIMEOUT_S = 10.0  # for the address to become free
BIND_INTERVAL_S = 0.1


async def bind(host: str, port: int) -> socket.socket:
    """A listener of our own, as soon as the address is free. Raises OSError.

    A process before this one that could not hand over still listens there; it will be stopped, and this one
    must be there then.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + BIND_TIMEOUT_S
    while True:
        try:
            return socket.create_server((host, port), backlog=BACKLOG)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() >= end:
                raise
        await asyncio.sleep(BIND_INTERVAL_S)
