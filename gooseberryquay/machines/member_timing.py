"""Periods and time-outs of the membership protocol."""

import math
from dataclasses import dataclass, replace

__all__ = ["MembershipTiming"]

PULL_S_PER_MEMBER = 0.15


@dataclass(frozen=True)
class MembershipTiming:
    """Set how often members are probed and how long each step may take.

    `suspicion_s` holds for up to ten members and grows with the logarithm of their number.
    """

    period_s: float = 1.0
    probe_timeout_s: float = 0.5
    relay_timeout_s: float = 1.2
    suspicion_s: float = 4.0
    remembered_s: float = 3600.0
    seed_period_s: float = 20.0
    pull_min_s: float = 5.0

    def scaled(self, factor: float) -> "MembershipTiming":
        """Give the same timing with every period multiplied; time-outs stay."""
        return replace(
            self,
            period_s=self.period_s * factor,
            suspicion_s=self.suspicion_s * factor,
            seed_period_s=self.seed_period_s * factor,
            pull_min_s=self.pull_min_s * factor,
        )

    def suspicion_for_s(self, members: int) -> float:
        """Give the time that a suspected member has to refute."""
        return self.suspicion_s * max(1.0, math.log10(max(members, 1)))

    def pull_interval_s(self, members: int) -> float:
        """Give the least time between two reads of a whole member list."""
        return max(self.pull_min_s, members * PULL_S_PER_MEMBER)

    def seed_interval_s(self, members: int) -> float:
        """Give the mean time between two looks at the seeds and the platform's list."""
        return self.seed_period_s * max(1.0, members / 8)

    def pause_s(self) -> float:
        """Give the time without a step after which this process must have been paused."""
        return 3 * self.period_s + self.probe_timeout_s
