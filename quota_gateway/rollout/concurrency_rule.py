"""Decides which targets may be changed at the same time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence

from quota_gateway.rollout.plan import Plan


class ConcurrencyRule:
    """Chooses the targets to change next, while others are being changed.

    Never lets all gateways of a zone or of a customer be changed at once, as that would cause rejections
    there: a target that would complete such a set waits until another one is done. A customer is served by
    consecutive gateways, in the order of the plan's targets.
    """

    def __init__(self, plan: Plan) -> None:
        self.max_concurrent = plan.max_concurrent
        self.names = plan.target_names()
        self.set_size = min(plan.customer_set_size, len(self.names))
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.zones = {target.name: target.zone for target in plan.targets}
        self.zone_targets = defaultdict[str, set[str]](set)
        for target in plan.targets:
            self.zone_targets[target.zone].add(target.name)

    def next_to_change(self, waiting: Sequence[str], changing: Collection[str]) -> list[str]:
        """The waiting targets that may be changed now, in their order."""
        unavailable = set(changing)
        chosen: list[str] = []
        for name in waiting:
            if len(unavailable) >= self.max_concurrent:
                break
            candidate = unavailable | {name}
            if not self._empties_zone(name, candidate) and not self._empties_customer_set(name, candidate):
                unavailable = candidate
                chosen.append(name)
        return chosen

    def _empties_zone(self, name: str, unavailable: set[str]) -> bool:
        """Whether a target's whole zone would be unavailable; never true for a zone of one target."""
        targets = self.zone_targets[self.zones[name]]
        return len(targets) > 1 and targets <= unavailable

    def _empties_customer_set(self, name: str, unavailable: set[str]) -> bool:
        """Whether all gateways of a customer that a target serves would be unavailable."""
        count = len(self.names)
        position = self.positions[name]
        return any(
            all(self.names[(first + offset) % count] in unavailable for offset in range(self.set_size))
            for first in range(position - self.set_size + 1, position + 1)
        )
