"""What the kernel knows of a connection and the loop has not read yet."""

from __future__ import annotations

import socket


def unread(descriptor: int) -> bool:
    """Whether bytes, or the peer's end, have come on a connection and were not read."""
    if descriptor < 0:  # it is being closed
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
