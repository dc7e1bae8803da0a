"""A mixture sequential probability ratio test (a normal mixture over the difference, Robbins).

Its error holds however often it is evaluated, so that a rollout may look at every poll. Differences are of
shares (0 to 1) and variances are theirs; ``scale`` is the difference that is found soonest, and the threshold
is the logarithm of a likelihood ratio.
"""

from __future__ import annotations

from math import inf, log, sqrt


def log_threshold(false_stop_ratio: float, tests: int) -> float:
    """The evidence that a test needs, where the error is shared by so many of them.

    Halved, as only an increase counts.
    """
    return log(0.5 * tests / false_stop_ratio)


def log_likelihood_ratio(difference: float, variance: float, scale: float) -> float:
    """Evidence for a positive difference against none; minus infinity where there is no such difference."""
    if difference <= 0.0 or variance == inf:
        return -inf
    mixture_variance = scale * scale
    return 0.5 * log(
        variance / (variance + mixture_variance)
    ) + difference * difference * mixture_variance / (2.0 * variance * (variance + mixture_variance))


def upper_bound(difference: float, variance: float, scale: float, threshold: float) -> float:
    """Upper end of the confidence sequence: holds the true difference at all evaluations at once."""
    if variance == inf:
        return inf
    mixture_variance = scale * scale
    bound = threshold + 0.5 * log((variance + mixture_variance) / variance)
    return difference + sqrt(2.0 * variance * (variance + mixture_variance) / mixture_variance * bound)
