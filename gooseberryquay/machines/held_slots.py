"""Slots held by this entry at one cold upstream."""

from dataclasses import dataclass, field

from gooseberryquay.contracts.upstream import UpstreamDeclaration

__all__ = ["HeldSlots"]

UNCERTAIN_END_S = 15.0


@dataclass
class HeldSlots:
    """Track slots held and in use; callers must serialize the calls.

    `held` never exceeds the number of slots recorded in the platform.
    """

    upstream: UpstreamDeclaration
    held: int = 0
    is_wanted: bool = False
    is_validated: bool = True
    has_record: bool = False
    has_recorded_warm: bool = False
    uncertain_version: int | None = None
    retry_at_s: float = 0.0
    failures: int = 0
    used_at_s: float = 0.0
    started_at_s: list[float] = field(default_factory=list)
    uncertain_ends_at_s: list[float] = field(default_factory=list)

    def free(self, now_s: float) -> int:
        """Return the number of slots that may be used now."""
        if not self.is_validated or self.has_recorded_warm:
            return 0
        return self.unused(now_s)

    def unused(self, now_s: float) -> int:
        """Return the number of slots without a request in flight or with unknown outcome."""
        self._expire(now_s)
        return self.held - len(self.started_at_s) - len(self.uncertain_ends_at_s)

    def take(self, now_s: float) -> bool:
        """Use a slot; return False if none is free."""
        if self.free(now_s) <= 0:
            return False
        self.started_at_s.append(now_s)
        self.used_at_s = now_s
        return True

    def return_slot(self, is_certain: bool, now_s: float) -> None:
        """Return a slot; if the request may still be running, free it only after a delay."""
        if self.started_at_s:
            self.started_at_s.pop(0)
        self.used_at_s = now_s
        if not is_certain:
            self.uncertain_ends_at_s.append(now_s)

    def record_in_flight(self, in_flight: int, measured_at_s: float) -> None:
        """Free slots with unknown outcome if a report shows only requests known to this entry."""
        if in_flight <= self.in_flight_at(measured_at_s):
            self.uncertain_ends_at_s = [
                each for each in self.uncertain_ends_at_s if each >= measured_at_s
            ]

    def in_flight_at(self, measured_at_s: float) -> int:
        """Return the number of requests that were certainly in flight at a recent time."""
        return sum(1 for each in self.started_at_s if each < measured_at_s)

    def idle_slots(self, now_s: float, idle_s: float) -> int:
        """Return the number of free slots if none was used for `idle_s`, else 0."""
        if now_s - self.used_at_s < idle_s:
            return 0
        return max(0, self.free(now_s))

    def is_unused(self) -> bool:
        """Return whether no slot is held or in use and no write has an unknown outcome."""
        return not (self.held or self.started_at_s) and self.uncertain_version is None

    def _expire(self, now_s: float) -> None:
        self.uncertain_ends_at_s = [
            each for each in self.uncertain_ends_at_s if now_s - each < UNCERTAIN_END_S
        ]
