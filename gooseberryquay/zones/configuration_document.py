"""Form in which the configuration is stored in the platform's objects."""

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
# A character is at most four bytes, so that a chunk is always under 1 MB.
CHUNK_CHARACTERS = 250_000
MAX_TAIL_CHANGES = 32
MAX_TAIL_BYTES = 32 * 1024
HISTORY_CHANGES = 16


class SnapshotReference(FrozenModel):
    """Name the objects that hold the whole configuration at one revision."""

    revision: Revision
    change_id: ChangeId
    chunk_count: int

    def chunk_keys(self) -> tuple[str, ...]:
        """Give the keys of the chunks, in order."""
        stem = f"{SNAPSHOT_PREFIX}{self.revision}-{self.change_id}"
        return tuple(f"{stem}-{index}" for index in range(self.chunk_count))


class ConfigurationDocument(FrozenModel):
    """Hold the newest revision: a snapshot, the changes after it, and some before it.

    `retired` names older snapshots whose objects may be deleted.
    """

    revision: Revision
    snapshot: SnapshotReference
    changes: tuple[AcceptedChange, ...] = ()
    retired: tuple[SnapshotReference, ...] = ()

    def changes_after(self, revision: Revision) -> tuple[AcceptedChange, ...] | None:
        """Give the changes after a revision, or None where a snapshot is needed."""
        return changes_between(self.changes, revision, self.revision)

    def find(self, change_id: ChangeId) -> AcceptedChange | None:
        """Give the kept change with an id."""
        return next((each for each in self.changes if each.change_id == change_id), None)

    def needs_snapshot_for(self, accepted: AcceptedChange) -> bool:
        """Tell whether the next change must come with a new snapshot."""
        if isinstance(accepted.change, DeclarationReplaced):
            return True
        tail = [each for each in self.changes if each.revision > self.snapshot.revision]
        tail.append(accepted)
        return len(tail) > MAX_TAIL_CHANGES or _size_bytes(tail) > MAX_TAIL_BYTES

    def extended(self, accepted: AcceptedChange) -> Self:
        """Add a change after the kept ones."""
        changes = (*self.changes, accepted)
        return self.model_copy(update={"revision": accepted.revision, "changes": changes})

    def rotated(self, accepted: AcceptedChange, snapshot: SnapshotReference) -> Self:
        """Add a change, refer to a new snapshot and keep only a little history."""
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
    """Give the changes after one revision up to another, or None if one is missing."""
    wanted = tuple(each for each in changes if after < each.revision <= last)
    if [each.revision for each in wanted] != list(range(after + 1, last + 1)):
        return None
    if any(isinstance(each.change, DeclarationReplaced) for each in wanted):
        return None
    return wanted


def split_snapshot(configuration: Configuration) -> tuple[str, ...]:
    """Encode a configuration as chunks that fit the platform's values."""
    text = configuration.model_dump_json()
    starts = range(0, len(text), CHUNK_CHARACTERS)
    return tuple(text[start : start + CHUNK_CHARACTERS] for start in starts)


def _size_bytes(changes: Sequence[AcceptedChange]) -> int:
    return sum(len(each.model_dump_json().encode()) for each in changes)
