"""The time windows in which faults were active at each gateway, and which rule breaches they excuse."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import NamedTuple

from quota_gateway.fault_bench.records import StepCarriedOut


class Excuse(Enum):
    """What a fault excuses for requests in flight during it; the values are keys of the verdict's JSON."""

    LOST = "lost"  # the request got no reply
    LATE = "late"  # the reply came after the deadline


LOST_OR_LATE = frozenset((Excuse.LOST, Excuse.LATE))
LOST = frozenset((Excuse.LOST,))
LATE = frozenset((Excuse.LATE,))
EXCUSES: dict[str, frozenset[Excuse]] = {  # by the action of a fault at the gateway or on its clients' link
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
# Requests sent this soon after the end of a fault are excused too: some of its damage shows only later.
AFTERMATH_MS = 1500.0
CLIENTS = "clients"  # faults of the links from this party to the gateways excuse the gateways


class FaultWindow(NamedTuple):
    """A fault at a gateway, and when it began and ended."""

    action: str
    begin_ms: float
    end_ms: float


class FaultWindows:
    """Collects the faults that excuse a gateway.

    Faults on its links to servers and discovery excuse nothing: the gateway has to cope with them.
    """

    def __init__(self) -> None:
        self._windows: dict[str, list[FaultWindow]] = {}  # by gateway
        self._open: dict[tuple[int, str], int] = {}  # by step and target: index in the gateway's list

    def record(self, step: StepCarriedOut) -> None:
        """Open a window for a fault that is carried out, or close that of one that is undone."""
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
        # The end of a kill's window moves to the restart, if there is one.
        end_ms = step.time_ms if step.action == "kill" else inf
        windows.append(FaultWindow(step.action, step.time_ms, end_ms))

    def _close(self, step: StepCarriedOut, target: str, gateway: str) -> None:
        index = self._open.pop((step.number, target), None)
        if index is not None:
            begin_ms = self._windows[gateway][index].begin_ms
            self._windows[gateway][index] = FaultWindow(step.action, begin_ms, step.time_ms)

    def actions_so_far(self, gateway: str) -> set[str]:
        """The excusing faults that a gateway has had so far, including those that are over."""
        return {window.action for window in self._windows.get(gateway, ())}

    def is_excused(self, gateway: str, sent_ms: float, ended_ms: float, excuse: Excuse) -> bool:
        """Whether a fault excuses a request that was in flight from ``sent_ms`` to ``ended_ms``."""
        return any(
            excuse in EXCUSES[window.action]
            and window.begin_ms <= ended_ms
            and sent_ms <= window.end_ms + AFTERMATH_MS
            for window in self._windows.get(gateway, ())
        )


def _gateway_of(target: str) -> str | None:
    """The gateway of a target: the target itself, or the end of a link from clients; None for other links."""
    caller, arrow, called = target.partition(">")
    if not arrow:
        return target
    return called if caller == CLIENTS else None
