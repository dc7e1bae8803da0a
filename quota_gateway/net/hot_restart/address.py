"""Addresses of Unix sockets in a folder whose path may be too long for a socket address."""

from __future__ import annotations

import os
from pathlib import Path

MAX_ADDRESS_BYTES = 100  # of 108 in the kernel's struct sockaddr_un


class SocketFolder:
    """The folder with the sockets through which the processes of one gateway connect to each other.

    If the path of a socket is too long for an address, the address goes through a descriptor of the folder:
    ``/proc/self/fd/N/name`` is short and refers to the same file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._descriptor = -1

    def address(self, name: str) -> str:
        """Address of the socket of this name. Raises OSError if the folder can't be opened."""
        path = str(self.path / name)
        if len(os.fsencode(path)) <= MAX_ADDRESS_BYTES:
            return path
        if self._descriptor < 0:
            self._descriptor = os.open(self.path, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._descriptor}/{name}"

    def close(self) -> None:
        """Close the folder's descriptor, if one is open."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
