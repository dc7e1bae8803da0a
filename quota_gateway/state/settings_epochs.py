"""Settings epochs: past settings, and the customers whose state has not been brought up to date with changes.

Each change of settings begins an epoch. A customer's row is first brought up to the time of the change by the
settings before it: its bucket drains at the old rate until the change and at the new one from then on.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from quota_gateway.api import Plan
from quota_gateway.state.records import CustomerKey


class PastEpoch(NamedTuple):
    """The settings that held until a change, and the number of gateways from the change on."""

    until_ms: float
    plans: dict[str, Plan]  # retired plans included
    reading_lifetime_ms: float
    gateways_after: int


class SettingsEpochs:
    """Owns the present epoch's number, plans and gateways, and the past epochs that rows may lag behind."""

    def __init__(self, plans: Iterable[Plan], gateways: int, max_retired_plans: int) -> None:
        self.plans = {plan.name: plan for plan in plans}
        self.gateways = gateways
        self.max_retired_plans = max_retired_plans
        self.epoch = 0  # number of changes so far
        self.past_epochs: list[PastEpoch] = []  # oldest first; empty once no customer lags behind
        self.lagging_customers: list[CustomerKey] = []
        self.retired_plans: dict[str, Plan] = {}  # the newest of the plans that the settings no longer have

    def plan(self, name: str) -> Plan | None:
        """A plan in force, or a retired one that is still remembered."""
        return self.plans.get(name) or self.retired_plans.get(name)

    def begin(
        self,
        now_ms: float,
        plans: dict[str, Plan],
        gateways: int,
        reading_lifetime_ms: float,
        customers: Iterable[CustomerKey],
    ) -> None:
        """Begin an epoch with these plans and this number of gateways. The customers given lag behind it.

        ``reading_lifetime_ms`` is the lifetime of readings that held until now.
        """
        plans_before = self.retired_plans | self.plans
        self.past_epochs.append(PastEpoch(now_ms, plans_before, reading_lifetime_ms, gateways))
        self.epoch += 1
        self.retired_plans = self._newest_retired(plans_before, plans)
        self.plans = plans
        self.gateways = gateways
        self.lagging_customers = list(customers)

    def _newest_retired(self, plans_before: dict[str, Plan], plans: dict[str, Plan]) -> dict[str, Plan]:
        """Plans that are no longer in force, oldest first, without those beyond the bound."""
        retired = {name: plan for name, plan in plans_before.items() if name not in plans}
        for name in list(retired)[: -self.max_retired_plans]:
            del retired[name]
        return retired

    def missed_epochs(self, epoch: int) -> list[PastEpoch]:
        """The past epochs that a row brought up to this epoch has missed, oldest first."""
        missed_count = self.epoch - epoch
        return self.past_epochs[-missed_count:] if missed_count > 0 else []

    def note_caught_up(self, count: int) -> None:
        """Remove the last ``count`` lagging customers. Once none lags, the past epochs are forgotten."""
        del self.lagging_customers[-count:]
        if not self.lagging_customers:
            self.past_epochs.clear()
