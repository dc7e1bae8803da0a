"""The other process of the same gateway during a hot restart: whether it is alive, and how to end it.

Two processes never serve at the same time. A process that finds the other one hung kills it through a process
descriptor (pidfd) and takes over only once it has ended, so a hung process can't resume later and serve too.
"""

from __future__ import annotations

import asyncio
import os
import select
import signal
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

# struct ucred, which SO_PEERCRED returns: pid_t pid, uid_t uid, gid_t gid.
UCRED = struct.Struct("iII")


class PeerCredentials(NamedTuple):
    """Process id and user id at the other end of a Unix socket, as the kernel reports them."""

    pid: int
    user_id: int


def peer_credentials(sock: socket.socket) -> PeerCredentials:
    """The credentials of the process at the other end of a Unix socket. Raises OSError."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, UCRED.size)
    pid, user_id, _group_id = UCRED.unpack(raw)
    return PeerCredentials(pid, user_id)


class PeerProcess:
    """Handle of the other process.

    Holds a process descriptor, as the process id may be reused by a third process once the peer has ended.
    Where none can be opened (on an old kernel), or the peer is this process itself, the peer counts as ended.
    """

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self._loop = asyncio.get_running_loop()
        self._descriptor = -1
        if pid != os.getpid():
            with suppress(OSError):
                self._descriptor = os.pidfd_open(pid)

    def alive(self) -> bool:
        """Whether the process is known to be alive."""
        if self._descriptor < 0:
            return False
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)  # readable once the process has ended
        return not poll.poll(0)

    def kill(self) -> None:
        """End the process with SIGKILL, whatever state it is in."""
        self.signal(signal.SIGKILL)

    def signal(self, signal_number: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        if self._descriptor >= 0:
            with suppress(OSError):
                signal.pidfd_send_signal(self._descriptor, signal_number)

    def when_ended(self, callback: Callable[[], None]) -> None:
        """Run the callback once the process has ended; immediately if it has already."""
        if not self.alive():
            callback()
            return

        def ended() -> None:
            self._loop.remove_reader(self._descriptor)
            callback()

        self._loop.add_reader(self._descriptor, ended)

    def close(self) -> None:
        """Close the process descriptor; the process counts as ended from now on."""
        if self._descriptor >= 0:
            self._loop.remove_reader(self._descriptor)
            os.close(self._descriptor)
            self._descriptor = -1
