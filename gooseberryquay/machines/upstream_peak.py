"""Expected peak memory use of a set of requests."""

import math

__all__ = ["expected_peak_tokens"]


def expected_peak_tokens(count: float, held_tokens: float, remaining_tokens: float) -> float:
    """Return the highest expected memory use from now on, in tokens.

    With exponentially distributed remaining lengths of mean m, the expected use after h more
    steps is `count * (held + h) * exp(-h / m)`, which is highest at h = m - held.
    """
    if remaining_tokens <= held_tokens:
        return count * held_tokens
    return count * remaining_tokens * math.exp(held_tokens / remaining_tokens - 1.0)
