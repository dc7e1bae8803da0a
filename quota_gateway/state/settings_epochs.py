"""Epochs: which settings held until when, and which customers are still to be brought up to date."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quota_gateway.api import Plan
from quota_gateway.state.records import CustomerKey


@dataclass(frozen=True, slots=True)
class Past:
    """What held until a change: by it customers are brought up to the change."""

    until: float
    plans: dict[str, Plan]
    gateways: int
    news_ms: float  # how long a reading of the meter was news


class Epochs:
    """The number of changes so far, and what held before each that some customer may lag behind."""

    def __init__(self, plans: Iterable[Plan], gateways: int, most_retired: int) -> None:
        self.plans = {item.name: item for item in plans}
        self.gateways = gateways
        self.most_retired = most_retired
        self.epoch = 0
        self.past: list[Past] = []
        self.lagging: list[CustomerKey] = []
        self.retired: dict[str, Plan] = {}  # plans that are gone, the newest of them

    def plan(self, name: str) -> Plan | None:
        """A plan in force, or one that is gone and remembered."""
        return self.plans.get(name) or self.retired.get(name)

    def turn(
        self,
        now: float,
        plans: dict[str, Plan],
        gateways: int,
        news_ms: float,
        keys: Iterable[CustomerKey],
    ) -> None:
        """Begin a new epoch. The customers with these keys lag behind from now on."""
        before = self.retired | self.plans
        self.past.append(Past(now, before, self.gateways, news_ms))
        self.epoch += 1
        self.retired = {name: plan for name, plan in before.items() if name not in plans}
        for name in list(self.retired)[: -self.most_retired]:
            del self.retired[name]
        self.plans = plans
        self.gateways = gateways
        self.lagging = list(keys)

    def behind(self, epoch: int) -> list[tuple[Past, int]]:
        """What held since an epoch, oldest first, each with the number of gateways that came after it."""
        past = self.past[epoch - self.epoch :] if epoch < self.epoch else []
        after = [item.gateways for item in past[1:]] + [self.gateways]
        return list(zip(past, after, strict=False))

    def caught_up(self, count: int) -> None:
        """The last so many that lagged behind do no more; once none does, the past is forgotten."""
        del self.lagging[-count:]
        if not self.lagging:
            self.past.clear()
