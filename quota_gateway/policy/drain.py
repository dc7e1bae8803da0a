"""Drain: the steps by which a gateway moves its clients to other gateways, and how a drain is undone."""

from __future__ import annotations

from typing import NamedTuple

from quota_gateway.api import DrainChanged, SetServing
from quota_gateway.state import Context, DrainState, drain_transition


class DrainStep(NamedTuple):
    """A step of a drain: when it is due, and how long a client connection may be idle from then on."""

    after_ms: float
    keep_idle_ms: float


# Load balancers are notified when a drain begins and have until the first step to notice. From then on client
# connections are closed once they have been idle for ``keep_idle_ms``, after the last step at once.
DRAIN_STEPS = (DrainStep(800.0, 300.0), DrainStep(1500.0, 0.0))
RETRY_ELSEWHERE_MS = 200.0  # Retry-After once drained: other gateways serve the client


class ScheduledStep(NamedTuple):
    """A step that a timer awaits, and the drain to which it belongs."""

    drain_number: int
    step: DrainStep


class Drain:
    """Owns the state of the drain."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.state = DrainState.SERVING
        self.drain_number = 0  # changes when a drain begins or ends: timers of an earlier one do nothing

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun and was not undone."""
        return self.state is not DrainState.SERVING

    @property
    def is_drained(self) -> bool:
        """Whether the last step of a drain has come."""
        return self.state is DrainState.DRAINED

    def on_drain_changed(self, event: DrainChanged) -> None:
        """Begin a drain, or undo it; a repeated call changes nothing.

        Load balancers are notified at once; client connections are closed once they must have noticed.
        """
        if event.active == self.is_draining:
            return
        self._move_to(DrainState.DRAINING if event.active else DrainState.SERVING)
        self.drain_number += 1
        self.context.actions.append(SetServing(not event.active))
        self.context.log("drain begun by an operator" if event.active else "drain ended by an operator")
        if event.active:
            for step in DRAIN_STEPS:
                self.context.arm(step.after_ms, self._on_step, ScheduledStep(self.drain_number, step))

    def _on_step(self, scheduled: ScheduledStep) -> None:
        if scheduled.drain_number != self.drain_number:
            return
        if scheduled.step is DRAIN_STEPS[-1]:
            self._move_to(DrainState.DRAINED)
        self.context.actions.append(SetServing(False, scheduled.step.keep_idle_ms))

    def _move_to(self, state: DrainState) -> None:
        self.state = drain_transition(self.state, state)
