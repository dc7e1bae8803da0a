"""The configuration in force, and how another one takes its place: whole or not at all, with a way back.

  steady    RELOAD, SIGHUP -> steady, with a way back     RELOAD CONFIRM -> on trial
  on trial  CONFIRM -> steady     ROLLBACK, or the time is up -> steady, as before the trial
            RELOAD, SIGHUP with a changed file -> steady, as the file now says; the way back stays

All that may fail is prepared first (reading, checking, a listener for the door). What is then carried out
can't fail and happens in one step of the loop, so that no request meets half of it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from quota_gateway import api
from quota_gateway.config import Config, read, read_file, summarize
from quota_gateway.errors import ConfigurationError
from quota_gateway.net import admin
from quota_gateway.net.admin import AdminCommand, Answer, Arguments
from quota_gateway.net.clients import MAX_LINGERING, Clients
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.driver import Driver
from quota_gateway.net.hot_restart import Handover
from quota_gateway.net.servers import Servers

log = logging.getLogger(__name__)

# Beside clients and servers: the log, the loop, discovery, the listener, a margin, clients that linger.
OTHER_DESCRIPTORS = 32 + MAX_LINGERING
AGAIN_S = 0.1  # between readings of a file that is torn or missing: it may be being written
READINGS = 20  # after SIGHUP: half of the time in which the platform wants discovery to have moved
READINGS_ASKED = 4  # after RELOAD: whoever asks waits 1 s
LONGEST_TRIAL_S = 3600
LONGEST_WHY = 400  # characters of a refusal, at the door and in the log
RELOAD_ARGUMENTS = Arguments((0, 2), "nothing or CONFIRM SECONDS")
LATER_S = 1.0  # before a way back that can't be taken now is tried again


def budget(config: Config) -> int:
    """Connections that clients may hold, and as many those to servers."""
    others = OTHER_DESCRIPTORS + (admin.DESCRIPTORS if config.admin else 0)
    return max(2, config.descriptors - others) // 2


@dataclass(slots=True)
class Trial:
    """A configuration that is left again unless somebody confirms it."""

    ends: float
    timer: asyncio.TimerHandle


class Reload:
    """Holds what is in force; takes signals and calls."""

    def __init__(
        self,
        config: Config,
        environment: Mapping[str, str],
        driver: Driver,
        servers: Servers,
        clients: Clients,
        discovery: Discovery,
        door: admin.AdminEndpoint,
        handover: Handover,
    ) -> None:
        self.environment = environment
        self.door = door
        self.handover = handover
        self.driver = driver
        self.servers = servers
        self.clients = clients
        self.discovery = discovery
        self.loop = asyncio.get_running_loop()
        self.config = config
        self.revision = 1
        self.since = time.time()
        self.before: Config | None = None  # the last good one, where ROLLBACK goes
        self.trial: Trial | None = None
        self.refused = ""  # the last refusal: when and why
        self.lock = asyncio.Lock()  # one change at a time
        self.signalled = False
        self.task: asyncio.Task[None] | None = None
        self.returning: asyncio.Task[bool] | None = None
        self.up = asyncio.Event()  # this process serves: before, what it takes over would be undone
        self.stopping = False

    def commands(self) -> dict[str, AdminCommand]:
        """The admin commands of the configuration, by name."""
        return {
            "CONFIG": AdminCommand(self.show),
            "RELOAD": AdminCommand(self.reload, RELOAD_ARGUMENTS),
            "CONFIRM": AdminCommand(self.confirm),
            "ROLLBACK": AdminCommand(self.rollback),
        }

    # ---- Signals

    def signal(self) -> None:
        """SIGHUP. Two at once are one reload; one that comes during a reload brings another."""
        self.signalled = True
        if self.task is None:
            self.task = self.loop.create_task(self._follow())
            self.task.add_done_callback(self._followed)

    def _followed(self, task: asyncio.Task[None]) -> None:
        self.task = None
        if not task.cancelled() and task.exception():
            log.error("the reload failed: %r", task.exception())

    async def _follow(self) -> None:
        await self.up.wait()
        while self.signalled:
            self.signalled = False
            before = self.revision
            yes, text = await self._reload(READINGS, None)
            if yes and self.revision == before:  # else the change itself, or the refusal, was logged
                log.info("SIGHUP: %s", text)

    # ---- Calls

    async def show(self, _: str) -> Answer:
        """What is in force."""
        force = f"revision {self.revision}, digest {self.config.digest}, since {_clock(self.since)}"
        trial = f", on trial for {max(0.0, self.trial.ends - self.loop.time()):.0f} s" if self.trial else ""
        back = f", way back to {self.before.digest}" if self.before else ""
        refused = f", last refused {self.refused}" if self.refused else ""
        return True, f"{force}{trial}{back}{refused}"

    async def reload(self, words: str) -> Answer:
        """Read the file again; with ``CONFIRM SECONDS`` for so long only, unless it is confirmed."""
        trial_s = None
        if words:
            word, seconds = words.split()
            if word.upper() != "CONFIRM" or not (seconds.isascii() and seconds.isdecimal()):
                return False, "RELOAD takes nothing or CONFIRM SECONDS"
            if not 1 <= int(seconds[:9]) <= LONGEST_TRIAL_S:
                return False, f"a trial lasts 1 to {LONGEST_TRIAL_S} s"
            trial_s = float(seconds)
        await self.up.wait()
        return await self._reload(READINGS_ASKED, trial_s)

    async def confirm(self, _: str) -> Answer:
        """Keep what is on trial."""
        if self.trial is None:
            return False, "nothing is on trial"
        if self._elsewhere():
            return False, self._elsewhere()
        self._end_trial()
        log.info("configuration %s is confirmed, revision %d", self.config.digest, self.revision)
        return True, f"confirmed, revision {self.revision}"

    async def rollback(self, _: str) -> Answer:
        """Go back to the last good one, at once."""
        await self.up.wait()
        async with self.lock:
            return await self._back("rolled back")

    # ---- The change

    def _elsewhere(self) -> str:
        """Why nothing is changed here any more; empty while it may be."""
        if self.stopping:
            return "this process stops"
        return "the next process has taken over" if self.handover.handed else ""

    async def _reload(self, readings: int, trial_s: float | None) -> Answer:
        """Guards against a file that is being written: it is read again shortly, a few times."""
        while True:
            readings -= 1
            async with self.lock:
                try:
                    if self._elsewhere():
                        raise ConfigurationError([self._elsewhere()])
                    return await self._take(trial_s)
                except ConfigurationError as error:
                    if not error.is_transient or readings <= 0:
                        return self._refuse(error)
            await asyncio.sleep(AGAIN_S)

    async def _take(self, trial_s: float | None) -> Answer:
        config = read(read_file(self.environment["EDGE_CONFIG"]), self.environment, reload=True)
        await asyncio.sleep(0)  # others have their turn between reading and taking over
        faults = config.unchangeable(self.config)
        if faults:
            raise ConfigurationError(faults)
        if not config.changes(self.config):
            if self.trial and trial_s:
                self._end_trial()
                self._on_trial(trial_s)
            return True, f"nothing changed, revision {self.revision}"
        server = await self._prepare(config)
        good = self.before if self.trial and self.before else self.config
        answer = self._commit(config, server, f"for {trial_s:.0f} s unless confirmed" if trial_s else "")
        if answer[0]:
            self._end_trial()
            self.before = good
            if trial_s:
                self._on_trial(trial_s)
        return answer

    async def _prepare(self, config: Config) -> asyncio.Server | None:
        """The door's listener, where it moves."""
        if self._elsewhere():
            raise ConfigurationError([self._elsewhere()])
        if config.admin == self.config.admin or config.admin is None:
            return None
        try:
            return await self.door.bind(*config.admin)
        except OSError as error:
            raise ConfigurationError([f"admin: no listener there: {error.strerror or error}"]) from None

    def _commit(self, config: Config, server: asyncio.Server | None, how: str) -> Answer:
        """In one step: the decisions, the sockets, the door. Decisions that refuse leave all as it was."""
        changes = config.changes(self.config)
        why = self._elsewhere()
        if not why:
            why = self._tell_decisions(config.settings)
        if why:
            if server:
                server.close()
            return self._refuse(ConfigurationError([why]))
        room = budget(config)
        self.servers.retell(config.settings, room)
        self.clients.retell(config.settings, room)
        self.discovery.reconfigure(config.settings.gateways, config.settings.discovery)
        self.discovery.move(config.discovery)
        if config.admin != self.config.admin:
            self.door.move(server)
        self.config = config
        self.revision = self.revision + 1
        self.since = time.time()
        log.info(
            "configuration %s is in force, revision %d%s: %s",
            config.digest,
            self.revision,
            f" ({how})" if how else "",
            summarize(changes),
        )
        return True, f"revision {self.revision}, {len(changes)} changes{', ' + how if how else ''}"

    def _tell_decisions(self, settings: api.Settings) -> str:
        """Why they do not go by these settings now; empty if they do."""
        if settings != self.driver.gateway.settings:
            self.driver.post(api.SettingsChanged(settings))
        return "" if settings == self.driver.gateway.settings else "the decisions failed"

    def _refuse(self, error: ConfigurationError) -> Answer:
        """All stays as it was."""
        more = f" ({len(error.faults)} faults)" if len(error.faults) > 1 else ""
        why = f"{error}"[:LONGEST_WHY] + more
        self.refused = f"{_clock(time.time())}: {why}"
        log.error("configuration refused, revision %d stays: %s", self.revision, why)
        return False, f"refused, revision {self.revision} stays: {why}"

    # ---- The way back

    async def _back(self, how: str) -> Answer:
        """A reload like any other, to what was in force; after it there is no way further back."""
        config = self.before
        if config is None:
            return False, "there is nothing to go back to"
        try:
            server = await self._prepare(config)
        except ConfigurationError as error:
            return self._refuse(error)
        answer = self._commit(config, server, how)
        if answer[0]:
            self._end_trial()
            self.before = None
        return answer

    def _on_trial(self, seconds: float) -> None:
        self.trial = Trial(self.loop.time() + seconds, self.loop.call_later(seconds, self._time_is_up))

    def _end_trial(self) -> None:
        if self.trial:
            self.trial.timer.cancel()
        self.trial = None

    def _time_is_up(self) -> None:
        self.returning = self.loop.create_task(self._return())
        self.returning.add_done_callback(partial(self._returned, self.trial))

    async def _return(self) -> bool:
        async with self.lock:
            if self.trial is None or self.trial.ends > self.loop.time() + AGAIN_S:
                return True  # confirmed or replaced meanwhile
            return self.stopping or (await self._back("not confirmed"))[0]

    def _returned(self, trial: Trial | None, task: asyncio.Task[bool]) -> None:
        """Guards against a way back that is shut for a while: it is tried until it is open."""
        done = not task.cancelled() and not task.exception() and task.result()
        if not done and trial and trial is self.trial and not self.stopping:
            trial.timer = self.loop.call_later(LATER_S, self._time_is_up)

    def close(self) -> None:
        """At the end: nothing is changed any more."""
        self.stopping = True
        self._end_trial()
        if self.task:
            self.task.cancel()


def _clock(at: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at))
