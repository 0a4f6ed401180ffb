"""Objects of one kind in the platform's store, listed and watched."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from result import Result

__all__ = ["Changes", "Listing", "ObjectSource", "SourceFailure", "StoredObject"]


class SourceFailure(Enum):
    """Say why a list or a watch brought nothing."""

    HISTORY_GONE = "history gone"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    INTERRUPTED = "interrupted"
    TOO_LARGE = "too large"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object; its content is untyped until its reader has checked it.

    A deletion is doubtful shortly after an outage, in which entries lapse that come back.
    """

    name: str
    revision: int
    content: Mapping[str, Any] | None
    is_deleted: bool
    is_doubtful: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a kind as of a revision; what it lacks is doubtful after an outage.

    `store_revision` is how far the store itself was read.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    is_doubtful: bool = False
    store_revision: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes of a kind up to a revision, from which the next watch goes on.

    `store_revision` is how far the store itself was read; a hub counts its changes by itself.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    store_revision: int = 0


class ObjectSource(Protocol):
    """List and watch the objects of one kind."""

    def list(self) -> Result[Listing, SourceFailure]:
        """Give all objects."""

    def watch(self, revision: int, wait_s: float) -> Result[Changes, SourceFailure]:
        """Wait for changes after a revision; there are none when the time is up."""

    def interrupt(self, is_behind: bool) -> None:
        """End a call of the store in progress with `INTERRUPTED`, or the next one.

        What is behind its peers is no longer followed, where there is something else to follow.
        """
