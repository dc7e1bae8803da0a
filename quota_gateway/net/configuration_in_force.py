"""The configuration in force, and the one step that puts another one into force."""

from __future__ import annotations

import asyncio
import logging
import time

from quota_gateway import api
from quota_gateway.config import Config, summarize
from quota_gateway.errors import ConfigurationError
from quota_gateway.net import admin
from quota_gateway.net.connection_budget import connection_budget
from quota_gateway.net.process_parts import ProcessParts

log = logging.getLogger(__name__)


class ConfigurationInForce:
    """Holds the configuration, its revision, and the one that a rollback leads to.

    A change is prepared, then applied. All that may fail without a fault of this program is prepared:
    reading, checking, a listener for the admin endpoint. Applying is one step of the event loop, so that no
    request is decided by parts of two configurations.
    """

    def __init__(self, config: Config, parts: ProcessParts, admin_endpoint: admin.AdminEndpoint) -> None:
        self.config = config
        self.revision = 1
        self.since_s = time.time()
        self.rollback_target: Config | None = None  # in force before the last change, or the trial
        self._parts = parts
        self._admin_endpoint = admin_endpoint

    def describe(self) -> str:
        """Revision, digest and time of the last change, for an answer at the admin endpoint."""
        return f"revision {self.revision}, digest {self.config.digest}, since {utc(self.since_s)}"

    async def prepare(self, config: Config) -> asyncio.Server | None:
        """A new listener of the admin endpoint, where it moves.

        Raises:
            ConfigurationError: There can be none.
        """
        if config.admin is None or config.admin == self.config.admin:
            return None
        try:
            return await self._admin_endpoint.bind(*config.admin)
        except OSError as error:
            raise ConfigurationError([f"admin: no listener there: {error.strerror or error}"]) from None

    def apply(self, config: Config, admin_server: asyncio.Server | None, note: str) -> str:
        """Put a prepared configuration into force; returns what has changed, for the caller's answer.

        Raises ConfigurationError where the decisions fail; all is as it was then.
        """
        changes = config.changes(self.config)
        self._apply_to_decisions(config.settings)
        self._apply_to_sockets(config, admin_server)
        self.config = config
        self.revision += 1
        self.since_s = time.time()
        log.info(
            "configuration %s is in force, revision %d%s: %s",
            config.digest,
            self.revision,
            f" ({note})" if note else "",
            summarize(changes),
        )
        return f"revision {self.revision}, {len(changes)} changes{f', {note}' if note else ''}"

    def _apply_to_decisions(self, settings: api.Settings) -> None:
        driver = self._parts.driver
        if settings != driver.gateway.context.settings:
            driver.post(api.SettingsChanged(settings))
        if settings != driver.gateway.context.settings:
            raise ConfigurationError(["the decisions failed"])

    def _apply_to_sockets(self, config: Config, admin_server: asyncio.Server | None) -> None:
        max_connections = connection_budget(config)
        parts = self._parts
        parts.servers.reconfigure(config.settings, max_connections)
        parts.clients.reconfigure(config.settings, max_connections)
        parts.discovery.reconfigure(config.settings.gateways, config.settings.discovery)
        parts.discovery.move(config.discovery)
        if config.admin != self.config.admin:
            self._admin_endpoint.move(admin_server)


def utc(at_s: float) -> str:
    """A moment of Unix time as answers and the log show it."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at_s))
