"""The kernel's byte counts of a TCP connection, which cover all processes that read or write it."""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
import termios

# struct tcp_info of <linux/tcp.h>: 8 one-byte fields and 24 32-bit fields (104 bytes), then 64-bit fields:
# tcpi_pacing_rate (104), tcpi_max_pacing_rate (112), tcpi_bytes_acked (120), tcpi_bytes_received (128).
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128
TCP_INFO_BYTES = 136  # up to the end of tcpi_bytes_received, the last field needed
MAX_READS = 100  # attempts to read a counter that changes meanwhile
# tcpi_state, the first byte
ESTABLISHED = b"\x01"
CLOSED = b"\x07"  # after a reset
CLOSE_WAIT = b"\x08"  # the peer has closed
COUNTER = struct.Struct("Q")
IOCTL_RESULT = struct.Struct("i")


def bytes_consumed(descriptor: int) -> int:
    """Bytes that processes have read: those received less those in the receive queue. Raises OSError."""
    received, unread = _counter_with_queue(descriptor, BYTES_RECEIVED_OFFSET, termios.FIONREAD)
    return received - unread


def bytes_written(descriptor: int) -> int:
    """Bytes that processes have written, plus an offset that is constant for a connection. Raises OSError.

    Computed as the bytes that the peer has acknowledged and those still in the send queue.
    """
    acknowledged, unacknowledged = _counter_with_queue(descriptor, BYTES_ACKED_OFFSET, termios.TIOCOUTQ)
    return acknowledged + unacknowledged


def bytes_acknowledged(descriptor: int) -> int:
    """Bytes written that the peer's kernel has acknowledged, plus a constant offset. Raises OSError."""
    return _tcp_info_counter(descriptor, BYTES_ACKED_OFFSET)


def tells_state(descriptor: int) -> bool:
    """Whether the kernel tells the state of a connection that was just accepted, as of a TCP socket."""
    return _state(descriptor) in (ESTABLISHED, CLOSE_WAIT)


def has_peer_closed(descriptor: int) -> bool:
    """Whether the peer has closed or reset the connection, even behind bytes that were not read yet.

    Only for a connection of which ``tells_state`` was true.
    """
    return _state(descriptor) in (CLOSED, CLOSE_WAIT)


def _state(descriptor: int) -> bytes:
    try:
        return _tcp_info(descriptor)[:1]
    except OSError:  # the kernel does not tell
        return b""


def _counter_with_queue(descriptor: int, offset: int, request: int) -> tuple[int, int]:
    """A counter and the size of the queue that belongs to it, consistent with each other.

    They are two system calls. Bytes that arrive between them would be in one value only, so that more bytes
    could be unread than were received. So the counter is read again after the queue, until it is unchanged.
    """
    counter = _tcp_info_counter(descriptor, offset)
    for _ in range(MAX_READS):
        queued = _queued_bytes(descriptor, request)
        counter_after = _tcp_info_counter(descriptor, offset)
        if counter_after == counter:
            return counter, queued
        counter = counter_after
    raise BlockingIOError(errno.EAGAIN, "the connection's TCP byte count changes with every reading")


def _tcp_info(descriptor: int) -> bytes:
    if descriptor < 0:
        raise OSError(errno.EBADF, "the socket has been closed")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    finally:
        sock.detach()
    return info


def _tcp_info_counter(descriptor: int, offset: int) -> int:
    info = _tcp_info(descriptor)
    if len(info) < TCP_INFO_BYTES:
        raise OSError(errno.ENOPROTOOPT, "the kernel's struct tcp_info has no byte counts")
    (count,) = COUNTER.unpack_from(info, offset)
    return int(count)


def _queued_bytes(descriptor: int, request: int) -> int:
    """The number of bytes in the receive queue (FIONREAD) or in the send queue (TIOCOUTQ)."""
    (count,) = IOCTL_RESULT.unpack(fcntl.ioctl(descriptor, request, IOCTL_RESULT.pack(0)))
    return int(count)
