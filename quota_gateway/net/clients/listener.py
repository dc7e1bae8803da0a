"""The listening socket for clients."""

from __future__ import annotations

import asyncio
import errno
import socket

BACKLOG = 1024  # connections that may wait to be accepted
BIND_TIMEOUT_S = 10.0  # how long to wait for the address to become free
BIND_INTERVAL_S = 0.1  # between two attempts


async def bind(host: str, port: int) -> socket.socket:
    """Bind a new listening socket as soon as the address is free. Raises OSError.

    A previous process that could not hand over its socket may still listen on the address. It will be
    stopped, and this process must start to listen then.
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
