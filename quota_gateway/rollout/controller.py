"""The controller: takes a rollout from wherever its journal says it stands to its end, one way or the other.

  changing   members of the stage, some at once -> watching; refused, crashed: turned; away too long: halted
  watching   fine for long enough -> judged; worse: turned; a trouble of all, or too little to tell: halted
  judged     every member is told to keep it -> the next stage, or done; one has gone back by itself: changing
  halted     RESUME -> as it was, watched anew; BACK -> turned
  turned     all that was touched goes back, the last first -> back

Every step looks first and does what is missing, so that it may be done twice. Records are on disk before what
they tell of is done. While nobody holds the journal, members on trial go back by themselves.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from quota_gateway.rollout import journal as told
from quota_gateway.rollout.admin_clients import AwayError, Doors, FencedError
from quota_gateway.rollout.canary_analysis import (
    GROWTH,
    Before,
    Figures,
    Finding,
    Judge,
    Word,
    measure_before,
)
from quota_gateway.rollout.change_strategy import OfSettings, RefusedError, Way
from quota_gateway.rollout.plan import Plan, PlanError, fingerprint
from quota_gateway.rollout.program_change import OfProgram

log = logging.getLogger("quota_gateway.rollout")

AGAIN_S = (0.2, 5.0)  # before a member that was away is told again: at first, at most; half of it is drawn
RENEW = 3  # times in a trial's length that it is begun anew, while its stage is watched
WISHES = ("pause", "resume", "back")
DONE = "done"
BACK = "back"


def event(name: str, **facts: Any) -> None:
    """A line of the log: what, and why, as JSON."""
    log.info("%s", json.dumps({"event": name, **facts}))


class Controller:
    """Runs one rollout. Raises FencedError where another has followed it; PlanError, with nothing touched."""

    def __init__(self, plan: Plan, journal: told.Journal) -> None:
        self.plan = plan
        self.journal = journal
        self.state = journal.state
        self.doors = Doors(plan.members, journal.state.token)
        self.members = [member.name for member in plan.members]
        kind = OfProgram if plan.program else OfSettings
        self.way: Way = kind(plan, self.doors, journal.state)
        self.wish = wish_path(plan)
        self.last: dict[str, Figures] = {}  # as read last
        self.first: dict[str, Figures] = {}  # as read first in a stage's watch
        self.away_since: dict[str, float] = {}
        self.renewed = 0.0

    def note(self, kind: Callable[..., told.Any], **facts: Any) -> None:
        """Into the journal, then into the log."""
        self.journal.write(kind(self.journal.clock(), **facts))
        if kind is not told.Baseline:
            event(kind.__name__.lower(), **facts)

    async def run(self) -> str:
        """To the end: ``done`` or ``back``."""
        if self.state.begun is None:
            await self._begin()
        self._same_plan()
        while not self.state.outcome:
            if self.state.turned:
                await self._go_back()
            elif self.state.halted:
                await self._wait_halted()
            elif self.state.stage >= len(self.way.begun().stages):
                self.note(told.Ended, outcome=DONE)
            else:
                await self._stage(self.state.stage)
        return self.state.outcome

    # ---- The beginning

    async def _begin(self) -> None:
        """Check everything that can be checked without touching anything."""
        self.doors.fenced = False  # a rollout that may not begin must not stop another that runs
        before, after = await self.way.check()
        self.doors.fenced = True
        self.note(
            told.Begun,
            plan=self.plan.name,
            fingerprint=fingerprint(self.plan),
            stages=self.plan.staged(),
            before=before,
            after=after,
        )

    def _same_plan(self) -> None:
        if self.way.begun().fingerprint != fingerprint(self.plan):
            raise PlanError(f"the journal is of another plan than this file now is ({self.way.begun().plan})")
        if self.state.outcome and self.way.outdated():
            raise PlanError("the journal is of other new settings, and is over: name another journal")

    # ---- A stage

    async def _stage(self, stage: int) -> None:
        names = self.way.begun().stages[stage]
        if stage not in self.state.baseline:
            await self._measure(stage)
        elif self.state.judged < stage:
            missing = [name for name in names if name not in self.state.changed]
            if missing:
                await self._change(missing)
            else:
                await self._watch(stage, names)
        else:
            await self._confirm(stage, names)

    async def _measure(self, stage: int) -> None:
        """What all do before this stage: for as long as it is to be watched, or until that tells enough."""
        windows: dict[str, list[Figures]] = {name: [] for name in self.members}
        await self._read()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asks_at = self.plan.watch_s
        while True:
            watched = loop.time() - begun
            if watched >= asks_at:
                before = measure_before(self._blamed(stage), windows)
                if watched >= self.plan.longest_watch_s or self._judge(stage, before).ready():
                    break
                asks_at = min(GROWTH * watched, self.plan.longest_watch_s)
            if await self._interrupted():
                return
            await asyncio.sleep(self.plan.look_s)
            for name, figures in (await self._read()).items():
                windows[name].append(figures)
        self.note(told.Baseline, stage=stage, measured=before)

    def _judge(self, stage: int, before: Before) -> Judge:
        return Judge(
            self._blamed(stage),
            before,
            self.plan.worse,
            len(self.way.begun().stages),
            self.plan.least_requests,
        )

    def _blamed(self, stage: int) -> set[str]:
        """Whose figures are the change's: all that have it, as harm may come late, while others are left."""
        stages = self.way.begun().stages
        changed = {name for names in stages[: stage + 1] for name in names}
        return changed if len(changed) < len(self.members) else set(stages[stage])

    async def _change(self, names: list[str]) -> None:
        """Put the change on trial at each, some at once; a stage that can't be completed stops here."""
        try:
            await self._paced(names, self._change_one)
        except RefusedError as error:
            self.note(told.Turned, why=str(error))
        except AwayError as error:
            self.note(told.Halted, why=f"can't be changed: {error}")

    async def _change_one(self, name: str) -> None:
        if name not in self.state.touched:
            self.note(told.Changing, member=name)

        async def apply() -> None:
            self.note(told.Changed, member=name, pid=await self.way.apply(name))

        await self._until_back(apply, self.plan.member_s)

    async def _watch(self, stage: int, names: list[str]) -> None:
        """Read all, judge, until something can be said."""
        judge = self._judge(stage, self.state.baseline[stage])
        self.last.clear()
        self.away_since.clear()
        await self._read()
        self.first = dict(self.last)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while self.state.judged < stage and not await self._interrupted():
            await asyncio.sleep(self.plan.look_s)
            windows = await self._read()
            settled = loop.time() - begun >= self.plan.settle_s
            for name, figures in windows.items() if settled else ():
                judge.add(name, figures)
            await self._renew(names)
            found = await self._broken(self._blamed(stage)) or judge.look()
            self._act(stage, found, loop.time() - begun - self.plan.settle_s)

    def _act(self, stage: int, found: Finding, watched_s: float) -> None:
        """What a finding leads to."""
        if found.word is Word.WORSE:
            event("worse", stage=stage, why=found.why, **found.figures)
            self.note(told.Turned, why=f"stage {stage}: {found.why}")
        elif found.word is Word.TROUBLE:
            event("trouble", stage=stage, why=found.why, **found.figures)
            self.note(told.Halted, why=f"a trouble of all, or late harm of an earlier stage: {found.why}")
        elif found.word is Word.FINE and watched_s >= self.plan.watch_s:
            self.note(told.Judged, stage=stage, why=found.why)
        elif watched_s >= self.plan.longest_watch_s:
            self.note(told.Halted, why=f"can't be judged: {found.why}")

    async def _broken(self, changed: set[str]) -> Finding | None:
        """What needs no figures: a changed member that died, or takes memory; one that is away for long."""
        new = {
            name: figures.pid
            for name, figures in self.last.items()
            if figures.pid != (self.state.changed.get(name) or self.first.get(name, figures).pid)
        }
        why = next(
            (f"{name} has started anew, as process {new[name]}" for name in sorted(new.keys() & changed)), ""
        )
        for name in sorted(changed & self.away_since.keys()):
            why = why or await self.way.failed(name)
        others = sorted((new.keys() | self.away_since.keys()) - changed)
        if why and others:  # a machine or a zone went: that is nobody's change
            return Finding(Word.TROUBLE, f"{why}; {', '.join(others)} went, too, unchanged")
        if why:
            return Finding(Word.WORSE, why)
        return self._memory(changed) or self._away(changed)

    def _memory(self, changed: set[str]) -> Finding | None:
        growth = {
            name: figures.memory_kb - self.first.get(name, figures).memory_kb
            for name, figures in self.last.items()
        }
        usual = max((kb for name, kb in growth.items() if name not in changed), default=0)
        for name in sorted(changed & growth.keys()):
            if growth[name] - usual > 1024.0 * self.plan.worse.memory_mb:
                return Finding(Word.WORSE, f"{name} takes {growth[name]} KiB more, others {usual} at most")
        return None

    def _away(self, changed: set[str]) -> Finding | None:
        now = asyncio.get_running_loop().time()
        for name in sorted(changed):
            if now - self.away_since.get(name, now) > self.plan.member_s:
                return Finding(Word.TROUBLE, f"{name} can't be reached")
        return None

    async def _read(self) -> dict[str, Figures]:
        """A window of each member that answers and is the process it was."""
        names = list(self.members)
        answers = await asyncio.gather(*map(self.doors.figures, names), return_exceptions=True)
        now = asyncio.get_running_loop().time()
        windows = {}
        for name, figures in zip(names, answers, strict=True):
            if isinstance(figures, FencedError):
                raise figures
            if not isinstance(figures, Figures):
                self.away_since.setdefault(name, now)
                continue
            self.away_since.pop(name, None)
            before = self.last.get(name)
            self.last[name] = figures
            if before:
                with suppress(ValueError):
                    windows[name] = figures.less(before)
        return windows

    async def _renew(self, names: list[str]) -> None:
        """A trial must not end while its stage is watched."""
        now = asyncio.get_running_loop().time()
        if now - self.renewed < self.plan.trial_s / RENEW:
            return
        self.renewed = now
        await self.way.renew(names)

    async def _confirm(self, stage: int, names: list[str]) -> None:
        """Each keeps the change; one that has gone back by itself is changed again, and the stage watched."""
        gone_back: list[str] = []

        async def keep(name: str) -> None:
            async def once() -> None:
                if not await self.way.keep(name):
                    gone_back.append(name)

            await self._until_back(once, self.plan.member_s)

        try:
            await self._paced(names, keep)
        except RefusedError as error:
            self.note(told.Turned, why=str(error))
            return
        except AwayError as error:
            self.note(told.Halted, why=f"can't be told to keep it: {error}")
            return
        for name in gone_back:
            event("went back by itself", member=name)
            self.note(told.Changing, member=name)
        if not gone_back:
            self.note(told.Confirmed, stage=stage)

    # ---- The way back

    async def _go_back(self) -> None:
        """The last stage first. Who can't be reached is told again until it is back, or given up by name."""
        left = [name for name in reversed(self.state.touched) if name not in self.state.back]
        await self._paced(left, self._back_one)
        given_up = sorted(name for name, is_back in self.state.back.items() if not is_back)
        self.note(told.Ended, outcome=BACK + (f", given up: {', '.join(given_up)}" if given_up else ""))

    async def _back_one(self, name: str) -> None:
        if name not in self.state.returning:
            self.note(told.Changing, member=name, back=True)
        given_up = False
        try:
            await self._until_back(lambda: self.way.undo(name), self.plan.longest_watch_s)
        except AwayError as error:
            event("given up", member=name, why=str(error))
            given_up = True
        self.note(told.Changed, member=name, back=True, given_up=given_up)

    # ---- Pace

    async def _paced(self, names: list[str], act: Callable[[str], Coroutine[Any, Any, None]]) -> None:
        """Some at once, each a little after the other. Where one fails, those under way finish.

        One that is away holds a place, but not that of its stage: others go on as far as the plan allows.
        """
        waiting = list(names)
        running = dict[asyncio.Task[None], str]()
        failed: BaseException | None = None
        while running or (waiting and not failed):
            for name in [] if failed else self.plan.batch(waiting, set(running.values())):
                waiting.remove(name)
                running[asyncio.get_running_loop().create_task(act(name))] = name
                await asyncio.sleep(self.plan.look_s * 0.2 * random.random())
            done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                del running[task]
                failed = failed or task.exception()
        if failed:
            raise failed

    async def _until_back(self, act: Callable[[], Awaitable[None]], longest_s: float) -> None:
        """Do it; while the member is away, again with a growing, drawn pause. Raises its last AwayError."""
        loop = asyncio.get_running_loop()
        end = loop.time() + longest_s
        pause = AGAIN_S[0]
        while True:
            try:
                await act()
                return
            except AwayError:
                if loop.time() >= end:
                    raise
            drawn = pause * (0.5 + 0.5 * random.random())
            await asyncio.sleep(max(0.0, min(drawn, end - loop.time())))  # the last try comes at the end
            pause = min(AGAIN_S[1], 2.0 * pause)

    # ---- What operators wish

    async def _interrupted(self) -> bool:
        """Whether the stage is to be left: somebody wished so, or a record already says it."""
        word = take_wish(self.wish)
        if word == "back":
            self.note(told.Turned, why="by hand")
        elif word == "pause" and not self.state.halted:
            self.note(told.Halted, why="by hand")
        return bool(self.state.halted or self.state.turned)

    async def _count_anew(self) -> None:
        """Who resumes has seen to what went: changed members go on as the processes that they are now."""
        await self._read()
        for name, pid in list(self.state.changed.items()):
            figures = self.last.get(name)
            if figures and name not in self.away_since and figures.pid != pid:
                self.note(told.Changed, member=name, pid=figures.pid)

    async def _wait_halted(self) -> None:
        """Nothing moves; trials are kept up, as only a controller that is gone lets them end."""
        word = take_wish(self.wish)
        if word == "resume":
            await self._count_anew()
            self.note(told.Resumed)
        elif word == "back":
            self.note(told.Turned, why="by hand")
        else:
            stages = self.way.begun().stages
            await self._renew(stages[min(self.state.stage, len(stages) - 1)])
            await asyncio.sleep(self.plan.look_s)


def wish_path(plan: Plan) -> Path:
    """Where other commands leave a word for the controller."""
    path = plan.path(plan.journal)
    return path.with_name(path.name + ".wish")


def take_wish(path: Path) -> str:
    """The word that was left, once; empty if there is none."""
    try:
        word = path.read_text().strip()
        path.unlink()
    except OSError:
        return ""
    return word if word in WISHES else ""
