"""Keep requests that may crash upstreams apart from each other, or refuse them."""

from dataclasses import replace

from result import Err, Ok, Result

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.errors import Failure, SuspectedCrash
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.machines.suspect_messages import Verdict
from gooseberryquay.machines.suspect_reports import SuspectReports
from gooseberryquay.machines.work import Dispatcher, Outcome, Placement, Work

__all__ = ["SuspectGuard"]


class SuspectGuard:
    """Place requests as the list of crash suspects demands."""

    def __init__(
        self, dispatcher: Dispatcher, suspects: SuspectList, reports: SuspectReports
    ) -> None:
        self._dispatcher = dispatcher
        self._suspects = suspects
        self._reports = reports

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Refuse a request that crashed too many upstreams; run other suspects apart."""
        match self._suspects.verdict(work.fingerprint):
            case Verdict.NORMAL:
                return self._dispatcher.place(work)
            case Verdict.REFUSED:
                return Err(SuspectedCrash("upstreams that ran this request have crashed"))
            case Verdict.ALONE:
                return self._place_alone(work)

    def upstream_died(self, upstream: UpstreamDeclaration, work: Work) -> None:
        """Count a death against a request that was in flight there."""
        self._reports.upstream_died(upstream, work.fingerprint)

    def ended(self, work: Work, outcome: Outcome) -> None:
        """Clear a request that finished, or give back its place apart from other suspects."""
        if outcome is Outcome.FINISHED:
            self._suspects.finished(work.fingerprint)
        else:
            self._suspects.release_slot(work.fingerprint)

    def _place_alone(self, work: Work) -> Result[Placement, Failure]:
        while True:
            match self._dispatcher.place(work):
                case Err(failure):
                    return Err(failure)
                case Ok(placement):
                    upstream = placement.upstream.id
            if self._suspects.take_slot(work.fingerprint, upstream):
                return Ok(placement)
            placement.finish(Outcome.REFUSED)
            work = replace(work, excluded=work.excluded | {upstream})
