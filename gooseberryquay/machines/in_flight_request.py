"""Memory use of one own request in flight at an upstream."""

from gooseberryquay.machines.length_estimate import MIN_REMAINING_TOKENS, LengthDistribution

__all__ = ["InFlightRequest"]


class InFlightRequest:
    """Track the memory that one request holds and the tokens that it still needs."""

    __slots__ = ("_distribution", "_interval", "generated_tokens", "max_tokens", "prompt_tokens")

    def __init__(
        self, prompt_tokens: int, max_tokens: int, distribution: LengthDistribution
    ) -> None:
        self._distribution = distribution
        self._interval = distribution.interval_at(0)
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.generated_tokens = 0

    @property
    def held_tokens(self) -> float:
        """Return the memory in use, in tokens."""
        return float(self.prompt_tokens + self.generated_tokens)

    @property
    def remaining_tokens(self) -> float:
        """Return the expected number of further tokens, bounded by `max_tokens`."""
        generated_tokens = self.generated_tokens
        interval = self._interval
        if generated_tokens >= interval.end_tokens:
            interval = self._interval = self._distribution.interval_at(generated_tokens)
        if interval.mean_tokens is None:
            expected_tokens = self._distribution.remaining_tokens(generated_tokens)
        else:
            expected_tokens = max(MIN_REMAINING_TOKENS, interval.mean_tokens - generated_tokens)
        left_tokens = self.max_tokens - generated_tokens
        if expected_tokens <= left_tokens:
            return expected_tokens
        return float(max(0, left_tokens))
