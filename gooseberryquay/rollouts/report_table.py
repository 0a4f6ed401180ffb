"""Reports of other entries on roll-outs, and their sums."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from gooseberryquay.ids import EntryId
from gooseberryquay.rollouts.course import RolloutCourse, Totals
from gooseberryquay.rollouts.report import RolloutReport, add_totals, parse_reports

__all__ = ["ReportTable"]

# As for loads, an older report is not summed.
REPORT_LIFETIME_S = 2.5
# A hub answers about 100 members a second, and adds up the reports of all far less often.
SUM_LIFETIME_S = 0.1

_Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class _Received:
    at_s: float
    is_of_hub: bool
    totals: dict[_Key, Totals]


@dataclass
class _Sum:
    """Sum of the reports of all members, or also of hubs, and what each entry adds to it."""

    at_s: float
    total: Totals = field(default_factory=Totals)
    parts: dict[EntryId, Totals] = field(default_factory=dict)


class ReportTable:
    """Keep the newest reports of each entry; not thread-safe."""

    def __init__(self) -> None:
        self._received: dict[EntryId, _Received] = {}
        self._sums: dict[tuple[_Key, bool], _Sum] = {}

    def receive(
        self, sender: EntryId, is_of_hub: bool, records: Iterable[Any], now_s: float
    ) -> list[RolloutReport]:
        """Keep the reports of an entry; return the well-formed ones."""
        reports = parse_reports(records)
        if reports or sender in self._received:
            totals = {each.key: each.totals() for each in reports}
            self._received[sender] = _Received(now_s, is_of_hub, totals)
        return reports

    def totals(self, course: RolloutCourse, now_s: float) -> Totals:
        """Return the sum over this entry and all others."""
        return self._with_own(course, self._sum(course, now_s, has_hubs=True), None)

    def totals_for(
        self, peer: EntryId, course: RolloutCourse, now_s: float, is_hub: bool, is_to_hub: bool
    ) -> Totals:
        """Return the sum to report to a peer, so that no entry is counted twice there.

        A member reports its own counts; a hub adds those of its members, and for a member those of
        the other hubs.
        """
        if not is_hub:
            return course.own
        return self._with_own(course, self._sum(course, now_s, has_hubs=not is_to_hub), peer)

    def _with_own(self, course: RolloutCourse, others: _Sum, excluded: EntryId | None) -> Totals:
        total = Totals()
        add_totals(total, others.total)
        add_totals(total, course.own)
        if excluded in others.parts:
            add_totals(total, others.parts[excluded], sign=-1)
        return total

    def _sum(self, course: RolloutCourse, now_s: float, *, has_hubs: bool) -> _Sum:
        key = (str(course.order.service), str(course.order.target))
        known = self._sums.get((key, has_hubs))
        if known is not None and now_s - known.at_s < SUM_LIFETIME_S:
            return known
        found = self._sums[key, has_hubs] = _Sum(now_s)
        for entry, received in self._received.items():
            part = received.totals.get(key)
            is_recent = now_s - received.at_s <= REPORT_LIFETIME_S
            if part is not None and is_recent and (has_hubs or not received.is_of_hub):
                found.parts[entry] = part
                add_totals(found.total, part)
        return found
