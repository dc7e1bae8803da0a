"""Small value types that several modules of the policy share."""

from __future__ import annotations

from functools import lru_cache
from math import inf
from typing import NamedTuple

# A customer's plan and name.
CustomerKey = tuple[str, str]


class AttemptKey(NamedTuple):
    """Identifies one attempt among all of a gateway's attempts."""

    request_id: str
    number: int


# `Moment` and `FailureRecord` are plain tuples, as CPython reads these faster than instances of any class:
# each choice of a server reads one of both for each server that it compares.

# When an estimate was recorded, by the two clocks of its decay: time in ms, and attempts started here.
Moment = tuple[float, int]
NEVER: Moment = (-inf, 0)

# Failures and all outcomes, both decayed to the moment at which they were last recorded.
FailureRecord = tuple[float, float, Moment]
NO_FAILURES: FailureRecord = (0.0, 0.0, NEVER)


MAX_CACHED_KEYS = 1024  # pairs of class and plan


class FailureKeys(NamedTuple):
    """Keys of a request's failure records at a server."""

    server: str  # of the server as a whole: the empty string, which is no class's key
    request_class: str
    class_of_plan: str


@lru_cache(MAX_CACHED_KEYS)
def failure_keys(class_name: str, plan_name: str) -> FailureKeys:
    """The keys of requests of a class and plan."""
    return FailureKeys("", f"class {class_name}", f"class {class_name} of plan {plan_name}")
