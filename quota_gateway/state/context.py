"""What all parts of the policy share: settings in force, time, random numbers, timers, actions."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from quota_gateway.api import Action, Log, SetTimer, Settings, TimerFired
from quota_gateway.state.decay import Decay

if TYPE_CHECKING:
    from quota_gateway.state.pending_request import PendingRequest

MAX_LOGGED_ONCE = 100  # different lines remembered by `Context.log_once`, so that none is logged twice

Argument = TypeVar("Argument")


class ArmedTimer(NamedTuple):
    """What to call when a timer is due. A gateway holds several for each pending request."""

    callback: Callable[[Any], None]
    argument: Any


class Context:
    """The settings, the event being handled with its actions in order, and the armed timers.

    Settings change only by a ``SettingsChanged`` event, and always as a whole.
    """

    def __init__(self, settings: Settings, seed: int, estimate_decay_ms: float) -> None:
        self.random = Random(seed)
        self.decay = Decay(estimate_decay_ms)
        self.started_ms = inf  # time of the first event
        self.now_ms = -inf  # time of the event being handled
        self.actions: list[Action] = []
        self.timers: dict[int, ArmedTimer] = {}  # by token
        self.last_token = 0
        self.disarmed: list[int] = []  # tokens of timers that the event being handled made pointless
        self.logged_once: set[str] = set()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Put these settings in force."""
        self.settings = settings
        self.limits = settings.limits
        self.classes = {item.name: item for item in settings.classes}
        self.highest_priority_weight = max(item.priority_weight for item in settings.classes) or 1.0

    def begin_event(self, now_ms: float) -> None:
        """Set the time of the next event and begin its actions. Raises ValueError if the time goes back."""
        if not now_ms >= self.now_ms:
            raise ValueError(f"now_ms: {now_ms!r} is before the previous event's time {self.now_ms!r}")
        self.now_ms = now_ms
        self.decay.now_ms = now_ms
        self.actions = []
        self.disarmed = []
        if self.started_ms > now_ms:
            self.started_ms = now_ms

    def arm(self, delay_ms: float, callback: Callable[[Argument], None], argument: Argument) -> int:
        """Arm a timer that calls back with this argument after the delay; returns its token."""
        self.last_token += 1
        self.timers[self.last_token] = ArmedTimer(callback, argument)
        self.actions.append(SetTimer(self.last_token, delay_ms))
        return self.last_token

    def arm_for(
        self,
        pending: PendingRequest,
        delay_ms: float,
        callback: Callable[[Argument], None],
        argument: Argument,
    ) -> None:
        """Arm a timer that means nothing beyond the end of this request."""
        pending.timer_tokens.append(self.arm(delay_ms, callback, argument))

    def disarm_all(self, pending: PendingRequest) -> None:
        """Forget the timers of a request, so that they keep nothing alive; some may have fired already.

        There is no action for this: a timer that fires all the same does nothing.
        """
        self.disarmed += [token for token in pending.timer_tokens if self.timers.pop(token, None)]

    def fire(self, event: TimerFired) -> None:
        """Call back for a timer that is due. A timer with an unknown token does nothing."""
        timer = self.timers.pop(event.token, None)
        if timer:
            timer.callback(timer.argument)

    def log(self, text: str) -> None:
        """Add a log line to the actions."""
        self.actions.append(Log(text))

    def log_once(self, text: str) -> None:
        """Log a line unless it was logged before; beyond ``MAX_LOGGED_ONCE`` different ones, log nothing."""
        if text not in self.logged_once and len(self.logged_once) < MAX_LOGGED_ONCE:
            self.logged_once.add(text)
            self.log(text)
