"""What is left of a figure: it fades with time, but not before each server could be met again."""

from __future__ import annotations

from math import exp, inf

from quota_gateway.state.records import Moment


class Decay:
    """Weights of figures by their age, in time and in attempts; bounded by nothing but the clock."""

    def __init__(self, time_ms: float) -> None:
        self.time_ms = time_ms  # the time constant
        self.now = -inf
        self.sends = 0  # attempts sent so far
        self.servers = 1  # listed: so many attempts are the other time constant

    def moment(self) -> Moment:
        """Now, for a figure that is noted."""
        return (self.now, self.sends)

    def left(self, then: Moment) -> float:
        """The share, 0 to 1, that is left of a figure noted then."""
        in_time = (self.now - then[0]) / self.time_ms
        in_sends = (self.sends - then[1]) / self.servers
        return exp(-in_time if in_time < in_sends else -in_sends)
