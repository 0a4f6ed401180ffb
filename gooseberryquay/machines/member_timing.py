"""Periods and timeouts of the membership protocol."""

import math
from dataclasses import dataclass, replace

__all__ = ["MembershipTiming"]

PULL_S_PER_MEMBER = 0.15


@dataclass(frozen=True)
class MembershipTiming:
    """Probe periods and timeouts, in seconds.

    `suspicion_s` applies to up to ten members; the timeout grows with log10 of their number.
    """

    period_s: float = 1.0
    probe_timeout_s: float = 0.5
    relay_timeout_s: float = 1.2
    suspicion_s: float = 4.0
    removed_retention_s: float = 3600.0
    seed_period_s: float = 20.0
    pull_min_s: float = 5.0

    def scaled(self, factor: float) -> "MembershipTiming":
        """Return a copy with every period multiplied by a factor; timeouts are unchanged."""
        return replace(
            self,
            period_s=self.period_s * factor,
            suspicion_s=self.suspicion_s * factor,
            seed_period_s=self.seed_period_s * factor,
            pull_min_s=self.pull_min_s * factor,
        )

    def suspicion_timeout_s(self, members: int) -> float:
        """Return the time that a suspected member has to refute."""
        return self.suspicion_s * max(1.0, math.log10(max(members, 1)))

    def pull_interval_s(self, members: int) -> float:
        """Return the minimum time between two pulls of a full member list."""
        return max(self.pull_min_s, members * PULL_S_PER_MEMBER)

    def seed_interval_s(self, members: int) -> float:
        """Return the mean time between two reads of the seeds and the platform's list."""
        return self.seed_period_s * max(1.0, members / 8)

    def pause_s(self) -> float:
        """Return the time without a tick after which this process must have been paused."""
        return 3 * self.period_s + self.probe_timeout_s
