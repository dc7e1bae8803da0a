"""Reads all targets' figures, poll by poll, and keeps what the checks of a stage need."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from quota_gateway.rollout.admin_clients import AdminClients, FencedError
from quota_gateway.rollout.figures import FiguresWindow, GatewayFigures, ProcessChangedError


class FleetMetrics:
    """The targets' latest figures.

    Attributes:
        latest: by target, its last report.
        first: by target, its first report since the watch began.
        unreachable_since_s: by target that does not answer, since when, by the event loop's clock.
    """

    def __init__(self, targets: Sequence[str], clients: AdminClients) -> None:
        self.targets = targets
        self.clients = clients
        self.latest: dict[str, GatewayFigures] = {}
        self.first: dict[str, GatewayFigures] = {}
        self.unreachable_since_s: dict[str, float] = {}

    async def begin_watch(self) -> None:
        """Forget what was read before, and read the reports that a watch starts from."""
        self.latest.clear()
        self.unreachable_since_s.clear()
        await self.read()
        self.first = dict(self.latest)

    async def read(self) -> dict[str, FiguresWindow]:
        """Read all; the window since the report before of each that answers and is the same process.

        Raises:
            FencedError: another controller has taken over.
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

    def pid_at_first(self, target: str) -> int:
        """Its process when the watch began; the present one where it did not answer then."""
        return self.first.get(target, self.latest[target]).pid

    def peak_memory_growth_kib(self) -> dict[str, int]:
        """Growth of each target's peak memory since the watch began."""
        return {
            name: figures.peak_memory_kib - self.first.get(name, figures).peak_memory_kib
            for name, figures in self.latest.items()
        }
