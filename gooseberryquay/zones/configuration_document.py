"""Stored form of the configuration: a document with recent changes, and snapshots."""

from collections.abc import Sequence
from typing import Self

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange, DeclarationReplaced

__all__ = [
    "CURRENT_KEY",
    "SNAPSHOT_PREFIX",
    "ConfigurationDocument",
    "SnapshotReference",
    "changes_between",
    "split_snapshot",
]

CURRENT_KEY = "config/current"
SNAPSHOT_PREFIX = "config/snapshot-"
# A character takes at most 4 bytes in UTF-8, so that a chunk never exceeds 1 MB.
CHUNK_CHARACTERS = 250_000
MAX_TAIL_CHANGES = 32
MAX_TAIL_BYTES = 32 * 1024
HISTORY_CHANGES = 16


class SnapshotReference(FrozenModel):
    """Identify the objects that hold the whole configuration at one revision."""

    revision: Revision
    change_id: ChangeId
    chunk_count: int

    def chunk_keys(self) -> tuple[str, ...]:
        """Return the keys of the chunks, in order."""
        stem = f"{SNAPSHOT_PREFIX}{self.revision}-{self.change_id}"
        return tuple(f"{stem}-{index}" for index in range(self.chunk_count))


class ConfigurationDocument(FrozenModel):
    """Describe the newest revision by a snapshot, the changes after it and some before it.

    `retired` refers to older snapshots whose objects may be deleted.
    """

    revision: Revision
    snapshot: SnapshotReference
    changes: tuple[AcceptedChange, ...] = ()
    retired: tuple[SnapshotReference, ...] = ()

    def changes_after(self, revision: Revision) -> tuple[AcceptedChange, ...] | None:
        """Return the changes after a revision, or None if a snapshot is needed."""
        return changes_between(self.changes, revision, self.revision)

    def find(self, change_id: ChangeId) -> AcceptedChange | None:
        """Return the change with an id, or None if the document does not contain it."""
        return next((each for each in self.changes if each.change_id == change_id), None)

    def needs_snapshot_for(self, accepted: AcceptedChange) -> bool:
        """Return whether a new snapshot must be written with the next change."""
        if isinstance(accepted.change, DeclarationReplaced):
            return True
        tail = [each for each in self.changes if each.revision > self.snapshot.revision]
        tail.append(accepted)
        return len(tail) > MAX_TAIL_CHANGES or _size_bytes(tail) > MAX_TAIL_BYTES

    def with_change(self, accepted: AcceptedChange) -> Self:
        """Return the document with one more change."""
        changes = (*self.changes, accepted)
        return self.model_copy(update={"revision": accepted.revision, "changes": changes})

    def with_snapshot(self, accepted: AcceptedChange, snapshot: SnapshotReference) -> Self:
        """Return the document with one more change, a new snapshot and truncated history."""
        changes = (*self.changes, accepted)[-HISTORY_CHANGES:]
        while len(changes) > 1 and _size_bytes(changes) > MAX_TAIL_BYTES:
            changes = changes[1:]
        return self.model_copy(
            update={
                "revision": accepted.revision,
                "snapshot": snapshot,
                "changes": changes,
                "retired": (self.snapshot,),
            }
        )


def changes_between(
    changes: Sequence[AcceptedChange], after: Revision, last: Revision
) -> tuple[AcceptedChange, ...] | None:
    """Return the changes after one revision up to another, or None if one is missing."""
    wanted = tuple(each for each in changes if after < each.revision <= last)
    if [each.revision for each in wanted] != list(range(after + 1, last + 1)):
        return None
    if any(isinstance(each.change, DeclarationReplaced) for each in wanted):
        return None
    return wanted


def split_snapshot(configuration: Configuration) -> tuple[str, ...]:
    """Encode a configuration as chunks within the platform's limit on object size."""
    text = configuration.model_dump_json()
    starts = range(0, len(text), CHUNK_CHARACTERS)
    return tuple(text[start : start + CHUNK_CHARACTERS] for start in starts)


def _size_bytes(changes: Sequence[AcceptedChange]) -> int:
    return sum(len(each.model_dump_json().encode()) for each in changes)
