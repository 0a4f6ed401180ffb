"""Claim registry without storage, to measure the cost of the other parts of a posting."""

from result import Ok, Result

from gooseberryquay.links.http_server import Router
from gooseberryquay.postings.claim_index import FREE, KeyState, next_state
from gooseberryquay.postings.claim_registry import AppendFailure
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["NoClaimRegistry"]


class NoClaimRegistry:
    """Confirm each record without storing it."""

    def add_routes(self, router: Router) -> None:
        """Add no routes."""

    def has_unfinished(self) -> bool:
        """Return False, since no work continues after a call."""
        return False

    def known_state(self, _at: KeyLocation) -> KeyState:
        """Return that each key is free."""
        return FREE

    def append(
        self, _at: KeyLocation, record: ClaimRecord, _deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Confirm the record as the first one of its key."""
        return Ok(next_state(FREE, record))
