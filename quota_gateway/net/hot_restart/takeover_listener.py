"""The Unix socket at which the serving process accepts a connection from the next one."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from contextlib import suppress

from quota_gateway.net.hot_restart.address import SocketFolder

log = logging.getLogger(__name__)

SOCKET_NAME = "gateway.sock"
LISTEN_BACKLOG = 4


class TakeoverListener:
    """Listens at a socket named after this process, then renames it to the name that all processes use.

    The rename replaces the previous process's socket, so the common name always leads to a process that
    listens, or to one that is dead.
    """

    def __init__(self, folder: SocketFolder, on_connection: Callable[[socket.socket], None]) -> None:
        self._folder = folder
        self._on_connection = on_connection
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None

    @property
    def is_open(self) -> bool:
        """Whether the next process could connect."""
        return self._socket is not None

    def open(self) -> None:
        """Start listening; a socket that is open is replaced. Raises OSError."""
        self.close()
        own_name = f"{SOCKET_NAME}.{os.getpid()}"
        own_path = self._folder.path / own_name
        with suppress(FileNotFoundError):
            own_path.unlink()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            listener.setblocking(False)
            listener.bind(self._folder.address(own_name))
            listener.listen(LISTEN_BACKLOG)
            os.replace(own_path, self._folder.path / SOCKET_NAME)
        except OSError:
            listener.close()
            raise
        self._socket = listener
        self._loop.add_reader(listener.fileno(), self._accept, listener)

    def close(self) -> None:
        """Stop listening. The socket file stays, as it may be the successor's by now."""
        if self._socket:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:  # the process that connected has closed the connection
            return
        self._on_connection(sock)
