"""One own request in flight at an upstream."""

from gooseberryquay.machines.length_estimate import LengthCurve

__all__ = ["UpstreamWork"]


class UpstreamWork:
    """Count what one request holds at its upstream and still needs."""

    __slots__ = ("_curve", "generated_tokens", "max_tokens", "prompt_tokens")

    def __init__(self, prompt_tokens: int, max_tokens: int, curve: LengthCurve) -> None:
        self._curve = curve
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
        expected_tokens = self._curve.remaining_tokens(self.generated_tokens)
        return min(expected_tokens, float(max(0, self.max_tokens - self.generated_tokens)))
