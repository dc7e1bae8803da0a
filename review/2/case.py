"""A request that comes in two pieces on a connection handed over by an upgrade costs those behind it."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Call, Case, CaseCannotRunError, Client, Gateway, get, main, new_id, post, short

CLIENTS = 4
SIGKILL_S = 3.7  # the longest deadline, counted as 3 s, and 0.7 s
PIECES_S = 0.1  # between the two pieces of a request
WORK_S = 0.6


async def answer(call: Call) -> None:
    await asyncio.sleep(WORK_S)
    await call.value(call.id.encode())


async def upgrade(case: Case, old: Gateway) -> None:
    """Start the next version beside the old process, and end that one, as the platform does."""
    new = case.start_gateway("new", old.listen, old.temp, admin=True)
    end = time.monotonic() + 6.0
    while not (await new.ask("HEALTH")).startswith("YES"):
        if time.monotonic() > end:
            raise CaseCannotRunError("the new process did not say yes within 6 s")
        await asyncio.sleep(0.2)
    old.signal(signal.SIGTERM)
    end = time.monotonic() + SIGKILL_S
    while old.process.poll() is None and time.monotonic() < end:
        await asyncio.sleep(0.02)
    if old.process.poll() is None:
        old.signal(signal.SIGKILL)
    case.record.add("the old process has ended")


async def play_client(case: Case, client: Client) -> list[str]:
    """Send three requests, the second one in two pieces, and read the answers."""
    ids = [new_id() for _ in range(3)]
    second = post(ids[1], b"b" * 2000, ids[1])
    cut = len(second) // 2
    await client.send(get(ids[0]), f"request 1, {ids[0]}")
    await client.send(second[:cut], f"the first half of request 2, {ids[1]}")
    await asyncio.sleep(PIECES_S)
    await client.send(second[cut:], "the second half of request 2")
    await client.send(get(ids[2]), f"request 3, {ids[2]}")
    broken = []
    for number, request_id in enumerate(ids, 1):
        reply = await client.reply(5.0)
        ended = f"; connection {client.ended}" if client.ended else ""
        case.record.add(f"{client.name} answer {number}: {short(reply)}{ended}")
        if reply is None:
            broken.append(f"{client.name}: request {number}, {request_id}, got no answer{ended}")
        elif reply[:1] == b"$" and reply[1:] != request_id.encode():
            broken.append(f"{client.name}: request {number} got the answer of another one")
    return broken


async def play(case: Case) -> list[str]:
    for number in range(1, 4):
        case.server(f"s-{number}", answer)
    await case.listen()
    case.passed = socket.create_server(("127.0.0.1", 0), backlog=1024)
    host, port = case.passed.getsockname()
    old = case.start_gateway("old", f"{host}:{port}", admin=True)
    await old.ready()
    clients = [await case.client(old, f"client {number}") for number in range(1, CLIENTS + 1)]
    for client in clients:
        await client.send(get(new_id()), "a first request")
        case.record.add(f"{client.name} first answer: {short(await client.reply(5.0))}")
    await asyncio.sleep(3.0)
    if TROUBLE:
        await upgrade(case, old)
    await asyncio.sleep(3.0)
    results = await asyncio.gather(*(play_client(case, client) for client in clients))
    return [text for broken in results for text in broken]


sys.exit(main(Path(__file__).resolve().parent, play))
