"""Which faults were on at which gateway and when, and what they excuse."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import NamedTuple

from quota_gateway.fault_bench.records import StepCarriedOut


class Excuse(Enum):
    """What a fault excuses in a request that was in flight meanwhile; the value is the report's word."""

    LOST = "lost"
    LATE = "late"


LOST_OR_LATE = frozenset((Excuse.LOST, Excuse.LATE))
LOST = frozenset((Excuse.LOST,))
LATE = frozenset((Excuse.LATE,))
EXCUSES: dict[str, frozenset[Excuse]] = {  # of faults at the gateway, or on its clients' link
    "kill": LOST_OR_LATE,
    "stop": LOST_OR_LATE,
    "memory": LOST_OR_LATE,
    "busy": LATE,
    "delay": LATE,
    "silent": LOST_OR_LATE,
    "partition": LOST_OR_LATE,
    "reset": LOST,
    "lose": LOST,
    "cut": LOST,
    "refuse": LOST,
}
# Requests that are sent so long after a fault are excused as well: what it spoilt is noticed late.
AFTERMATH_MS = 1500.0
CLIENTS = "clients"  # the party whose links to the gateways count


class FaultWindow(NamedTuple):
    """A fault at a gateway, and from when to when it was on."""

    action: str
    begin_ms: float
    end_ms: float


class FaultWindows:
    """The faults that gateways are excused for. Towards servers and discovery a gateway has to cope."""

    def __init__(self) -> None:
        self._windows: dict[str, list[FaultWindow]] = {}  # by gateway
        self._open: dict[tuple[int, str], int] = {}  # by step and target: which of the gateway's windows

    def record(self, step: StepCarriedOut) -> None:
        """Take note of a step that is carried out, or undone."""
        if step.action not in EXCUSES:
            return
        for target in step.targets:
            gateway = _gateway_of(target)
            if gateway is None:
                continue
            if step.undone:
                self._close(step, target, gateway)
            else:
                self._begin(step, target, gateway)

    def _begin(self, step: StepCarriedOut, target: str, gateway: str) -> None:
        windows = self._windows.setdefault(gateway, [])
        self._open[step.number, target] = len(windows)
        end_ms = step.time_ms if step.action == "kill" else inf  # a kill's is moved on to the new start
        windows.append(FaultWindow(step.action, step.time_ms, end_ms))

    def _close(self, step: StepCarriedOut, target: str, gateway: str) -> None:
        index = self._open.pop((step.number, target), None)
        if index is not None:
            begin_ms = self._windows[gateway][index].begin_ms
            self._windows[gateway][index] = FaultWindow(step.action, begin_ms, step.time_ms)

    def actions_at(self, gateway: str) -> set[str]:
        """The excusing faults that a gateway has had so far, also those that are over."""
        return {window.action for window in self._windows.get(gateway, ())}

    def is_excused(self, gateway: str, sent_ms: float, ended_ms: float, excuse: Excuse) -> bool:
        """Whether a fault excuses a request that was in flight there from one time to the other."""
        return any(
            excuse in EXCUSES[window.action]
            and window.begin_ms <= ended_ms
            and sent_ms <= window.end_ms + AFTERMATH_MS
            for window in self._windows.get(gateway, ())
        )


def _gateway_of(target: str) -> str | None:
    """The gateway that a step's target is, or whose clients' link it is; None for other links."""
    caller, arrow, called = target.partition(">")
    if not arrow:
        return target
    return called if caller == CLIENTS else None
