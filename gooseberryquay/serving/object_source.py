"""Interface to list and watch objects of one kind in the platform's store."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from result import Result

__all__ = ["Changes", "Listing", "ObjectSource", "SourceFailure", "StoredObject"]

STORE = "store"


class SourceFailure(Enum):
    """Enumerate the reasons why a list or watch call failed."""

    HISTORY_GONE = "history gone"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    INTERRUPTED = "interrupted"
    TOO_LARGE = "too large"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Represent one object; its content is not validated before its reader decodes it.

    A deletion shortly after an outage is doubtful: the object may have expired in the outage and
    be registered again.
    """

    name: str
    revision: int
    content: Mapping[str, Any] | None
    is_deleted: bool
    is_doubtful: bool = False
    # What this system has written beside the content, if the kind has that.
    status: Mapping[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class Listing:
    """Represent all objects of a kind at a revision.

    If `is_doubtful`, missing objects may only have expired in an outage. `store_revision` is the
    revision up to which the store itself was read. `origin` names what was read: the store or a
    hub.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    is_doubtful: bool = False
    store_revision: int = 0
    origin: str = STORE


@dataclass(frozen=True, slots=True)
class Changes:
    """Represent the changes of a kind up to a revision, where the next watch continues.

    `store_revision` is the revision up to which the store itself was read; for a hub, `revision`
    is its own sequence number.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    store_revision: int = 0
    origin: str = STORE


class ObjectSource(Protocol):
    """List and watch the objects of one kind."""

    def list(self) -> Result[Listing, SourceFailure]:
        """List all objects."""

    def watch(self, revision: int, wait_s: float) -> Result[Changes, SourceFailure]:
        """Wait for changes after a revision; return no changes after `wait_s` seconds."""

    def interrupt(self, is_behind: bool) -> None:
        """End the store call in progress, or the next one, with `INTERRUPTED`.

        If `is_behind`, a source that lags behind its peers is abandoned if there is another one.
        """
