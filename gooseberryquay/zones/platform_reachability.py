"""Which members cannot reach the platform, and whether they are most of them."""

import random
import threading
import time
from collections.abc import Iterable

from gooseberryquay.ids import EntryId
from gooseberryquay.zones.configuration_messages import UnreachableReport

__all__ = ["PlatformReachability"]

REPORT_LIFETIME_S = 3.0
MAX_REPORTS_SENT = 64


class PlatformReachability:
    """Count the members that report an outage; safe for use by many threads.

    A member that is not heard of any more counts until the member memory is over, so that
    the smaller side of a cut does not take itself for the whole.
    """

    def __init__(self, myself: EntryId, member_memory_s: float) -> None:
        self._myself = myself
        self._member_memory_s = member_memory_s
        self._lock = threading.Lock()
        self._members: dict[EntryId, float] = {myself: time.monotonic()}
        self._reports: dict[EntryId, float] = {}
        self._is_unreachable = False

    def see_members(self, members: Iterable[EntryId]) -> None:
        """Record members that are there now."""
        now_s = time.monotonic()
        with self._lock:
            self._members.update(dict.fromkeys(members, now_s))
            oldest_s = now_s - self._member_memory_s
            self._members = {each: at_s for each, at_s in self._members.items() if at_s >= oldest_s}
            self._members[self._myself] = now_s

    def forget_member(self, member: EntryId) -> None:
        """Stop counting a member that left in order."""
        with self._lock:
            self._members.pop(member, None)
            self._reports.pop(member, None)

    def members(self) -> tuple[EntryId, ...]:
        """Give the members that count."""
        with self._lock:
            return tuple(self._members)

    def mark(self, is_unreachable: bool) -> None:
        """Record whether this entry's last call reached the platform."""
        self._is_unreachable = is_unreachable

    def is_unreachable(self) -> bool:
        """Tell whether this entry's last call failed to reach the platform."""
        return self._is_unreachable

    def add_report(self, member: EntryId, age_s: float) -> bool:
        """Take in a member's report and tell whether it was not known before."""
        reported_at_s = time.monotonic() - age_s
        with self._lock:
            known_at_s = self._reports.get(member)
            self._reports[member] = max(known_at_s or reported_at_s, reported_at_s)
        return known_at_s is None or time.monotonic() - known_at_s > REPORT_LIFETIME_S

    def reports(self, chooser: random.Random) -> tuple[UnreachableReport, ...]:
        """Give this entry's own report and a bounded choice of the others."""
        now_s = time.monotonic()
        with self._lock:
            others = [each for each in self._unreachable_members(now_s) if each != self._myself]
            chosen = chooser.sample(others, min(len(others), MAX_REPORTS_SENT))
            passed_on = [
                UnreachableReport(entry=each, age_s=now_s - self._reports[each]) for each in chosen
            ]
        if self._is_unreachable:
            passed_on.append(UnreachableReport(entry=self._myself, age_s=0.0))
        return tuple(passed_on)

    def is_outage(self) -> bool:
        """Tell whether more than half of the known members cannot reach the platform."""
        with self._lock:
            unreachable = self._unreachable_members(time.monotonic())
            return 2 * len(unreachable) > len(self._members)

    def _unreachable_members(self, now_s: float) -> set[EntryId]:
        oldest_s = now_s - REPORT_LIFETIME_S
        found = {each for each, at_s in self._reports.items() if at_s >= oldest_s}
        found.discard(self._myself)
        if self._is_unreachable:
            found.add(self._myself)
        return found & self._members.keys()
