"""Another version of the program at a member: the next process beside the one before it, and the way back.

  before   one process, at door ``here``
  beside   the next one, at door ``there``, has taken over; the one before it is kept until the stage is good:
           should the next one die or hang, the one before it takes back by itself (net/handover.py)
  after    one process, at ``there``

The way back from ``beside`` and ``after`` is the same step in the other direction: a process of the version
before is started at ``here`` and takes over from the one at ``there`` what that one knows by then. The one
that was kept is ended first, as it knows only what was known when it was followed.
"""

from __future__ import annotations

import asyncio
import json
import shlex
import sys
from contextlib import suppress
from enum import Enum
from pathlib import Path

from quota_gateway.rollout.admin_clients import AwayError, Doors
from quota_gateway.rollout.change_strategy import RefusedError, Way
from quota_gateway.rollout.journal import State
from quota_gateway.rollout.launcher import last_line
from quota_gateway.rollout.plan import Change, Plan, PlanError, Version

LAUNCH = (sys.executable, "-m", "quota_gateway.rollout.launcher")
PLACE = ("--door", "{door}", "--tmp", "{tmp}", "--token", "{token}")
START = (
    *LAUNCH,
    "start",
    *PLACE,
    "--name",
    "{name}",
    "--folder",
    "{folder}",
    "--command",
    "{command}",
    "--config",
    "{config}",
)
STOP = (*LAUNCH, "stop", *PLACE)
ABOUT_S = 20.0  # for a version to say what it hands over, and to check a file
PLATFORM_S = 30.0  # for the platform to start or to stop a process
LONGEST_WORD = 300  # characters of what it says that are told on
FIRST = {"handover": 1, "retire": False}  # of versions that do not know --about
CHECKS = 8  # members that are looked at together at the beginning: each runs the next version once
PATIENCE = 0.7  # of a member's time for a next process that is there and does not serve


class Stand(Enum):
    """What a door says."""

    SERVES = "serves"
    FOLLOWED = "followed by another"  # alive, and kept
    OTHERWISE = "does not serve"  # it starts, or hangs in the middle of it
    SILENT = "silent"  # dead, or cut off from here: the other door may tell


