"""Calls the fault bench's platform stand-in from a rollout's plan.

``python -m quota_gateway.fault_bench.platform_client HOST:PORT start ...`` prints the answer and exits with
0, or with 1. Loads nothing else of the fault bench: it is run once for each process that it starts.
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
    """Whether the platform, at ``host:port``, carried a request out, and what it found.

    Raises:
        OSError: the platform can't be reached.
        ValueError: its answer is none.
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
    """Send a request and print the answer; the exit code."""
    try:
        succeeded, message = request(arguments[0], arguments[1:])
    except (OSError, ValueError, IndexError) as error:  # no platform there, no answer, no arguments
        succeeded = False
        message = f"no platform: {error!r}"
    print(message)
    return SUCCEEDED_CODE if succeeded else FAILED_CODE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
