"""Claims that are not kept at all, to measure what the rest of a posting costs."""

from result import Ok, Result

from gooseberryquay.links.http_server import Router
from gooseberryquay.postings.claim_index import FREE, KeyState, next_state
from gooseberryquay.postings.claim_registry import AppendFailure
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["NoClaimRegistry"]


class NoClaimRegistry:
    """Confirm every record and forget it."""

    def add_routes(self, router: Router) -> None:
        """Serve nothing."""

    def has_unfinished(self) -> bool:
        """Tell that nothing outlives its call."""
        return False

    def known_state(self, _at: KeyLocation) -> KeyState:
        """Know nothing."""
        return FREE

    def append(
        self, _at: KeyLocation, record: ClaimRecord, _deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Confirm the record as the first of its key."""
        return Ok(next_state(FREE, record))
