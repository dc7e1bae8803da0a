"""Calls the fault bench's platform stand-in from a rollout's plan.

``python -m quota_gateway.fault_bench.platform_client HOST:PORT start ...`` prints the answer and exits with
0, or with 1. Loads nothing else of the fault bench: it is run once for each process it starts.
"""

from __future__ import annotations

import json
import socket
import sys

ANSWER_S = 25.0


def ask(at: str, words: list[str]) -> tuple[bool, str]:
    """Yes or no, and a word. Raises OSError or ValueError where the platform does not answer."""
    host, _, port = at.rpartition(":")
    with socket.create_connection((host, int(port)), ANSWER_S) as sock, sock.makefile("rwb") as stream:
        stream.write(json.dumps(words).encode() + b"\n")
        stream.flush()
        yes, text = json.loads(stream.readline())
    return bool(yes), str(text)


def main(arguments: list[str]) -> int:
    """Ask, print, and tell by the exit code."""
    try:
        yes, text = ask(arguments[0], arguments[1:])
    except (OSError, ValueError, IndexError) as error:
        yes = False
        text = f"no platform: {error!r}"
    print(text)
    return 0 if yes else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