class OfProgram(Way):
    """Another version of the program."""

    def __init__(self, plan: Plan, doors: Doors, state: State) -> None:
        super().__init__(plan, doors, state)
        assert plan.program
        self.change: Change = plan.program
        self.since: dict[str, float] = {}  # members whose next process was started from here
        if state.begun:
            for name, there in state.begun.after.items():
                doors.at[name] = there if name in state.changed else state.begun.before[name]

    async def check(self) -> tuple[dict[str, str], dict[str, str]]:
        await self._check_versions()
        places = asyncio.Semaphore(CHECKS)

        async def look(name: str) -> tuple[str, str]:
            async with places:
                return await self._check_member(name)

        here, there = zip(*await asyncio.gather(*map(look, self.members)), strict=True)
        return dict(zip(self.members, here, strict=True)), dict(zip(self.members, there, strict=True))

    async def _check_member(self, name: str) -> tuple[str, str]:
        """That one process of the version before serves, and the next one takes its file; both doors."""
        member = self.members[name]
        stands = {door: await self.stand(name, door) for door in (member.door, member.next_door)}
        serving = [door for door, stand in stands.items() if stand is Stand.SERVES]
        others = [stand for stand in stands.values() if stand is not Stand.SERVES]
        if len(serving) != 1 or others != [Stand.SILENT]:
            told = ", ".join(f"{door} {stand.value}" for door, stand in stands.items())
            raise PlanError(f"{name}: want one process that serves and no other: {told}")
        self.doors.at[name] = serving[0]
        await self.steady(name)
        try:
            await self._is(name, self.change.before)
        except RefusedError as error:
            raise PlanError(str(error)) from None
        path = shlex.quote(str(self.config(member)))
        code, said = await self._ask(self.change.after, f"--check {path}")
        if code:
            raise PlanError(f"{name}: the next version refuses its configuration: {said}")
        return serving[0], member.next_door if serving[0] == member.door else member.door

    async def _check_versions(self) -> None:
        """The skew that is allowed: the same handover, and one of both that can be asked to end the other."""
        known = []
        for version in (self.change.before, self.change.after):
            if not self.plan.path(version.folder).is_dir():
                raise PlanError(f"{version.folder}: no folder")
            code, said = await self._ask(version, "--about")
            about = FIRST
            with suppress(ValueError):
                about = json.loads(said) if code == 0 else FIRST
            if code and "usage" not in said:
                raise PlanError(f"{version.folder}: does not start: {said}")
            known.append(about)
        one, other = known
        if one["handover"] != other["handover"]:
            raise PlanError(f"versions too far apart: handover {one['handover']} and {other['handover']}")
        if not (one.get("retire") or other.get("retire")):
            raise PlanError("neither version knows RETIRE: upgrade by hand once")

    async def _ask(self, version: Version, words: str) -> tuple[int, str]:
        """Exit code and last line of a version's command with other words."""
        return await said_by(
            ["/bin/sh", "-c", f"{version.command} {words}"], ABOUT_S, self.plan.path(version.folder)
        )

    async def _is(self, name: str, version: Version) -> None:
        """Raises RefusedError where the process that is asked is known to be of another version."""
        folder = (await self.doors.figures(name)).program
        if folder and Path(folder).resolve() != self.plan.path(version.folder).resolve():
            raise RefusedError(f"{name} is run from {folder}, not from {version.folder}")

    def outdated(self) -> bool:
        return False

    async def stand(self, name: str, door: str) -> Stand:
        """What one of its doors says."""
        try:
            yes, text = await self.doors.call(name, "HEALTH", door)
        except AwayError:
            return Stand.SILENT
        if yes:
            return Stand.SERVES
        return Stand.FOLLOWED if "has taken over" in text else Stand.OTHERWISE

    async def both(self, name: str) -> tuple[Stand, Stand]:
        """What its doors say: where it was before, and where it is to be."""
        here, there = await asyncio.gather(
            self.stand(name, self.begun().before[name]), self.stand(name, self.begun().after[name])
        )
        return here, there

    # ---- The way there

    async def apply(self, name: str) -> int:
        door = self.begun().after[name]
        here, there = await self.both(name)
        if there is Stand.SILENT:
            if here is not Stand.SERVES:
                raise AwayError(f"{name}: {here.value}, and nobody answers at {door}")
            await self._start_next(name, door)
            raise AwayError(f"{name}: its next process starts")
        if there is not Stand.SERVES:
            self._lose_patience(name)
            raise AwayError(f"{name}: its next process {there.value}")
        if here is Stand.SERVES:
            raise RefusedError(f"{name}: its next process serves beside the one before, it took nothing over")
        self.doors.at[name] = door
        await self._is(name, self.change.after)
        return (await self.doors.figures(name)).pid

    async def _start_next(self, name: str, door: str) -> None:
        code, said = await self._start(name, self.change.after, door)
        if code:
            raise RefusedError(f"{name}: its next process does not start: {said}")
        if said == "started" and name in self.since:
            raise RefusedError(f"{name}: its next process has ended")
        self.since.setdefault(name, asyncio.get_running_loop().time())

    def _lose_patience(self, name: str) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.since.setdefault(name, now) > PATIENCE * self.plan.member_s:
            raise RefusedError(f"{name}: its next process is there, and does not serve")

    async def renew(self, names: list[str]) -> None:
        """Two processes last by themselves."""

    async def failed(self, name: str) -> str:
        return self._went(name, *await self.both(name))

    def _went(self, name: str, here: Stand, there: Stand) -> str:
        if there is Stand.SILENT and here is Stand.SERVES:
            return f"{name}: its next process has ended, the one before it serves again"
        return ""

    async def keep(self, name: str) -> bool:
        here, there = await self.both(name)
        if why := self._went(name, here, there):
            raise RefusedError(why)
        if there is not Stand.SERVES:
            raise AwayError(f"{name}: its next process {there.value}")
        await self._retire(name)
        return True

    async def _retire(self, name: str) -> None:
        """End the process that was followed, if there is one; raises AwayError until it has ended.

        Asked of both, as one of them may be of a version that does not know the call.
        """
        answers = []
        for door in (self.begun().after[name], self.begun().before[name]):
            try:
                yes, text = await self.doors.call(name, "RETIRE", door)
            except AwayError:
                answers.append("")
                continue
            if yes:
                raise AwayError(f"{name}: the process that was followed ends")
            answers.append(text)
        after, before = answers
        alone = "no process beside" in after or (not before and "no such call" in after)
        if not alone:
            raise AwayError(f"{name}: what was followed can't be ended: {after or before or 'no answer'}")

    # ---- The way back

    async def undo(self, name: str) -> None:
        door = self.begun().before[name]
        here, there = await self.both(name)
        if here is Stand.SERVES:  # followed nobody, took back, or has taken over again
            await self._stop_next(name)
            self.doors.at[name] = door
            return
        if here is Stand.FOLLOWED:
            await self._retire(name)
        if here is Stand.SILENT:
            code, said = await self._start(name, self.change.before, door)
            self.since[name] = asyncio.get_running_loop().time()
            raise AwayError(f"{name}: {said if code else 'the version before starts'}")
        if here is Stand.OTHERWISE and there is not Stand.FOLLOWED:
            try:
                self._lose_patience(name)
            except RefusedError:  # it does not hand over: ended, it leaves its addresses at least
                await self._stop_next(name)
        raise AwayError(f"{name}: {here.value} as before, {there.value} as after")

    # ---- The platform

    async def _start(self, name: str, version: Version, door: str) -> tuple[int, str]:
        return await self._platform(self.change.start or START, name, version, door)

    async def _stop_next(self, name: str) -> None:
        door = self.begun().after[name]
        code, said = await self._platform(self.change.stop or STOP, name, self.change.after, door)
        if code:
            raise AwayError(f"{name}: its process at {door} can't be ended: {said}")

    async def _platform(
        self,
        call: tuple[str, ...],
        name: str,
        version: Version,
        door: str,
    ) -> tuple[int, str]:
        words = self.plan.words(call, self.members[name], version, door, self.doors.token)
        return await said_by(words, PLATFORM_S)


async def said_by(words: list[str], longest_s: float, folder: Path | None = None) -> tuple[int, str]:
    """Exit code and last line of a command; it is ended with whoever asked, or when its time is up."""
    try:
        child = await asyncio.create_subprocess_exec(
            *words,
            cwd=folder,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
    except OSError as error:
        return 127, str(error)
    try:
        async with asyncio.timeout(longest_s):
            output, _ = await child.communicate()
    except TimeoutError:
        return 124, f"{words[0]}: nothing within {longest_s:g} s"
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    return child.returncode or 0, last_line(output.decode(errors="replace"))[:LONGEST_WORD]
