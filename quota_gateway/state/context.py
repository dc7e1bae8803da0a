"""What every decision is given: the settings in force, the time, chance, and where its actions go."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from quota_gateway.api import Action, Log, SetTimer, Settings, TimerFired
from quota_gateway.state.decay import Decay

MOST_LOGGED = 100  # lines that are told once, of each gateway


class Context:
    """The settings, the event at hand with its actions in order, and the timers that are set.

    Settings change between two events only, and whole. ``fade_ms`` is the time constant of ``decay``.
    """

    def __init__(self, settings: Settings, seed: int, fade_ms: float) -> None:
        self.random = Random(seed)
        self.decay = Decay(fade_ms)
        # milliseconds: the first event, the one at hand
        self.since = inf
        self.now = -inf
        self.actions: list[Action] = []
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.tokens = 0
        self.logged: set[str] = set()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """These settings are in force from now on."""
        self.settings = settings
        self.limits = settings.limits
        self.classes = {item.name: item for item in settings.classes}
        self.highest_priority_weight = max(item.priority_weight for item in settings.classes) or 1.0

    def begin(self, now_ms: float) -> None:
        """Another event is at hand. Raises ValueError if its time goes back."""
        if not now_ms >= self.now:
            raise ValueError(f"now_ms: {now_ms!r} is before {self.now!r}")
        self.now = self.decay.now = now_ms
        self.actions = []
        if self.since > now_ms:
            self.since = now_ms

    def arm(self, delay: float, call: Callable[[Any], None], argument: Any) -> None:
        """Call this after so many milliseconds."""
        self.tokens += 1
        self.timers[self.tokens] = (call, argument)
        self.actions.append(SetTimer(self.tokens, delay))

    def fire(self, event: TimerFired) -> None:
        """A timer has fallen due; one that is not known does nothing."""
        call = self.timers.pop(event.token, None)
        if call:
            call[0](call[1])

    def log(self, text: str) -> None:
        """Have a line logged."""
        self.actions.append(Log(text))

    def log_once(self, text: str) -> None:
        """Have a line logged unless it was before, or so many others were."""
        if text not in self.logged and len(self.logged) < MOST_LOGGED:
            self.logged.add(text)
            self.log(text)
