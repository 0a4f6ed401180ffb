"""Highest memory use that a set of requests is expected to reach."""

import math

__all__ = ["expected_peak_tokens"]


def expected_peak_tokens(count: float, held_tokens: float, remaining_tokens: float) -> float:
    """Give the highest expected memory use from now on.

    With exponential remaining lengths of mean m, `count * (held + h) * exp(-h / m)` tokens are
    expected after h more steps, which is highest at h = m - held.
    """
    if remaining_tokens <= held_tokens:
        return count * held_tokens
    return count * remaining_tokens * math.exp(held_tokens / remaining_tokens - 1.0)
