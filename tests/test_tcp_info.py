"""Byte counts of a connection on which bytes arrive while the counts are read.

The count of bytes received and the size of the receive queue are two system calls. Bytes that arrived between
them were counted as unread but not as received, so the number of bytes consumed became negative: the
connection's row in the supervisor's record could not be written, and its client found it dead from the start.
"""

from __future__ import annotations

import socket

import pytest

from quota_gateway.net import tcp_info


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_bytes_that_arrive_between_the_two_calls_are_not_counted_as_consumed(monkeypatch):
    near, far = connected_sockets()
    queued_bytes = tcp_info._queued_bytes
    pending_sends = [b"x" * 100, b"x" * 10]

    def queued_bytes_after_arrival(descriptor: int, request: int) -> int:
        if pending_sends:
            near.sendall(pending_sends.pop())
            while not far.recv(1 << 16, socket.MSG_PEEK):
                pass
        return queued_bytes(descriptor, request)

    monkeypatch.setattr(tcp_info, "_queued_bytes", queued_bytes_after_arrival)
    with near, far:
        assert tcp_info.bytes_consumed(far.fileno()) == 0
        assert not pending_sends
        assert len(far.recv(1 << 16)) == 110
        assert tcp_info.bytes_consumed(far.fileno()) == 110


def test_counter_that_changes_with_every_reading_raises_blocking_io_error(monkeypatch):
    near, far = connected_sockets()
    counter = iter(range(1000))
    monkeypatch.setattr(tcp_info, "_tcp_info_counter", lambda descriptor, offset: next(counter))
    with near, far, pytest.raises(BlockingIOError):
        tcp_info.bytes_consumed(far.fileno())


def test_counter_of_a_closed_socket_or_of_a_kernel_without_it_raises_os_error(monkeypatch):
    near, far = connected_sockets()
    with near, far:
        descriptor = far.fileno()
        assert tcp_info.bytes_acknowledged(descriptor) >= 0
        monkeypatch.setattr(tcp_info, "TCP_INFO_BYTES", 1 << 10)  # more than any kernel fills
        with pytest.raises(OSError, match="no byte counts"):
            tcp_info.bytes_acknowledged(descriptor)
    with pytest.raises(OSError, match="closed"):
        tcp_info.bytes_acknowledged(far.fileno())


def test_end_of_a_peer_is_told_behind_unread_bytes_and_only_where_the_kernel_knows_the_connection():
    """Guards against requests of clients that left, and against taking a socket with no state for closed."""
    near, far = connected_sockets()
    assert tcp_info.tells_state(far.fileno())
    assert not tcp_info.has_peer_closed(far.fileno())
    near.sendall(b"unread")
    near.close()
    assert tcp_info.has_peer_closed(far.fileno())
    far.close()
    with socket.socket() as unconnected:
        assert not tcp_info.tells_state(unconnected.fileno())
    pair, other = socket.socketpair()  # no TCP socket
    assert not tcp_info.tells_state(pair.fileno())
    assert not tcp_info.has_peer_closed(pair.fileno())
    pair.close()
    other.close()
