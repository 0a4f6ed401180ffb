"""Slots that this entry holds at one cold upstream."""

from dataclasses import dataclass, field

from gooseberryquay.contracts.upstream import UpstreamDeclaration

__all__ = ["ColdHolding"]

UNCERTAIN_END_S = 15.0


@dataclass
class ColdHolding:
    """Count slots held and in use; the owner serialises the calls.

    `held` is never more than what the platform has recorded.
    """

    upstream: UpstreamDeclaration
    held: int = 0
    is_wanted: bool = False
    is_validated: bool = True
    has_record: bool = False
    has_noted_warm: bool = False
    unsure_version: int | None = None
    try_again_at_s: float = 0.0
    failures: int = 0
    used_at_s: float = 0.0
    started_at_s: list[float] = field(default_factory=list)
    uncertain_ends_at_s: list[float] = field(default_factory=list)

    def free(self, now_s: float) -> int:
        """Give the number of slots that may be used now."""
        if not self.is_validated or self.has_noted_warm:
            return 0
        return self.unused(now_s)

    def unused(self, now_s: float) -> int:
        """Give the number of slots with no request in flight or in doubt."""
        self._expire(now_s)
        return self.held - len(self.started_at_s) - len(self.uncertain_ends_at_s)

    def take(self, now_s: float) -> bool:
        """Use a slot if one is free."""
        if self.free(now_s) <= 0:
            return False
        self.started_at_s.append(now_s)
        self.used_at_s = now_s
        return True

    def give_back(self, is_certain: bool, now_s: float) -> None:
        """Free a slot; where the upstream may still work on the request, only after a while."""
        if self.started_at_s:
            self.started_at_s.pop(0)
        self.used_at_s = now_s
        if not is_certain:
            self.uncertain_ends_at_s.append(now_s)

    def saw_in_flight(self, in_flight: int, measured_at_s: float) -> None:
        """Free slots in doubt where a report shows nothing but own known requests."""
        if in_flight <= self.in_flight_at(measured_at_s):
            self.uncertain_ends_at_s = [
                each for each in self.uncertain_ends_at_s if each >= measured_at_s
            ]

    def in_flight_at(self, measured_at_s: float) -> int:
        """Give the number of requests that were surely in flight at a time not long ago."""
        return sum(1 for each in self.started_at_s if each < measured_at_s)

    def idle_slots(self, now_s: float, idle_s: float) -> int:
        """Give the number of slots that have been unused for a while."""
        if now_s - self.used_at_s < idle_s:
            return 0
        return max(0, self.free(now_s))

    def is_unused(self) -> bool:
        """Tell whether nothing is held, in use or in doubt."""
        return not (self.held or self.started_at_s) and self.unsure_version is None

    def _expire(self, now_s: float) -> None:
        self.uncertain_ends_at_s = [
            each for each in self.uncertain_ends_at_s if now_s - each < UNCERTAIN_END_S
        ]
