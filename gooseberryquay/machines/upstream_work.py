"""One own request in flight at an upstream."""

from gooseberryquay.machines.length_estimate import MIN_REMAINING_TOKENS, LengthCurve

__all__ = ["UpstreamWork"]


class UpstreamWork:
    """Count what one request holds at its upstream and still needs."""

    __slots__ = ("_curve", "_span", "generated_tokens", "max_tokens", "prompt_tokens")

    def __init__(self, prompt_tokens: int, max_tokens: int, curve: LengthCurve) -> None:
        self._curve = curve
        self._span = curve.span_at(0)
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.generated_tokens = 0

    @property
    def held_tokens(self) -> float:
        """Give the memory in use, in tokens."""
        return float(self.prompt_tokens + self.generated_tokens)

    @property
    def remaining_tokens(self) -> float:
        """Give the expected further tokens."""
        generated_tokens = self.generated_tokens
        span = self._span
        if generated_tokens >= span.end_tokens:
            span = self._span = self._curve.span_at(generated_tokens)
        if span.mean_tokens is None:
            expected_tokens = self._curve.remaining_tokens(generated_tokens)
        else:
            expected_tokens = max(MIN_REMAINING_TOKENS, span.mean_tokens - generated_tokens)
        left_tokens = self.max_tokens - generated_tokens
        if expected_tokens <= left_tokens:
            return expected_tokens
        return float(max(0, left_tokens))
