"""Roll-outs in force, and which versions may get new work because of them."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from gooseberryquay.contracts.node_settings import RolloutBounds
from gooseberryquay.ids import EntryId, ServiceId
from gooseberryquay.rollouts.answer_counts import AnswerCounts, EngineCounts, slow_threshold
from gooseberryquay.rollouts.course import (
    Facts,
    RolloutCourse,
    RolloutPhase,
    VersionName,
)
from gooseberryquay.rollouts.exposure_budget import ExposureBudget
from gooseberryquay.rollouts.order import RolloutOrder, RolloutRecord, RolloutState
from gooseberryquay.rollouts.report import RolloutReport, build_report
from gooseberryquay.rollouts.report_table import ReportTable
from gooseberryquay.rollouts.service_state import SentRequest, ServiceState
from gooseberryquay.rollouts.version_view import version_name
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["BookOptions", "RolloutBook", "UnwrittenState"]

# An entry that has just started does not know how many others have used the exposure already.
STARTED_RECENTLY_S = 3.0
# A peer's order that this entry has not read bars the target for the time of a few reads.
FOREIGN_ORDER_S = 3.0
# Loss of answers of both versions within this time is due to the links.
LINK_FAULT_S = 2.0
DURATIONS_MAX = 32


@dataclass(frozen=True, slots=True)
class BookOptions:
    """Provide what a book needs to know of its entry.

    `rank` returns the entry's position among all entries for an order, None while others may be
    unknown, and their number. `era_of` returns the store's era of a revision.
    """

    bounds: RolloutBounds
    records: Callable[[], list[UpstreamRecord]]
    rank: Callable[[str], tuple[int | None, int]]
    era_of: Callable[[int], int] = lambda _revision: 0
    request_reading: Callable[[], None] = lambda: None


@dataclass(frozen=True, slots=True)
class UnwrittenState:
    """State that is to be written for an order."""

    order: RolloutOrder
    state: RolloutState


class RolloutBook:
    """Hold the orders, gate versions and count requests and answers; thread-safe."""

    def __init__(
        self,
        options: BookOptions,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._options = options
        self._log = log
        self._clock = clock
        self._started_at_s = clock()
        self._read_at_s: float | None = None
        self._services: dict[ServiceId, ServiceState] = {}
        self._reports = ReportTable()
        self._lock = threading.RLock()

    # Knowledge of orders and engines.

    def was_read(self) -> bool:
        """Return whether the list of roll-outs has been read since the start."""
        return self._read_at_s is not None

    def apply_listing(self, records: Iterable[RolloutRecord], store_revision: int) -> None:
        """Replace all orders; an older list does not withdraw an order."""
        with self._lock:
            listed = {each.order.service: each for each in records}
            if self._read_at_s is None:
                for state in self._services.values():
                    state.settled |= state.listed
            for service, state in list(self._services.items()):
                course = state.course
                if service not in listed and course and course.order.revision <= store_revision:
                    self._withdraw(service, state)
            for each in listed.values():
                self.apply(each)
            self._read_at_s = self._clock()
            self._update_views()

    def apply(self, record: RolloutRecord) -> None:
        """Apply an order as it is stored, unless a newer state of it is known."""
        with self._lock:
            service = record.order.service
            state = self._services.setdefault(service, ServiceState())
            self._note_earlier_status(state, record)
            course = state.course
            if course is not None and record.order.revision < course.order.revision:
                return
            if course is None and self._is_back(state.ended, record):
                course = state.course = state.ended
            if course is not None and self._is_same(course, record):
                was = course.outcome
                course.adopt(record)
                if course.outcome is not was:
                    self._log_course("rollout ended", course)
            else:
                self._begin(state, record)
            if state.course is not None and state.course.is_rejected:
                state.rejected.add(state.course.order.target)
            state.update_view(self._clock(), self._read_at_s)

    def withdraw(self, service: ServiceId, revision: int) -> None:
        """Apply that an order was deleted."""
        with self._lock:
            state = self._services.get(service)
            if state is None or state.course is None or revision < state.course.order.revision:
                return
            self._withdraw(service, state)
            state.update_view(self._clock(), self._read_at_s)

    def _withdraw(self, service: ServiceId, state: ServiceState) -> None:
        course = state.course
        if course is None:
            return
        self._log_course("rollout withdrawn", course)
        if course.outcome is None:
            state.withdrawn.add(version_name(course.order.target))
        state.ended, state.course = course, None

    def _note_earlier_status(self, state: ServiceState, record: RolloutRecord) -> None:
        status = record.status
        if status is None or status.target == record.order.target:
            return
        if status.state is RolloutState.ROLLED_BACK:
            state.rejected.add(version_name(status.target))

    def _is_back(self, ended: RolloutCourse | None, record: RolloutRecord) -> bool:
        """Return whether a restored store has an order again that its older copy lacked."""
        if ended is None or ended.order.target != record.order.target:
            return False
        return self._is_restored(ended, record)

    def _is_restored(self, course: RolloutCourse, record: RolloutRecord) -> bool:
        era_of = self._options.era_of
        return era_of(record.order.revision) > era_of(course.order.revision)

    def _is_same(self, course: RolloutCourse, record: RolloutRecord) -> bool:
        if course.order.target != record.order.target:
            return False
        has_lost_status = course.written is not None and record.state is None
        return not has_lost_status or self._is_restored(course, record)

    def _begin(self, state: ServiceState, record: RolloutRecord) -> None:
        now_s = self._clock()
        order, bounds = record.order, self._options.bounds
        target = version_name(order.target)
        rank, count = self._options.rank(f"{order.service} {order.target}")
        # What was used of the exposure before a restart is not known.
        is_late = record.state is not None and now_s - self._started_at_s < STARTED_RECENTLY_S
        state.withdrawn.discard(target)
        if record.state is not RolloutState.ROLLED_BACK:
            # The operator orders a version anew that was rolled back before.
            state.rejected.discard(target)
        present = self._present(state, order, is_late)
        state.course = course = RolloutCourse(
            record,
            ordered_at_s=now_s,
            present=present,
            budget=ExposureBudget(
                bounds.exposure_share,
                bounds.exposure_allowance,
                None if is_late else rank,
                count,
            ),
            share=bounds.exposure_share,
            allowance=bounds.exposure_allowance,
            is_age_known=not is_late,
        )
        if not present and target in state.settled and course.outcome is None:
            course.advance_to(RolloutPhase.SHIFTED, now_s, "the target served alone before")
        self._log_course("rollout ordered", course)

    def _present(
        self, state: ServiceState, order: RolloutOrder, is_late: bool
    ) -> frozenset[VersionName]:
        target = version_name(order.target)
        settled = state.settled & state.listed - state.rejected - state.withdrawn
        others = settled - {target}
        if not is_late or len(others) <= 1:
            return frozenset(others)
        # The engine that has run longest was most likely there before the order.
        records = [
            each
            for each in self._options.records()
            if each.service == order.service and version_name(each.version) in others
        ]
        oldest = min(records, key=lambda each: each.born_ms or 0, default=None)
        return frozenset(others if oldest is None else {version_name(oldest.version)})

    def observe_engines(self) -> None:
        """Note which versions are listed; those that are new are held back until a read."""
        with self._lock:
            now_s = self._clock()
            listed: dict[ServiceId, set[VersionName]] = {}
            for each in self._options.records():
                listed.setdefault(each.service, set()).add(version_name(each.version))
            has_new = False
            for service in [
                *self._services,
                *(each for each in listed if each not in self._services),
            ]:
                state = self._services.setdefault(service, ServiceState())
                versions = frozenset(listed.get(service, ()))
                is_first = state.known_since_s is None and bool(versions)
                state.known_since_s = now_s if is_first else state.known_since_s
                has_new = state.note_listed(versions, now_s) or has_new
                if is_first:
                    self._note_first_engines(state)
            self._update_views()
        if has_new:
            self._options.request_reading()

    def _note_first_engines(self, state: ServiceState) -> None:
        """Take the versions as present whose engines are listed only after an order was read."""
        course = state.course
        if course is not None and not course.present:
            state.settled |= state.listed
            course.present = self._present(state, course.order, is_late=True)

    def _update_views(self) -> None:
        for state in self._services.values():
            state.update_view(self._clock(), self._read_at_s)

    # The gate.

    def may_send(self, known: KnownUpstream) -> bool:
        """Return whether an upstream's version may get new work."""
        return self._may_send(known.record)

    def may_fall_back(self, known: KnownUpstream) -> bool:
        """Return whether streams that began on an upstream's version may go on there."""
        return self._may_send(known.record, is_continuation=True)

    def _may_send(self, record: UpstreamRecord, is_continuation: bool = False) -> bool:
        state = self._services.get(record.service)
        if state is None:
            return False
        version = version_name(record.version)
        view, course = state.view, state.course
        if version in view.allowed or (is_continuation and version in view.fallback):
            return True
        if version != view.canary or course is None:
            return False
        return course.may_expose(is_continuation)

    def preferred(self, service: ServiceId, candidates: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the target's upstreams while it may be exposed, for one request at a time.

        They may have no room, so that a request would wait for them in vain, and a share that is
        left for one request must not be tried by several.
        """
        state = self._services.get(service)
        if state is None or state.view.canary is None:
            return candidates
        return state.prefer(candidates)

    def begin(
        self, record: UpstreamRecord, request: str, route: str, is_continuation: bool
    ) -> SentRequest | None:
        """Count a request that is about to be sent; None if it must not be."""
        with self._lock:
            now_s = self._clock()
            state = self._services.get(record.service)
            is_fallback = state is not None and version_name(record.version) in state.view.fallback
            if state is None or not self._may_send(record, is_continuation or is_fallback):
                return None
            state.is_steered = False
            course = state.course
            if course is None or course.outcome is not None:
                return SentRequest(record, route, now_s)
            is_target = record.version == course.order.target
            is_new = state.count_request(request)
            for budget in (course.budget, course.own):
                budget.requests += is_new
                budget.exposed += is_target
            return SentRequest(record, route, now_s, course, is_target)

    def not_sent(self, sent: SentRequest) -> None:
        """Take back the count of a request that has not arrived at the upstream."""
        with self._lock:
            if sent.course is not None and sent.is_target:
                sent.course.budget.exposed -= 1
                sent.course.own.exposed -= 1

    # Answers.

    def record_first(self, sent: SentRequest) -> None:
        """Record the time to the first part of an answer, or to the end of a call's."""
        with self._lock:
            if sent.course is None:
                return
            took_s = self._clock() - sent.sent_at_s
            counts = self._counts(sent)
            counts.answers += 1
            counts.first.record(took_s)
            if sent.is_target:
                self._count_of_engine(sent, is_answer=True, is_bad=self._is_slow(sent, took_s))

    def record_pace(self, sent: SentRequest, interval_s: float) -> None:
        """Record the mean time between the parts of a stream."""
        with self._lock:
            if sent.course is not None:
                self._counts(sent).pace.record(interval_s)
                if sent.is_target and self._is_slow(sent, interval_s, is_pace=True):
                    self._count_of_engine(sent, is_answer=False, is_bad=True)

    def record_failure(self, sent: SentRequest, is_loss: bool, was_answered: bool) -> None:
        """Record a failed answer; a loss may be due to a link, which is no evidence."""
        with self._lock:
            now_s = self._clock()
            state = self._services.get(sent.record.service)
            if sent.course is None or state is None:
                return
            if is_loss and not sent.is_target:
                state.present_lost_at_s = now_s
            elif is_loss and now_s - state.present_lost_at_s < LINK_FAULT_S:
                return
            counts = self._counts(sent)
            counts.failures += 1
            counts.answers += not was_answered
            if sent.is_target:
                self._count_of_engine(sent, is_answer=not was_answered, is_bad=True)

    def record_end(self, sent: SentRequest) -> None:
        """Record how long a request took altogether."""
        with self._lock:
            state = self._services.get(sent.record.service)
            if state is not None:
                state.durations_s.append(self._clock() - sent.sent_at_s)
                del state.durations_s[:-DURATIONS_MAX]

    def _counts(self, sent: SentRequest) -> AnswerCounts:
        assert sent.course is not None
        own = sent.course.own
        return (own.target if sent.is_target else own.present).setdefault(
            sent.route, AnswerCounts()
        )

    def _count_of_engine(self, sent: SentRequest, *, is_answer: bool, is_bad: bool) -> None:
        assert sent.course is not None
        counts = sent.course.own.engines.setdefault(sent.record.id, EngineCounts())
        counts.answers += is_answer
        counts.bad += is_bad

    def _is_slow(self, sent: SentRequest, took_s: float, is_pace: bool = False) -> bool:
        assert sent.course is not None
        present = sent.course.totals.present.get(sent.route)
        if present is None:
            return False
        threshold = slow_threshold(present.pace if is_pace else present.first)
        return threshold is not None and took_s > threshold

    # Exchange with other entries.

    def reports_for(self, peer: EntryId, is_hub: bool, is_to_hub: bool) -> list[dict[str, Any]]:
        """Build the reports for a peer; a hub adds those of its cell, or of all for a member."""
        with self._lock:
            now_s = self._clock()
            found = []
            for state in self._services.values():
                course = state.course
                if course is not None and course.needs_reports:
                    course.own.longest_s = max(state.durations_s, default=0.0)
                    totals = self._reports.totals_for(peer, course, now_s, is_hub, is_to_hub)
                    found.append(build_report(course, totals, now_s))
            return found

    def receive(self, sender: EntryId, is_of_hub: bool, records: Iterable[Any]) -> None:
        """Apply the reports of a peer."""
        with self._lock:
            now_s = self._clock()
            for report in self._reports.receive(sender, is_of_hub, records, now_s):
                self._apply_report(report, now_s)

    def _apply_report(self, report: RolloutReport, now_s: float) -> None:
        service = ServiceId(report.service)
        state = self._services.setdefault(service, ServiceState())
        course = state.course
        if course is None or course.order.target != report.target:
            ended = state.ended
            if ended is None or ended.order.target != report.target:
                state.foreign[report.target] = now_s + FOREIGN_ORDER_S
                state.update_view(self._clock(), self._read_at_s)
            return
        if course.outcome is not None:
            return
        course.ordered_at_s = min(course.ordered_at_s, now_s - report.age_ms / 1000.0)
        if not course.is_age_known:
            course.is_age_known = True
            if report.present:
                course.present = frozenset(report.present)
        if report.phase in (RolloutPhase.SHIFTED, RolloutPhase.REJECTED):
            phase = RolloutPhase(report.phase)
            if course.advance_to(phase, now_s, "reported by a peer"):
                self._log_course("rollout " + phase.name.lower(), course)
            if course.is_rejected:
                state.rejected.add(version_name(course.order.target))
        state.update_view(self._clock(), self._read_at_s)

    # Decisions.

    def decide(self, facts_of: Callable[[RolloutCourse], Facts]) -> list[UnwrittenState]:
        """Decide on all orders; return the states that are to be written."""
        with self._lock:
            now_s = self._clock()
            found = []
            for state in list(self._services.values()):
                course = state.course
                if course is not None:
                    decided = self._decide_one(state, course, facts_of, now_s)
                    if decided is not None:
                        self._log_course(f"rollout {decided}", course)
                    if course.is_rejected:
                        state.rejected.add(version_name(course.order.target))
                    unwritten = course.unwritten_state()
                    if unwritten is not None:
                        found.append(UnwrittenState(course.order, unwritten))
                state.update_view(self._clock(), self._read_at_s)
            return found

    def _decide_one(
        self,
        state: ServiceState,
        course: RolloutCourse,
        facts_of: Callable[[RolloutCourse], Facts],
        now_s: float,
    ) -> str | None:
        if course.outcome is not None:
            return None
        course.own.longest_s = max(state.durations_s, default=0.0)
        return course.decide(now_s, facts_of(course), self._reports.totals(course, now_s))

    def courses(self) -> list[RolloutCourse]:
        """Return the course of each order, for reports to operators."""
        with self._lock:
            return [each.course for each in self._services.values() if each.course is not None]

    def _log_course(self, event: str, course: RolloutCourse) -> None:
        finding = course.finding
        self._log.belief(
            event,
            service=course.order.service,
            target=course.order.target,
            state=course.outcome.value if course.outcome is not None else course.phase.name.lower(),
            reason=course.reason,
            present=sorted(course.present),
            requests=course.totals.requests,
            exposed=course.totals.exposed,
            answers=finding.answers,
            bad=finding.bad,
            present_share=finding.present_share,
        )
