"""What a canary analysis compares, and how much worse the changed targets may be: TOML table ``worse``."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

PositiveFloat = Annotated[float, Meta(gt=0)]
Ratio = Annotated[float, Meta(gt=0, le=1)]


class Measure(StrEnum):
    """A share of the answered requests; the values stand in plans and in journals."""

    REJECTED = "refused"
    FAILED = "failed"
    LATE = "late"  # served after the latency objective
    SLOW = "slow"  # slower than nine tenths were before the change
    RETRIED = "resent"  # attempts beyond the first


TOLERANCE_FACTORS = {
    Measure.SLOW: 2.0,  # a tenth is slow by definition, so that its share is known less precisely
}


class CanaryLimits(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"false_stop_ratio": "error", "detected_ratio": "scale", "tolerance_ratio": "tolerance"},
):
    """When a stage counts as worse.

    Attributes:
        measures: what is compared.
        false_stop_ratio: chance that a harmless change is rolled back, over the whole rollout.
        detected_ratio: difference of shares that is found soonest.
        tolerance_ratio: a stage passes only if no share can be worse by more.
        memory_mb: a changed target's peak memory may grow by this much more than the others, in MiB.
    """

    measures: Annotated[tuple[Measure, ...], Meta(min_length=1)] = tuple(Measure)
    false_stop_ratio: Ratio = 0.01
    detected_ratio: Ratio = 0.02
    tolerance_ratio: Ratio = 0.05
    memory_mb: PositiveFloat = 32.0

    def tolerance_of(self, measure: Measure) -> float:
        """The largest increase of a measure's share with which a stage passes."""
        return self.tolerance_ratio * TOLERANCE_FACTORS.get(measure, 1.0)
