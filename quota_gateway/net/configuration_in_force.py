"""The configuration in force, and the two steps that replace it: prepare and apply."""

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
    """Holds the configuration in force, its revision, and the rollback target.

    A change is prepared, then applied. All that can fail without a bug in this program belongs to the
    preparation: reading and checking the file, and opening a new listener for the admin endpoint. Applying
    runs without a suspension, so that no request is decided by parts of two configurations.
    """

    def __init__(self, config: Config, parts: ProcessParts, admin_endpoint: admin.AdminEndpoint) -> None:
        self.config = config
        self.revision = 1
        self.since_s = time.time()
        self.rollback_target: Config | None = None  # in force before the last change, or before the trial
        self._parts = parts
        self._admin_endpoint = admin_endpoint

    def describe(self) -> str:
        """Revision, digest and time of the last change, for an answer at the admin endpoint."""
        return f"revision {self.revision}, digest {self.config.digest}, since {format_utc(self.since_s)}"

    async def prepare(self, config: Config) -> asyncio.Server | None:
        """Open a new listener for the admin endpoint if its address changes; None if it doesn't.

        Raises:
            ConfigurationError: The new address can't be bound.
        """
        if config.admin is None or config.admin == self.config.admin:
            return None
        try:
            return await self._admin_endpoint.bind(*config.admin)
        except OSError as error:
            raise ConfigurationError([f"admin: can't listen there: {error.strerror or error}"]) from None

    def apply(self, config: Config, admin_server: asyncio.Server | None, note: str) -> str:
        """Put a prepared configuration into force; returns a summary for the answer to the admin command.

        Raises ConfigurationError where the policy fails on the new settings; nothing is changed then.
        """
        changes = config.changes(self.config)
        self._apply_to_policy(config.settings)
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

    def _apply_to_policy(self, settings: api.Settings) -> None:
        driver = self._parts.driver
        if settings != driver.gateway.context.settings:
            driver.post(api.SettingsChanged(settings))
        if settings != driver.gateway.context.settings:
            raise ConfigurationError(["the policy failed on the new settings, see the gateway's log"])

    def _apply_to_sockets(self, config: Config, admin_server: asyncio.Server | None) -> None:
        max_connections = connection_budget(config)
        parts = self._parts
        parts.servers.reconfigure(config.settings, max_connections)
        parts.clients.reconfigure(config.settings, max_connections)
        parts.discovery.reconfigure(config.settings.gateways, config.settings.discovery)
        parts.discovery.move(config.discovery)
        if config.admin != self.config.admin:
            self._admin_endpoint.move(admin_server)


def format_utc(unix_time_s: float) -> str:
    """A Unix time as the answers of the admin endpoint show it."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_time_s))
