"""Decide at which software version a stream goes on if nothing records where it began."""

from dataclasses import dataclass
from enum import Enum

from gooseberryquay.serving.version_history import VersionChange

__all__ = ["MissingRecord", "OriginBasis", "StreamOriginFound", "decide_without_record"]

# Entries that saw only the previous version have learned of another by then.
CHANGE_SETTLED_S = 5.0
# Entries that restart together see the list within this time.
RESTART_SPREAD_S = 2.0


class OriginBasis(Enum):
    """Name what the origin of a stream, or its refusal, rests on."""

    OWN_RECORD = "own record"
    STORED_RECORD = "stored record"
    ONLY_VERSION = "only version"
    ONLY_VERSION_LISTED = "only version listed here, store not read"
    PREVIOUS_VERSION = "no record, previous version"
    STORE_NOT_READ = "no record, store not read"
    NO_CHANGE = "no record, no change of versions known"
    EARLIER_BUILD = "no record, an earlier build writes late"
    CHANGE_SETTLED = "no record, change of versions too long ago"
    STARTED_SINCE = "no record, started since the change of versions"
    SEVERAL_PREVIOUS = "no record, several previous versions"


@dataclass(frozen=True, slots=True)
class StreamOriginFound:
    """Version that began a stream, None if it is not known; empty if the engine states none."""

    version: str | None
    basis: OriginBasis


@dataclass(frozen=True, slots=True)
class MissingRecord:
    """State what is known as a stream is taken up that no record names; times in Unix seconds."""

    now_s: float
    started_at_s: float
    change: VersionChange | None
    is_store_read: bool
    # Whether an entry that has seen the newer version records its streams too late.
    has_late_writers: bool


def decide_without_record(known: MissingRecord) -> StreamOriginFound:
    """Return the previous version for streams of entries that ended before they saw another."""
    change = known.change
    if not known.is_store_read:
        return StreamOriginFound(None, OriginBasis.STORE_NOT_READ)
    if change is None:
        return StreamOriginFound(None, OriginBasis.NO_CHANGE)
    if known.has_late_writers:
        return StreamOriginFound(None, OriginBasis.EARLIER_BUILD)
    if known.now_s - change.at_s > CHANGE_SETTLED_S:
        return StreamOriginFound(None, OriginBasis.CHANGE_SETTLED)
    if known.started_at_s - RESTART_SPREAD_S > change.at_s:
        return StreamOriginFound(None, OriginBasis.STARTED_SINCE)
    if change.previous is None:
        return StreamOriginFound(None, OriginBasis.SEVERAL_PREVIOUS)
    return StreamOriginFound(change.previous, OriginBasis.PREVIOUS_VERSION)
