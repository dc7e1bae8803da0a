"""Which measures a canary analysis compares, and how much worse canary targets may do.

In a plan file these are the keys of the TOML table ``worse``.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

PositiveFloat = Annotated[float, Meta(gt=0)]
Ratio = Annotated[float, Meta(gt=0, le=1)]


class Measure(StrEnum):
    """A kind of request whose share of the answered requests is compared.

    The values are used in plans and journals.
    """

    REJECTED = "refused"
    FAILED = "failed"
    LATE = "late"  # served, but later than the latency objective
    SLOW = "slow"  # served, and slower than 90% of the requests before the change
    RETRIED = "resent"  # attempts beyond each request's first


TOLERANCE_FACTORS = {
    Measure.SLOW: 2.0,  # 10% of the requests are slow by definition, so the share is less precise
}


class CanaryLimits(
    Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"false_stop_ratio": "error", "detected_ratio": "scale", "tolerance_ratio": "tolerance"},
):
    """When a stage counts as worse.

    Attributes:
        measures: the measures that are compared.
        false_stop_ratio: upper bound of the chance that a harmless change is rolled back, over the whole
            rollout.
        detected_ratio: difference of shares that the analysis is tuned to find soonest.
        tolerance_ratio: a stage passes only once an increase of any share beyond this is ruled out.
        memory_mb: a canary target's peak memory may grow by this much more than that of any control target,
            in MiB.
    """

    measures: Annotated[tuple[Measure, ...], Meta(min_length=1)] = tuple(Measure)
    false_stop_ratio: Ratio = 0.01
    detected_ratio: Ratio = 0.02
    tolerance_ratio: Ratio = 0.05
    memory_mb: PositiveFloat = 32.0

    def tolerance_of(self, measure: Measure) -> float:
        """The largest increase of a measure's share with which a stage passes."""
        return self.tolerance_ratio * TOLERANCE_FACTORS.get(measure, 1.0)
