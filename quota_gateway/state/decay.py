"""Decay of estimates: how much of a recorded value still counts."""

from __future__ import annotations

from math import exp, inf

from quota_gateway.state.records import Moment


class Decay:
    """Weights of recorded values by their age, in time and in attempts.

    A value fades by the slower of both ages: with few requests a server could not be tried again before all
    that is known of it has faded by time alone.
    """

    def __init__(self, time_constant_ms: float) -> None:
        self.time_constant_ms = time_constant_ms
        self.now = -inf  # ms
        self.attempts_started = 0
        self.listed_servers = 1  # the other time constant, in attempts

    def moment(self) -> Moment:
        """The present, for a value that is recorded."""
        return (self.now, self.attempts_started)

    def remaining_ratio(self, recorded_at: Moment) -> float:
        """The part, 0 to 1, that is left of a value recorded then."""
        age_in_time = (self.now - recorded_at[0]) / self.time_constant_ms
        age_in_attempts = (self.attempts_started - recorded_at[1]) / self.listed_servers
        return exp(-age_in_time if age_in_time < age_in_attempts else -age_in_attempts)
