"""Byte counts of a TCP connection as the kernel keeps them, whichever process reads or writes it."""

from __future__ import annotations

import fcntl
import os
import socket
import struct
import termios

# struct tcp_info of <linux/tcp.h>: 8 one-byte fields and 24 32-bit fields (104 bytes), then 64-bit fields:
# tcpi_pacing_rate (104), tcpi_max_pacing_rate (112), tcpi_bytes_acked (120), tcpi_bytes_received (128).
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128
TCP_INFO_BYTES = 136  # up to the end of the last field that is read
COUNTER = struct.Struct("Q")
IOCTL_RESULT = struct.Struct("i")


def bytes_consumed(descriptor: int) -> int:
    """Bytes that were read out of the kernel: those received, less those unread. Raises OSError."""
    return _tcp_info_counter(descriptor, BYTES_RECEIVED_OFFSET) - _queued_bytes(descriptor, termios.FIONREAD)


def bytes_written(descriptor: int) -> int:
    """Bytes that were written into the kernel, up to a constant of the connection. Raises OSError.

    They are those that the peer has acknowledged and those still in the send queue.
    """
    return _tcp_info_counter(descriptor, BYTES_ACKED_OFFSET) + _queued_bytes(descriptor, termios.TIOCOUTQ)


def _tcp_info_counter(descriptor: int, offset: int) -> int:
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (count,) = COUNTER.unpack_from(info, offset)
    return int(count)


def _queued_bytes(descriptor: int, request: int) -> int:
    """Bytes that wait in the receive queue (FIONREAD) or in the send queue (TIOCOUTQ)."""
    (count,) = IOCTL_RESULT.unpack(fcntl.ioctl(descriptor, request, IOCTL_RESULT.pack(0)))
    return int(count)
