"""Reloads the configuration file while the gateway serves, on SIGHUP or an admin command.

A reload takes effect completely or not at all, and can be rolled back. ``RELOAD CONFIRM SECONDS`` puts the
new configuration on trial: it is rolled back unless CONFIRM comes in time. The rollback target is the
configuration that a rollback leads to. A changed file is one that differs from the configuration in force.

  state     event                           next state  effect
  steady    RELOAD, SIGHUP, changed file    steady      the rollback target is the configuration replaced
  steady    RELOAD CONFIRM, changed file    on trial    the rollback target is the configuration replaced
  on trial  RELOAD, SIGHUP, changed file    steady      the rollback target stays
  on trial  RELOAD CONFIRM, changed file    on trial    a new trial; the rollback target stays
  on trial  RELOAD CONFIRM, unchanged file  on trial    the trial's time starts again
  on trial  CONFIRM                         steady      the configuration in force stays
  on trial  the trial's time is up          steady      the rollback target takes effect; no target is left
  either    ROLLBACK                        steady      the rollback target takes effect; no target is left
  either    any other, unchanged file       unchanged   none; in particular no trial begins

A faulty file changes nothing. Once the next process of a hot restart has taken over, every command here but
CONFIG is rejected, and so is SIGHUP: the next process reads the file itself. ``configuration_trial`` has the
states.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping

from quota_gateway.config import Config, read, read_file
from quota_gateway.errors import ConfigurationError
from quota_gateway.net import admin
from quota_gateway.net.admin import AdminCommand, AdminReply, Arguments, done, rejected
from quota_gateway.net.configuration_in_force import ConfigurationInForce, format_utc
from quota_gateway.net.configuration_trial import ConfigurationTrial
from quota_gateway.net.hot_restart import HotRestart
from quota_gateway.net.process_parts import ProcessParts

log = logging.getLogger(__name__)

READ_INTERVAL_S = 0.1  # between attempts to read a truncated or missing file, which may be being written
MAX_READS_ON_SIGHUP = 20  # 2 s: half of the time that the platform allows for a move of discovery
MAX_READS_ON_COMMAND = 4  # 0.4 s: a caller at the admin endpoint waits 1 s for the answer
MAX_TRIAL_S = 3600
RELOAD_ARGUMENTS = Arguments((0, 2), "nothing or CONFIRM SECONDS")
MAX_REASON_CHARS = 400  # of the reason for a rejection, in the answer and in the log


class ConfigurationReload:
    """Changes the configuration in force on SIGHUP and on admin commands, one change at a time."""

    def __init__(
        self,
        config: Config,
        environment: Mapping[str, str],
        parts: ProcessParts,
        admin_endpoint: admin.AdminEndpoint,
        hot_restart: HotRestart,
    ) -> None:
        self.in_force = ConfigurationInForce(config, parts, admin_endpoint)
        self.trial = ConfigurationTrial(self._roll_back_expired_trial)
        self.last_rejection = ""  # time and reason
        # Set once this process serves: the state that it takes over would undo an earlier change.
        self.serving = asyncio.Event()
        self.signal_pending = False
        self.signal_task: asyncio.Task[None] | None = None
        self._environment = environment
        self._hot_restart = hot_restart
        self._lock = asyncio.Lock()
        self._stopping = False

    def commands(self) -> dict[str, AdminCommand]:
        """The admin commands of the configuration, by name."""
        return {
            "CONFIG": AdminCommand(self.show),
            "RELOAD": AdminCommand(self.reload, RELOAD_ARGUMENTS),
            "CONFIRM": AdminCommand(self.confirm),
            "ROLLBACK": AdminCommand(self.rollback),
        }

    def close(self) -> None:
        """Reject all further changes, as the process is stopping."""
        self._stopping = True
        self.trial.end()
        if self.signal_task:
            self.signal_task.cancel()

    # ---- Signals

    def signal(self) -> None:
        """Reload on SIGHUP. Two signals at once cause one reload; one during a reload causes another."""
        self.signal_pending = True
        if self.signal_task is None:
            self.signal_task = asyncio.get_running_loop().create_task(self._handle_signals(), name="SIGHUP")
            self.signal_task.add_done_callback(self._signal_task_done)

    async def _handle_signals(self) -> None:
        await self.serving.wait()
        while self.signal_pending:
            self.signal_pending = False
            revision = self.in_force.revision
            reply = await self._reload(MAX_READS_ON_SIGHUP, None)
            logged_already = not reply.is_done or self.in_force.revision != revision
            if not logged_already:
                log.info("SIGHUP: %s", reply.text)

    def _signal_task_done(self, task: asyncio.Task[None]) -> None:
        self.signal_task = None
        if not task.cancelled() and task.exception():
            log.error("the reload on SIGHUP failed: %r", task.exception())

    # ---- Admin commands

    async def show(self, _: str) -> AdminReply:
        """CONFIG: the configuration in force, the trial, the rollback target and the last rejection."""
        target = self.in_force.rollback_target
        parts = [self.in_force.describe()]
        if self.trial.active:
            parts.append(f"on trial for {self.trial.remaining_s():.0f} s")
        if target:
            parts.append(f"way back to {target.digest}")
        if self.last_rejection:
            parts.append(f"last refused {self.last_rejection}")
        return done(", ".join(parts))

    async def reload(self, arguments: str) -> AdminReply:
        """RELOAD: put the file's configuration into force; RELOAD CONFIRM SECONDS: put it on trial."""
        trial_s = None
        if arguments:
            keyword, seconds = arguments.split()
            if keyword.upper() != "CONFIRM" or not (seconds.isascii() and seconds.isdecimal()):
                return rejected("RELOAD takes nothing or CONFIRM SECONDS")
            if not 1 <= int(seconds[:9]) <= MAX_TRIAL_S:
                return rejected(f"a trial lasts 1 to {MAX_TRIAL_S} s")
            trial_s = float(seconds)
        await self.serving.wait()
        return await self._reload(MAX_READS_ON_COMMAND, trial_s)

    async def confirm(self, _: str) -> AdminReply:
        """CONFIRM: keep the configuration that is on trial."""
        if not self.trial.active:
            return rejected("nothing is on trial")
        reason = self._unchangeable_reason()
        if reason:
            return rejected(reason)
        self.trial.end()
        in_force = self.in_force
        log.info("configuration %s is confirmed, revision %d", in_force.config.digest, in_force.revision)
        return done(f"confirmed, revision {in_force.revision}")

    async def rollback(self, _: str) -> AdminReply:
        """ROLLBACK: put the configuration from before the last change, or the trial, into force again."""
        await self.serving.wait()
        async with self._lock:
            return await self._roll_back("rolled back")

    # ---- Changes

    def _unchangeable_reason(self) -> str:
        """Why this process no longer accepts changes; empty while it does."""
        if self._stopping:
            return "this process stops"
        return "the next process has taken over" if self._hot_restart.handed_over else ""

    def _check_changeable(self) -> None:
        """Raise ConfigurationError if this process no longer accepts changes."""
        reason = self._unchangeable_reason()
        if reason:
            raise ConfigurationError([reason])

    async def _reload(self, max_reads: int, trial_s: float | None) -> AdminReply:
        """Read and apply the file; retry while it is truncated or missing, as it may be being written."""
        reads = 0
        while True:
            reads += 1
            async with self._lock:
                try:
                    self._check_changeable()
                    return done(await self._apply_file(trial_s))
                except ConfigurationError as error:
                    if not error.is_transient or reads >= max_reads:
                        return self._reject(error)
            await asyncio.sleep(READ_INTERVAL_S)

    async def _apply_file(self, trial_s: float | None) -> str:
        """Put the file's configuration into force; returns what changed. Raises ConfigurationError."""
        in_force = self.in_force
        config = read(read_file(self._environment["EDGE_CONFIG"]), self._environment, reload=True)
        await asyncio.sleep(0)  # let other tasks run between reading and applying
        faults = config.faults_of_fixed_names(in_force.config)
        if faults:
            raise ConfigurationError(faults)
        if not config.changes(in_force.config):
            if self.trial.active and trial_s:  # the trial's time starts again
                self.trial.end()
                self.trial.begin(trial_s)
            return f"nothing changed, revision {in_force.revision}"
        target = in_force.rollback_target if self.trial.active else None
        target = target or in_force.config
        text = await self._change_to(config, f"for {trial_s:.0f} s unless confirmed" if trial_s else "")
        in_force.rollback_target = target
        if trial_s:
            self.trial.begin(trial_s)
        return text

    async def _change_to(self, config: Config, note: str) -> str:
        """Prepare and apply a configuration, and end any trial; returns what changed.

        Raises ConfigurationError.
        """
        self._check_changeable()
        admin_server = await self.in_force.prepare(config)
        try:
            self._check_changeable()  # the next process may have taken over during the preparation
            text = self.in_force.apply(config, admin_server, note)
        except ConfigurationError:
            if admin_server:
                admin_server.close()
            raise
        self.trial.end()
        return text

    def _reject(self, error: ConfigurationError) -> AdminReply:
        """Log and remember why a change was not made; returns the answer NO."""
        fault_count = f" ({len(error.faults)} faults)" if len(error.faults) > 1 else ""
        reason = f"{error}"[:MAX_REASON_CHARS] + fault_count
        self.last_rejection = f"{format_utc(time.time())}: {reason}"
        revision = self.in_force.revision
        log.error("configuration refused, revision %d stays: %s", revision, reason)
        return rejected(f"refused, revision {revision} stays: {reason}")

    # ---- Rollback

    async def _roll_back(self, note: str) -> AdminReply:
        """Put the rollback target into force; after that there is no target."""
        target = self.in_force.rollback_target
        if target is None:
            return rejected("there is nothing to go back to")
        try:
            text = await self._change_to(target, note)
        except ConfigurationError as error:
            return self._reject(error)
        self.in_force.rollback_target = None
        return done(text)

    async def _roll_back_expired_trial(self) -> bool:
        """Roll back unless the trial has ended otherwise; false where a rollback is not possible now."""
        async with self._lock:
            if self._stopping or not self.trial.is_due():
                return True
            is_done, _ = await self._roll_back("not confirmed")
            return is_done
