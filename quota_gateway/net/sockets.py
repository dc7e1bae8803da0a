"""Checks a socket for received data that the event loop has not read yet."""

from __future__ import annotations

import socket


def has_unread_bytes(descriptor: int) -> bool:
    """Whether unread bytes or the peer's end of stream wait in the kernel, or the socket has failed."""
    if descriptor < 0:  # the socket is being closed
        return True
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.detach()
    return True
