"""Calls at members' doors, each with the caller's token; and members' files, whole or not at all."""

from __future__ import annotations

import asyncio
import os
import re
from pathlib import Path

import msgspec
from msgspec import Struct

from quota_gateway.rollout.canary_analysis import Figures
from quota_gateway.rollout.plan import Member

ANSWER_S = 2.0  # for a whole call: a door answers within one
LONGEST_ANSWER = 64 * 1024
DIGEST = re.compile(r"digest ([0-9a-f]+)")
MOST_CALLS = 32  # at once, over all members


class AwayError(Exception):
    """No answer: unreachable, silent, or none of a door's."""


class FencedError(Exception):
    """Another controller has called with a higher token: this one may do nothing any more."""


class Force(Struct, frozen=True):
    """What is in force at a member."""

    digest: str
    on_trial: bool


class Doors:
    """All members' doors; ``at``: of the process that each is asked at."""

    def __init__(self, members: tuple[Member, ...], token: int) -> None:
        self.at = {member.name: member.door for member in members}
        # not yet fenced: calls only look, and stop nobody
        self.token = token
        self.fenced = True
        self.calls = asyncio.Semaphore(MOST_CALLS)

    async def call(self, name: str, line: str, door: str = "") -> tuple[bool, str]:
        """Yes or no, and the text; at another door of the member's if one is named.

        Raises AwayError or FencedError: looking tells it, too.
        """
        answer = await self._exchange(
            name, door or self.at[name], f"AS {self.token} {line}" if self.fenced else line
        )
        yes, _, text = answer.partition(" ")
        if yes not in ("YES", "NO"):
            raise AwayError(f"{name}: no door's answer")
        if yes == "NO" and text.startswith("an older token"):
            raise FencedError(f"{name}: {text}")
        return yes == "YES", text

    async def _exchange(self, name: str, door: str, line: str) -> str:
        host, _, port = door.rpartition(":")
        writer = None
        try:
            async with self.calls, asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_connection(host, int(port), limit=LONGEST_ANSWER)
                writer.write(line.encode() + b"\n")
                return (await reader.readline()).decode().strip()
        except (OSError, TimeoutError, ValueError) as error:
            raise AwayError(f"{name}: {error or type(error).__name__}") from None
        finally:
            if writer:
                writer.close()

    async def force(self, name: str) -> Force:
        """The configuration in force. Raises AwayError."""
        yes, text = await self.call(name, "CONFIG")
        found = DIGEST.search(text)
        if not yes or found is None:
            raise AwayError(f"{name}: {text}")
        return Force(found[1], "on trial" in text)

    async def figures(self, name: str) -> Figures:
        """Its counts since its start. Raises AwayError."""
        yes, text = await self.call(name, "FIGURES")
        try:
            return msgspec.json.decode(text if yes else "", type=Figures)
        except msgspec.MsgspecError as error:
            raise AwayError(f"{name}: {error}") from None


def put(path: Path, data: bytes) -> None:
    """Replace a file whole, on disk when this returns. Raises OSError."""
    fresh = path.with_name(path.name + ".rollout")
    with fresh.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
