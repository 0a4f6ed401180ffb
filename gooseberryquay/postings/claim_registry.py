"""Interface of a registry of claims, and the failures of its appends."""

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
    """Report a record that is not in the log and will not be added later."""

    message: str


@dataclass(frozen=True)
class AppendUncertain:
    """Report a record that may be in the log or may still be added."""

    message: str


@dataclass(frozen=True)
class KeysFull:
    """Report a claim that was rejected because the limit of untimed keys is reached."""

    message: str


AppendFailure = NotAppended | AppendUncertain | KeysFull


class ClaimRegistry(Protocol):
    """Store the records of keys on the platform."""

    def append(
        self, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Append a record and return the state of its key once that state is certain.

        `deadline_at_s` is a time of the monotonic clock.
        """

    def add_routes(self, router: Router) -> None:
        """Add the routes over which other entries append, if the registry has any."""

    def has_unfinished(self) -> bool:
        """Return whether any append is in progress at this entry."""

    def known_state(self, at: KeyLocation) -> KeyState:
        """Return the last locally known state of a key, which may be stale."""
