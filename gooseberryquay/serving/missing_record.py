"""Decide at which software version a stream goes on if nothing records where it began."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.serving.stream_witnesses import WITNESSES
from gooseberryquay.serving.version_history import EarliestVersion

__all__ = ["MissingRecord", "OriginBasis", "StreamOriginFound", "decide_without_record"]

# Entries that restart together see the list within this time.
RESTART_SPREAD_S = 2.0


class OriginBasis(Enum):
    """Name what the origin of a stream, or its refusal, rests on."""

    OWN_RECORD = "own record"
    STORED_RECORD = "stored record"
    KEPT_FOR_PEER = "kept for a peer"
    KEPT_BY_PEER = "kept by a peer"
    ONLY_VERSION = "only version"
    ONLY_VERSION_LISTED = "only version listed here, store not read"
    EARLIEST_VERSION = "no record, earliest version"
    NO_NAME = "request names no stream"
    STORE_NOT_READ = "no record, store not read"
    STORE_RESTORED = "no record, store has lost writes"
    NO_EARLIEST = "no record, no earliest version"
    EARLIER_BUILD = "no record, an earlier build may not have recorded it"
    PEERS_SILENT = "no record, too few peers answer for the time"


@dataclass(frozen=True, slots=True)
class StreamOriginFound:
    """Version that began a stream, None if it is not known; empty if the engine states none."""

    version: str | None
    basis: OriginBasis


@dataclass(frozen=True, slots=True)
class MissingRecord:
    """State what is known of a stream that no record in the store names; times in Unix seconds.

    `kept_since_s` holds, for this entry and each peer asked, since when it has kept what peers have
    told it. Unless `are_all_asked`, the entry that began the stream may not be among them.
    """

    oldest_s: float
    earliest: EarliestVersion | None
    # When the store last came back without its latest writes.
    restored_at_s: float
    # Whether an entry that has seen a later version may not have recorded its streams.
    has_unrecorded: bool
    kept_since_s: Sequence[float]
    are_all_asked: bool


def decide_without_record(known: MissingRecord) -> StreamOriginFound:
    """Return the earliest version if every stream of a later one must have left a record.

    Entries begin streams at a later version only if the store or two peers keep a record. It is
    lost if the store has lost writes, or if both peers have ended and the entry with them.
    """
    if known.earliest is None:
        return StreamOriginFound(None, OriginBasis.NO_EARLIEST)
    if known.has_unrecorded:
        return StreamOriginFound(None, OriginBasis.EARLIER_BUILD)
    since_s = max(known.earliest.until_s, known.oldest_s)
    if known.restored_at_s >= since_s:
        return StreamOriginFound(None, OriginBasis.STORE_RESTORED)
    lost_count = sum(each > since_s + RESTART_SPREAD_S for each in known.kept_since_s)
    if lost_count > _lost_max(known):
        return StreamOriginFound(None, OriginBasis.PEERS_SILENT)
    return StreamOriginFound(known.earliest.version, OriginBasis.EARLIEST_VERSION)


def _lost_max(known: MissingRecord) -> int:
    """Return how many entries may have lost what they kept while one witness is left.

    The entry that began the stream is one of these if all were asked, as it would have answered.
    """
    beginner_count = 1 if known.are_all_asked else 0
    return min(WITNESSES - 1 + beginner_count, len(known.kept_since_s) - 1)
