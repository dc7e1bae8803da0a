"""The other process of the same gateway during a hot restart: whether it lives, and how it is ended.

Two processes never serve side by side. A process that finds the other one hung ends it first, through a
process descriptor of the kernel, and takes over once it has ended; a hung process that would have woken late
never does.
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
    """Process and user at the other end of a Unix socket, as the kernel reports them."""

    pid: int
    user_id: int


def peer_credentials(sock: socket.socket) -> PeerCredentials:
    """Process and user at the other end of a Unix socket. Raises OSError."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, UCRED.size)
    pid, user_id, _group_id = UCRED.unpack(raw)
    return PeerCredentials(pid, user_id)


class PeerProcess:
    """Handle of the other process.

    Holds a process descriptor, as a process id may be reused by a third process once its owner has ended.
    Where there can be none (an old kernel, or the peer is this very process), the peer counts as ended.
    """

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self._loop = asyncio.get_running_loop()
        self._descriptor = -1
        if pid != os.getpid():
            with suppress(OSError):
                self._descriptor = os.pidfd_open(pid)

    def alive(self) -> bool:
        """Whether the process is known not to have ended."""
        if self._descriptor < 0:
            return False
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)  # readable once the process has ended
        return not poll.poll(0)

    def kill(self) -> None:
        """End the process, whatever state it is in."""
        self.signal(signal.SIGKILL)

    def signal(self, number: int) -> None:
        """Send a signal; nothing happens where the process has ended."""
        if self._descriptor >= 0:
            with suppress(OSError):
                signal.pidfd_send_signal(self._descriptor, number)

    def when_ended(self, callback: Callable[[], None]) -> None:
        """Call back once the process has ended: at once, if it has."""
        if not self.alive():
            callback()
            return

        def ended() -> None:
            self._loop.remove_reader(self._descriptor)
            callback()

        self._loop.add_reader(self._descriptor, ended)

    def close(self) -> None:
        """Release the process descriptor; the process counts as ended from now on."""
        if self._descriptor >= 0:
            self._loop.remove_reader(self._descriptor)
            os.close(self._descriptor)
            self._descriptor = -1
