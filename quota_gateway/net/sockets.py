"""What the kernel holds of a connection that the loop has not read yet."""

from __future__ import annotations

import socket


def has_unread_bytes(descriptor: int) -> bool:
    """Whether bytes, or the end of the peer's sending, wait in the kernel."""
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
