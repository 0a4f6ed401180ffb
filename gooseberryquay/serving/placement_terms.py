"""What a request needs of an upstream, and what is known of the load that others cause there."""

from dataclasses import dataclass
from typing import Protocol

from gooseberryquay.ids import UpstreamId, ZoneId

__all__ = [
    "AVOIDED_PENALTY",
    "COLD_PENALTY",
    "GROWTH_SHARE",
    "MEMORY_SHARE_MAX",
    "EngineNeed",
    "EnginePreference",
    "NoPeerLoads",
    "PeerLoad",
    "PeerLoads",
]

# Generations end at different times, so their peaks do not add up.
GROWTH_SHARE = 0.6
# Leaves room for generations whose length was underestimated.
MEMORY_SHARE_MAX = 0.95
# Outweighs any load.
AVOIDED_PENALTY = 10.0
# A cold engine is slow for about 1 s.
COLD_PENALTY = 0.3


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Aggregate the requests of other entries at one upstream."""

    runs: int
    held_tokens: float
    growth_tokens: float
    unread_tokens: float

    def plus(self, other: "PeerLoad") -> "PeerLoad":
        """Return the sum of this load and another."""
        return PeerLoad(
            self.runs + other.runs,
            self.held_tokens + other.held_tokens,
            self.growth_tokens + other.growth_tokens,
            self.unread_tokens + other.unread_tokens,
        )


class PeerLoads(Protocol):
    """Provide the load of other entries."""

    def load_at(self, upstream: UpstreamId) -> PeerLoad:
        """Return the load of other entries at one upstream."""

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Return whether this entry's cell owns an engine and so prefers it."""


class NoPeerLoads:
    """Provide no peer loads, for entries that do not exchange them."""

    def load_at(self, upstream: UpstreamId) -> PeerLoad:
        """Return a load of zero."""
        return PeerLoad(0, 0.0, 0.0, 0.0)

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Return True, as no engine is preferred."""
        return True


@dataclass(frozen=True, slots=True)
class EngineNeed:
    """Describe the KV cache that a generation needs on an engine, in tokens."""

    prompt_tokens: int
    expected_tokens: float
    # Longest pause of a stream that is on time, and when its first event is due, if known.
    gap_target_s: float | None = None
    first_due_at_s: float | None = None
    priority: int = 0

    @property
    def planned_tokens(self) -> float:
        """Return the number of KV cache tokens to reserve."""
        return self.prompt_tokens + GROWTH_SHARE * self.expected_tokens


@dataclass(frozen=True, slots=True)
class EnginePreference:
    """Define score penalties for engines of other zones and other cells.

    A migration has no time for a second target, so it avoids engines whose latest request failed.
    """

    zone: ZoneId
    other_zone_penalty: float
    other_cell_penalty: float
    is_of_move: bool = False
