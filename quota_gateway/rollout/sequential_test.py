"""A mixture sequential probability ratio test (a normal mixture over the difference, Robbins).

Its error probability holds however often it is evaluated, so a rollout may evaluate it at every poll. The
functions take a difference of two shares (0 to 1) and the variance of that difference. ``scale`` is the
difference that the test finds soonest, and ``threshold`` is the logarithm of a likelihood ratio.
"""

from __future__ import annotations

from math import inf, log, sqrt


def log_threshold(false_stop_ratio: float, tests: int) -> float:
    """The log likelihood ratio above which a difference is significant.

    The allowed error is divided evenly among ``tests`` tests. The factor 0.5 is there because only an
    increase counts (one-sided test).
    """
    return log(0.5 * tests / false_stop_ratio)


def log_likelihood_ratio(difference: float, variance: float, scale: float) -> float:
    """Log likelihood ratio of a positive difference against none; minus infinity unless it is positive."""
    if difference <= 0.0 or variance == inf:
        return -inf
    mixture_variance = scale * scale
    return 0.5 * log(
        variance / (variance + mixture_variance)
    ) + difference * difference * mixture_variance / (2.0 * variance * (variance + mixture_variance))


def upper_bound(difference: float, variance: float, scale: float, threshold: float) -> float:
    """Upper end of the confidence sequence, which holds the true difference at all evaluations at once."""
    if variance == inf:
        return inf
    mixture_variance = scale * scale
    bound = threshold + 0.5 * log((variance + mixture_variance) / variance)
    return difference + sqrt(2.0 * variance * (variance + mixture_variance) / mixture_variance * bound)
