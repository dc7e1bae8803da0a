"""Polls the figures of all targets and keeps those that the checks of a stage need."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from quota_gateway.rollout.admin_clients import AdminClients, FencedError
from quota_gateway.rollout.figures import FiguresWindow, GatewayFigures, ProcessChangedError


class FleetMetrics:
    """The targets' latest figures.

    Attributes:
        latest: the last report of each target.
        first: the report of each target when the watch began; missing where it did not answer then.
        unreachable_since_s: for each target that does not answer, the event loop's time of the first poll
            that failed.
    """

    def __init__(self, targets: Sequence[str], clients: AdminClients) -> None:
        self.targets = targets
        self.clients = clients
        self.latest: dict[str, GatewayFigures] = {}
        self.first: dict[str, GatewayFigures] = {}
        self.unreachable_since_s: dict[str, float] = {}

    async def begin_watch(self) -> None:
        """Discard earlier reports, and read those that the watch of a stage compares later ones with."""
        self.latest.clear()
        self.unreachable_since_s.clear()
        await self.read()
        self.first = dict(self.latest)

    async def read(self) -> dict[str, FiguresWindow]:
        """Read the figures of all targets; return the growth since the previous read by target.

        Targets that do not answer, that were not read before or that were restarted since are left out.

        Raises:
            FencedError: another controller has called with a higher token.
        """
        reports = await asyncio.gather(*map(self.clients.figures, self.targets), return_exceptions=True)
        now_s = asyncio.get_running_loop().time()
        windows = {}
        for name, report in zip(self.targets, reports, strict=True):
            if isinstance(report, FencedError):
                raise report
            if not isinstance(report, GatewayFigures):
                self.unreachable_since_s.setdefault(name, now_s)
                continue
            self.unreachable_since_s.pop(name, None)
            earlier = self.latest.get(name)
            self.latest[name] = report
            if earlier:
                with suppress(ProcessChangedError):
                    windows[name] = report.since(earlier)
        return windows

    def pid_at_watch_start(self, target: str) -> int:
        """A target's process id when the watch began; the latest one if it did not answer then."""
        return self.first.get(target, self.latest[target]).pid

    def peak_memory_growth_kib(self) -> dict[str, int]:
        """Growth of each target's peak memory since the watch began."""
        return {
            name: figures.peak_memory_kib - self.first.get(name, figures).peak_memory_kib
            for name, figures in self.latest.items()
        }
