"""Command with which a rollout's plan asks the fault bench's platform stand-in to start or stop a process.

``python -m quota_gateway.fault_bench.platform_client HOST:PORT start ...`` prints the answer's message and
exits with 0 if the platform carried the request out, else with 1. Imports nothing else of the fault bench to
start quickly: it runs once for each process that is started.
"""

from __future__ import annotations

import json
import socket
import sys
from collections.abc import Sequence

ANSWER_TIMEOUT_S = 25.0
SUCCEEDED_CODE = 0
FAILED_CODE = 1


def request(platform: str, words: Sequence[str]) -> tuple[bool, str]:
    """Send a request to the platform at ``host:port``: whether it was carried out, and the answer's message.

    Raises:
        OSError: the platform can't be reached.
        ValueError: its answer is missing or malformed.
    """
    host, _, port = platform.rpartition(":")
    with (
        socket.create_connection((host, int(port)), ANSWER_TIMEOUT_S) as connection,
        connection.makefile("rwb") as stream,
    ):
        stream.write(json.dumps(list(words)).encode() + b"\n")
        stream.flush()
        succeeded, message = json.loads(stream.readline())
    return bool(succeeded), str(message)


def main(arguments: Sequence[str]) -> int:
    """Send a request and print the answer's message; returns the exit code."""
    try:
        succeeded, message = request(arguments[0], arguments[1:])
    except (OSError, ValueError, IndexError) as error:  # unreachable, bad answer, missing arguments
        succeeded = False
        message = f"platform request failed: {error!r}"
    print(message)
    return SUCCEEDED_CODE if succeeded else FAILED_CODE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
