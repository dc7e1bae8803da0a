"""Two processes of one gateway side by side: whether the other lives, moves, and what it has not touched.

Nobody serves beside another. Whoever finds the other hung ends it first, by a descriptor of the kernel's that
can't mean a third process, and takes over when it has ended; so one that would have woken late never does.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import select
import signal
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress

log = logging.getLogger(__name__)

BEAT_S = 0.25  # between two signs of life on the link
MISSED = 5  # beats of our own without one of the other's: it hangs. Its longest work in one turn, a state of
# 4 MB, takes a fifth of that, and clients wait for longer
CREDENTIALS = "3i"  # of SO_PEERCRED: process, user, group
ACKNOWLEDGED = 120  # offset of tcpi_bytes_acked in the kernel's struct tcp_info, 64 bits
RECEIVED = 128  # the same of tcpi_bytes_received
TCP_INFO = 136  # bytes of it that are read


def credentials(sock: socket.socket) -> tuple[int, int]:
    """Process and user at the other end of a Unix socket."""
    pid, user, _ = struct.unpack(
        CREDENTIALS, sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize(CREDENTIALS))
    )
    return pid, user


class Other:
    """The other process. Where it can't be held (an old kernel, the same process), it counts as ended."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.descriptor = -1
        self.loop = asyncio.get_running_loop()
        if pid != os.getpid():
            with suppress(OSError):
                self.descriptor = os.pidfd_open(pid)

    def alive(self) -> bool:
        """Whether it is known not to have ended."""
        if self.descriptor < 0:
            return False
        poll = select.poll()
        poll.register(self.descriptor, select.POLLIN)
        return not poll.poll(0)

    def kill(self) -> None:
        """End it, whatever state it is in."""
        self.signal(signal.SIGKILL)

    def signal(self, number: int) -> None:
        """A signal that can't reach a third process; nothing where it has ended."""
        if self.descriptor >= 0:
            with suppress(OSError):
                signal.pidfd_send_signal(self.descriptor, number)

    def when_ended(self, call: Callable[[], None]) -> None:
        """Call this once it has ended: at once, if it has."""
        if not self.alive():
            call()
            return

        def ended() -> None:
            self.loop.remove_reader(self.descriptor)
            call()

        self.loop.add_reader(self.descriptor, ended)

    def close(self) -> None:
        """Let go of it."""
        if self.descriptor >= 0:
            self.loop.remove_reader(self.descriptor)
            os.close(self.descriptor)
            self.descriptor = -1


class Beats:
    """Signs of life both ways, once both ends have said that they give them.

    Counted in beats of our own, not in time: on a machine that holds everybody up nobody is found hung.
    """

    def __init__(self, say: Callable[[], None], hung: Callable[[], None]) -> None:
        self.say = say
        self.hung = hung
        self.missed = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """From now on."""
        if self.timer is None:
            self.missed = 0
            self._beat()

    def heard(self) -> None:
        """Anything has come from the other one."""
        self.missed = 0

    def _beat(self) -> None:
        self.missed += 1
        self.timer = asyncio.get_running_loop().call_later(BEAT_S, self._beat)
        if self.missed > MISSED:
            self.stop()
            self.hung()
        else:
            self.say()

    def stop(self) -> None:
        """No more."""
        if self.timer:
            self.timer.cancel()
            self.timer = None


def consumed(descriptor: int) -> int:
    """Bytes of a TCP connection that were read out of the kernel, by whichever process. Raises OSError."""
    received, unread = _counts(descriptor, RECEIVED, termios.FIONREAD)
    return received - unread


def written(descriptor: int) -> int:
    """Bytes that were written into a TCP connection, by whichever process, up to a constant of its own.

    Those acknowledged and those that are not yet. Raises OSError.
    """
    acknowledged, queued = _counts(descriptor, ACKNOWLEDGED, termios.TIOCOUTQ)
    return acknowledged + queued


def _counts(descriptor: int, offset: int, request: int) -> tuple[int, int]:
    """A count of tcp_info's, and what of it still waits in the kernel by an ioctl."""
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO)
    waiting = fcntl.ioctl(descriptor, request, struct.pack("i", 0))
    return int(struct.unpack_from("Q", info, offset)[0]), int(struct.unpack("i", waiting)[0])


class Kept:
    """Copies of connections that were passed on, until the next process has proved itself.

    If it ends first, those of which it has read nothing are as they were; on all others something may have
    been answered, and they are closed. While a copy is here the connection does not end for its client: so
    the next process tells of each that it closes.
    """

    def __init__(self) -> None:
        self.copies: dict[int, tuple[int, int, bool]] = {}  # descriptor, bytes read by then, whether asked
        self.numbers = 0

    def keep(self, descriptor: int, asked: bool, room: int) -> int:
        """Copy one, if so many may be held; its number, or 0 for none."""
        if len(self.copies) >= room:
            return 0
        try:
            copy = (os.dup(descriptor), consumed(descriptor), asked)
        except OSError:
            return 0
        self.numbers += 1
        self.copies[self.numbers] = copy
        return self.numbers

    def drop(self, number: int) -> None:
        """The next process has closed it."""
        copy = self.copies.pop(number, None)
        if copy:
            os.close(copy[0])

    def take_back(self) -> list[tuple[socket.socket, bool]]:
        """The untouched ones, and whether a request had come on each; the others are closed."""
        copies = self.copies
        self.copies = {}
        untouched = []
        for descriptor, before, asked in copies.values():
            sock = socket.socket(fileno=descriptor)
            try:
                same = consumed(descriptor) == before
            except OSError:
                same = False
            if same:
                untouched.append((sock, asked))
            else:
                sock.close()
        if copies:
            log.info("%d connections taken back, %d closed", len(untouched), len(copies) - len(untouched))
        return untouched

    def close(self) -> None:
        """Let go of all."""
        for number in list(self.copies):
            self.drop(number)
