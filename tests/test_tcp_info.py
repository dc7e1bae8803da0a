"""Byte counts of a connection on which bytes arrive while they are read.

The count of bytes received and the size of the receive queue are two calls. Bytes that came between them were
counted as unread and not as received, so that fewer than none had been consumed: the connection's row in the
supervisor's record could not be written, and a client found its connection dead from the start.
"""

from __future__ import annotations

import socket

import pytest

from quota_gateway.net import tcp_info


def pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def test_bytes_that_arrive_between_the_two_readings_are_not_consumed(monkeypatch):
    near, far = pair()
    queued_bytes = tcp_info._queued_bytes
    late = [b"x" * 100, b"x" * 10]

    def arriving(descriptor: int, request: int) -> int:
        if late:
            near.sendall(late.pop())
            while not far.recv(1 << 16, socket.MSG_PEEK):
                pass
        return queued_bytes(descriptor, request)

    monkeypatch.setattr(tcp_info, "_queued_bytes", arriving)
    with near, far:
        assert tcp_info.bytes_consumed(far.fileno()) == 0
        assert not late
        assert len(far.recv(1 << 16)) == 110
        assert tcp_info.bytes_consumed(far.fileno()) == 110


def test_counts_that_never_come_to_rest_are_an_error_of_the_descriptor(monkeypatch):
    near, far = pair()
    counter = iter(range(1000))
    monkeypatch.setattr(tcp_info, "_tcp_info_counter", lambda descriptor, offset: next(counter))
    with near, far, pytest.raises(BlockingIOError):
        tcp_info.bytes_consumed(far.fileno())
