"""Isolation and rejection of requests that are suspected to crash upstreams."""

import time
from dataclasses import replace

from result import Err, Ok, Result

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.errors import Failure, Overloaded, SuspectedCrash
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.machines.suspect_messages import Verdict
from gooseberryquay.machines.suspect_reports import SuspectReports
from gooseberryquay.machines.work import Dispatcher, Outcome, Placement, Work

__all__ = ["SuspectDispatcher"]

INITIAL_SLOT_WAIT_S = 0.1
RETRY_AFTER_S = 1.0


class SuspectDispatcher:
    """Place requests according to the list of crash suspects."""

    def __init__(
        self, dispatcher: Dispatcher, suspects: SuspectList, reports: SuspectReports
    ) -> None:
        self._dispatcher = dispatcher
        self._suspects = suspects
        self._reports = reports

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Place a request; reject one that crashed too many upstreams, isolate other suspects.

        A crash suspect waits for an upstream that runs no other suspect, for at most the
        time-to-first-token target of its service.
        """
        give_up_at_s = min(time.monotonic() + work.first_token_s, work.deadline_at_s)
        wait_s = INITIAL_SLOT_WAIT_S
        while True:
            match self._suspects.verdict(work.fingerprint):
                case Verdict.NORMAL:
                    return self._dispatcher.place(work)
                case Verdict.REFUSED:
                    return Err(SuspectedCrash("upstreams that ran this request have crashed"))
                case Verdict.ALONE:
                    placed = self._place_isolated(work)
            if placed is not None:
                return placed
            if time.monotonic() >= give_up_at_s:
                message = "every upstream that may get this request runs another crash suspect"
                return Err(Overloaded(message, retry_after_s=RETRY_AFTER_S))
            # Each attempt queries the owner of every upstream, hence the exponential backoff.
            time.sleep(min(wait_s, max(0.0, give_up_at_s - time.monotonic())))
            wait_s *= 2.0

    def upstream_died(self, upstream: UpstreamDeclaration, work: Work) -> None:
        """Report an upstream crash while the request was in flight there."""
        self._reports.upstream_died(upstream, work.fingerprint)

    def ended(self, work: Work, outcome: Outcome) -> None:
        """Clear a request that finished; otherwise release its crash suspect slot."""
        if outcome is Outcome.FINISHED:
            self._suspects.finished(work.fingerprint)
        else:
            self._suspects.release_slot(work.fingerprint)

    def _place_isolated(self, work: Work) -> Result[Placement, Failure] | None:
        """Place a crash suspect; return None if every upstream with capacity runs another one."""
        first_excluded = work.excluded
        while True:
            match self._dispatcher.place(work):
                case Err(failure):
                    return Err(failure) if work.excluded == first_excluded else None
                case Ok(placement):
                    upstream = placement.upstream.id
            if self._suspects.take_slot(work.fingerprint, upstream):
                return Ok(placement)
            placement.finish(Outcome.REFUSED)
            work = replace(work, excluded=work.excluded | {upstream})
