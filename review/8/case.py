"""LEAVE while clients read their answers slowly: commands that the gateway has read are dropped."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig2

VALUE_BYTES = 60_000  # the pages: a value holds 64 KiB at most, long ones up to 4 MiB
DEADLINE_MS = 8000.0
CLIENTS = 6
COMMANDS = 120  # of each client, sent at once: some 14 KB
READ_BYTES, READ_INTERVAL_S = 65536, 0.06  # the clients' pace: 1 MB/s
LEAVE_AFTER_S = 0.5
LONGEST_S = 30.0
FIELDS = f"c=profile-read,t=campus,d={DEADLINE_MS:.0f},units=1,spread=1,first=0"


async def play(gateways: rig2.Gateways, record: rig2.Record) -> list[str]:
    async def respond(command: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (VALUE_BYTES, command[2].ljust(VALUE_BYTES, b"."))
        )
        await writer.drain()

    servers = [await rig2.Server(f"s-{n}", record, respond).start() for n in range(20)]
    discovery = await rig2.Discovery([server.row() for server in servers]).start()
    config = rig2.configuration(discovery, [rig2.service("profile-read", "safe", DEADLINE_MS)])
    gateways.start(config)
    await rig2.until_ready(str(config["admin"]))

    clients = []
    for number in range(1, CLIENTS + 1):
        clients.append(asyncio.create_task(read_slowly(config, number, record)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(LEAVE_AFTER_S)
    if rig2.TROUBLE:
        record(f"LEAVE: {await rig2.ask(str(config['admin']), 'LEAVE')}")
    faults = []
    for number, answers in enumerate(await asyncio.gather(*clients), 1):
        served = sum(answer.startswith(b"$") for answer in answers)
        lost = COMMANDS - len(answers)
        record(
            f"client {number}: {served} served, {len(answers) - served} refused or failed, {lost} unanswered"
        )
        if lost:
            faults.append(f"client {number}: {lost} of {COMMANDS} requests got no answer")
    return faults


async def read_slowly(config: dict[str, object], number: int, record: rig2.Record) -> list[bytes]:
    """Send all commands in one piece, read at a slow pace, and return the whole answers."""
    loop = asyncio.get_running_loop()
    sock = rig2.slow_socket(config, READ_BYTES)
    ids = range(1000 * number, 1000 * number + COMMANDS)
    await loop.sock_sendall(sock, b"".join(rig2.get(each, FIELDS, customer=each) for each in ids))
    record(f"client {number} has sent {COMMANDS} commands")
    reader = asyncio.StreamReader(limit=1 << 20)
    answers: list[bytes] = []

    async def take() -> None:
        while len(answers) < COMMANDS:
            answers.append(await rig2.read_answer(reader))

    taking = asyncio.create_task(take())
    end = time.monotonic() + LONGEST_S
    while time.monotonic() < end and not taking.done():
        try:
            data = await asyncio.wait_for(loop.sock_recv(sock, READ_BYTES), 1.0)
        except TimeoutError:
            continue
        if not data:
            record(f"the gateway has ended the connection of client {number}")
            reader.feed_eof()
            break
        reader.feed_data(data)
        await asyncio.sleep(READ_INTERVAL_S)
    await asyncio.wait([taking], timeout=1.0)
    taking.cancel()
    sock.close()
    return answers


rig2.main(__file__, play)
