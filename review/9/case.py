"""A server sends an answer a second time, some milliseconds late: another customer gets it as its answer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig2

LATE_S = 0.015  # "some milliseconds"
WORK_S = 0.02
SERVERS = 14  # BRIEF: "10 to 14 directory nodes"
CLIENTS = 28
ROUNDS = 70
QUIET_ROUNDS = 30  # before the first second answer
DEADLINE_MS = 8000.0
FIELDS = f"c=profile-read,t=campus,d={DEADLINE_MS:.0f},units=1,spread=1,first=0"


async def play(gateways: rig2.Gateways, record: rig2.Record) -> list[str]:
    repeating = rig2.TROUBLE
    repeated: set[str] = set()

    def responder(name: str):
        async def respond(command: list[bytes], writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(WORK_S)
            value = b"profile of %b" % command[2]
            answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
            writer.write(answer)
            if repeating and int(command[2], 16) > QUIET_ROUNDS * CLIENTS and name not in repeated:
                repeated.add(name)
                record(f"{name} sends its answer to {command[2].decode()} a second time {LATE_S} s later")
                asyncio.get_running_loop().call_later(LATE_S, repeat, writer, answer)

        return respond

    def repeat(writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.is_closing():
            writer.write(answer)

    names = [f"s-{number}" for number in range(SERVERS)]
    servers = [await rig2.Server(name, record, responder(name)).start() for name in names]
    discovery = await rig2.Discovery([server.row() for server in servers]).start()
    config = rig2.configuration(discovery, [rig2.service("profile-read", "safe", DEADLINE_MS)])
    gateways.start(config)
    await rig2.until_ready(str(config["admin"]))

    faults: list[str] = []

    async def client(index: int) -> None:
        reader, writer = await rig2.connect(config)
        for turn in range(ROUNDS):
            number = turn * CLIENTS + index + 1
            writer.write(rig2.get(number, FIELDS, customer=index + 1))
            answer = await asyncio.wait_for(rig2.read_answer(reader), DEADLINE_MS / 1000.0 + 0.5)
            if answer.startswith(b"$") and answer != b"$profile of %016x" % number:
                record(f"request {number:016x} of customer {index + 1} is answered {answer!r}")
                faults.append(f"request {number:016x} got {answer!r}")
        writer.close()

    await asyncio.gather(*(client(index) for index in range(CLIENTS)))
    record(await rig2.ask(str(config["admin"]), "POOLS"))
    return faults


rig2.main(__file__, play)
