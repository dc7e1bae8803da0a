"""SIGTERM while a long value is passed on: the gateway ends by itself and cuts the value off."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig2

VALUE_BYTES = 4 * 1024 * 1024  # the longest that the pages allow
PIECES = 64
DEADLINE_MS = 8000.0
SIGTERM_AFTER_S = 1.5
SIGKILL_AFTER_S = 3.7  # after SIGTERM; the pages: no sooner than 3 s (the longest deadline) and 0.7 s
LAST_PIECE_AFTER_S = 3.63  # after SIGTERM: the value is whole before the earliest SIGKILL


async def play(gateways: rig2.Gateways, record: rig2.Record) -> list[str]:
    began = 0.0

    async def respond(command: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(b"*3\r\n$%d\r\n" % VALUE_BYTES)
        for piece in range(1, PIECES + 1):
            due = began + (SIGTERM_AFTER_S + LAST_PIECE_AFTER_S) * piece / PIECES
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            writer.write(b"v" * (VALUE_BYTES // PIECES))
            await writer.drain()
        writer.write(b"\r\n$-1\r\n$-1\r\n")
        await writer.drain()
        record(f"server has written the whole answer to {command[2].decode()}")

    server = await rig2.Server("s-1", record, respond).start()
    discovery = await rig2.Discovery([server.row()]).start()
    config = rig2.configuration(discovery, [rig2.service("profile-read", "safe", DEADLINE_MS)])
    gateway = gateways.start(config)
    await rig2.until_ready(str(config["admin"]))

    reader, writer = await rig2.connect(config)
    began = time.monotonic()
    writer.write(rig2.get(1, f"c=profile-read,t=campus,d={DEADLINE_MS:.0f},units=1,spread=1,first=0"))
    record("client sends request 1")
    answer = asyncio.create_task(rig2.read_answer(reader))
    await asyncio.sleep(began + SIGTERM_AFTER_S - time.monotonic())
    if server.ran != [b"%016x" % 1]:
        raise rig2.CannotRunError("the request has not reached the server once")
    killed = False

    def kill() -> None:
        nonlocal killed
        if gateway.poll() is None:
            record("SIGKILL")
            killed = True
            gateway.kill()

    if rig2.TROUBLE:
        gateway.send_signal(signal.SIGTERM)
        record("SIGTERM")
        asyncio.get_running_loop().call_later(SIGKILL_AFTER_S, kill)
    try:
        value = await asyncio.wait_for(answer, DEADLINE_MS / 1000.0 + 0.5)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        got = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else "some"
        after_s = time.monotonic() - began - SIGTERM_AFTER_S
        if killed:
            raise rig2.CannotRunError(
                "the value was not whole before SIGKILL: this machine is too slow"
            ) from None
        record(f"client's connection ended {after_s:.2f} s after SIGTERM with {got} bytes: {error!r:.80}")
        await asyncio.sleep(0.1)
        record(f"gateway's exit code: {gateway.poll()}")
        return [f"request 1 was cut off after {got} bytes, {after_s:.2f} s after SIGTERM"]
    record(f"client has {len(value) - 1} bytes of value")
    return [] if value == b"$" + b"v" * VALUE_BYTES else ["request 1 got another answer"]


rig2.main(__file__, play)
