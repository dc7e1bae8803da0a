"""Answers that wait behind a heavy request of their own connection cost the connection and all on it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Call, Case, get, main, new_id

CLIENTS = 4
REQUESTS = 60  # of one client, on one connection; one of them is heavy: a share of 0.0167
VALUE_BYTES = 60 * 1024
USUAL_S = 0.18
HEAVY_TIMES = 25  # the usual work
INTERVAL_S = 0.04  # between two requests of a client
WAIT_MS = 8000
CROSSING_MS = 100


async def play(case: Case) -> list[str]:
    heavy: set[str] = set()

    async def answer(call: Call) -> None:
        await asyncio.sleep(USUAL_S * (HEAVY_TIMES if TROUBLE and call.id in heavy else 1))
        await call.value(call.id.encode() + b"v" * (VALUE_BYTES - len(call.id)))

    for number in range(1, 13):
        case.server(f"s-{number}", answer)
    await case.listen()
    gateway = case.start_gateway()
    await gateway.ready()

    async def play_client(name: str) -> list[str]:
        client = await case.client(gateway, name)
        ids = [new_id() for _ in range(REQUESTS)]
        heavy.add(ids[0])
        sent_ms: list[float] = []

        async def send() -> None:
            for request_id in ids:
                await client.send(get(request_id, wait_ms=WAIT_MS), f"request {request_id}")
                sent_ms.append(case.record.ms())
                await asyncio.sleep(INTERVAL_S)

        sending = asyncio.create_task(send())
        counts: dict[str, int] = {}
        foreign = 0
        for request_id in ids:
            reply = await client.reply(12.0)
            if reply is None:
                break
            if reply[:1] == b"$" and reply[1:17] != request_id.encode():
                foreign += 1
            kind = "values" if reply[:1] == b"$" else reply.decode().split(" ")[0]
            counts[kind] = counts.get(kind, 0) + 1
        sending.cancel()
        answered = sum(counts.values())
        # A request that crosses the close may be sent again by its client: it does not count.
        sent = sum(time_ms < case.record.ms() - CROSSING_MS for time_ms in sent_ms)
        ended = f"; connection {client.ended}" if client.ended else ""
        case.record.add(f"{name}: sent {sent}, answered {answered} ({counts}){ended}")
        if foreign:
            return [f"{name}: {foreign} answers of other requests"]
        if answered < sent:
            return [f"{name}: {sent - answered} of {sent} requests got no answer{ended}"]
        return []

    results = await asyncio.gather(*(play_client(f"client {number}") for number in range(1, CLIENTS + 1)))
    return [text for broken in results for text in broken]


sys.exit(main(Path(__file__).resolve().parent, play))
