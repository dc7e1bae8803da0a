"""A client that takes a long value after some seconds loses the requests that it has sent behind it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Call, Case, get, main, new_id, short

VALUE_BYTES = 4 * 1024 * 1024 - 64
READ_AFTER_S = 4.0  # the client spends these seconds before it reads the value
PIECES_S = 0.3  # between the two pieces of request 2
RECEIVE_BYTES = 16 * 1024


async def play(case: Case) -> list[str]:
    ids = [new_id() for _ in range(4)]

    async def answer(call: Call) -> None:
        await call.value(b"v" * VALUE_BYTES if call.id == ids[0] else call.id.encode())

    for number in range(1, 4):
        case.server(f"s-{number}", answer)
    await case.listen()
    gateway = case.start_gateway()
    await gateway.ready()
    client = await case.client(gateway, "client", RECEIVE_BYTES)
    second = get(ids[1], wait_ms=8000)
    cut = len(second) // 2
    await client.send(get(ids[0], wait_ms=8000) + second[:cut], "request 1 and the first half of request 2")
    await asyncio.sleep(PIECES_S)
    await client.send(second[cut:], "the second half of request 2")
    await client.send(get(ids[2], wait_ms=8000) + get(ids[3], wait_ms=8000), "requests 3 and 4")
    if TROUBLE:
        await asyncio.sleep(READ_AFTER_S)
    case.record.add("client begins to read")
    broken = []
    for number, request_id in enumerate(ids, 1):
        reply = await client.reply(9.0)
        ended = f"; connection {client.ended}" if client.ended else ""
        case.record.add(f"client answer {number}: {short(reply)}{ended}")
        if reply is None:
            broken.append(f"request {number}, {request_id}, got no answer{ended}")
    return broken


sys.exit(main(Path(__file__).resolve().parent, play))
