"""What a store of claims offers, whichever way it keeps them."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from gooseberryquay.links.http_server import Router
from gooseberryquay.postings.claim_index import KeyState
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["AppendFailure", "AppendUncertain", "ClaimRegistry", "KeysFull", "NotAppended"]


@dataclass(frozen=True)
class NotAppended:
    """Report a record that is not in the log and will not get there later."""

    message: str


@dataclass(frozen=True)
class AppendUncertain:
    """Report a record that may be in the log or may get there later."""

    message: str


@dataclass(frozen=True)
class KeysFull:
    """Report a claim that was turned down because too many untimed keys are kept."""

    message: str


AppendFailure = NotAppended | AppendUncertain | KeysFull


class ClaimRegistry(Protocol):
    """Keep the records of keys in the platform."""

    def append(
        self, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Append a record and give the state of its key once that is certain."""

    def add_routes(self, router: Router) -> None:
        """Serve other entries' appends, where the store has any."""

    def has_unfinished(self) -> bool:
        """Tell whether any append is under way here."""

    def known_state(self, at: KeyLocation) -> KeyState:
        """Give the last state seen of a key, without asking anyone; it may be old."""
