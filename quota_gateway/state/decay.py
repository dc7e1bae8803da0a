"""Exponential decay of estimates, by time and by the attempts started since they were recorded."""

from __future__ import annotations

from math import exp, inf

from quota_gateway.state.records import Moment


class Decay:
    """Computes the weight of an estimate from its age.

    An estimate decays with time, but no faster than with the attempts started since it was recorded, counted
    in units of one attempt for each server. Otherwise a gateway with little traffic would forget a failing
    server before it could have tried the others.
    """

    def __init__(self, time_constant_ms: float) -> None:
        self.time_constant_ms = time_constant_ms
        self.now_ms = -inf
        self.attempts_started = 0
        self.listed_servers = 1  # servers on the endpoint list: the time constant in attempts

    def moment(self) -> Moment:
        """The current moment, to be stored with an estimate that is recorded now."""
        return (self.now_ms, self.attempts_started)

    def remaining_ratio(self, recorded_at: Moment) -> float:
        """Weight, 0 to 1, that an estimate recorded at this moment still has."""
        recorded_ms, attempts_started = recorded_at
        age_in_time = (self.now_ms - recorded_ms) / self.time_constant_ms
        age_in_attempts = (self.attempts_started - attempts_started) / self.listed_servers
        return exp(-age_in_time if age_in_time < age_in_attempts else -age_in_attempts)
