"""A server as a process of its own, so that it can be made to stand still: python server.py FILE SHARE.

It answers each command after 10 to 30 ms with the command's id as the value. After a SHARE of its answers
the same answer comes again, 3 to 8 ms later, or right after a pause (SIGSTOP, SIGCONT) that has come in
between. One that the machine's load alone has made later is left out. Each second answer is written to FILE.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from typing import TextIO

WORK_S = (0.010, 0.030)
COPY_AFTER_S = (0.003, 0.008)
LATEST_S = 0.009
SHORTEST_PAUSE_S = 0.18


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """The words of the next command. Raises IncompleteReadError at the end of the connection."""
    words = []
    for _ in range(int((await reader.readuntil(b"\r\n"))[1:-2])):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, copies: TextIO, share: float
) -> None:
    """Answer the commands of one connection, one after the other."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while True:
            request_id = (await read_command(reader))[2]
            await asyncio.sleep(random.uniform(*WORK_S))
            answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(request_id), request_id)
            writer.write(answer)
            if random.random() < share:
                answered_s = time.monotonic()
                await asyncio.sleep(random.uniform(*COPY_AFTER_S))
                late_s = time.monotonic() - answered_s
                if not writer.is_closing() and not LATEST_S < late_s < SHORTEST_PAUSE_S:
                    writer.write(answer)
                    copies.write(f"{request_id.decode()} again, {late_s * 1000.0:.1f} ms behind\n")
                    copies.flush()
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Listen at a free port, and print it."""
    with open(sys.argv[1], "w") as copies:
        share = float(sys.argv[2])
        server = await asyncio.start_server(lambda r, w: serve(r, w, copies, share), "127.0.0.1", 0)
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
