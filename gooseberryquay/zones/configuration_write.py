"""Conditional writes of the configuration, retried until the outcome is known."""

import time
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.ids import Revision
from gooseberryquay.links.platform_client import (
    OutcomeUnknown,
    PlatformClient,
    PlatformRefused,
    PlatformUnreachable,
    WriteConflict,
)
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange
from gooseberryquay.zones.configuration_document import (
    CURRENT_KEY,
    ConfigurationDocument,
    SnapshotReference,
)
from gooseberryquay.zones.configuration_failure import (
    ChangeUndecided,
    ConfigurationConflict,
    ConfigurationFailure,
    ConfigurationUnavailable,
)
from gooseberryquay.zones.snapshot_objects import SnapshotObjects
from gooseberryquay.zones.snapshot_sweep import SnapshotSweep

__all__ = ["ConfigurationWrite", "Draft"]

RETRY_WAIT_S = 0.1
TRANSIENT_STATUSES = (429, 503)


@dataclass(frozen=True)
class Draft:
    """Represent a change to be committed; accepting it deletes the `retired` snapshots."""

    accepted: AcceptedChange
    configuration: Configuration
    document: ConfigurationDocument
    expected_version: int
    retired: tuple[SnapshotReference, ...] = ()

    @property
    def own_snapshot(self) -> SnapshotReference | None:
        """Return the snapshot that is written for this change, or None if there is none."""
        snapshot = self.document.snapshot
        return snapshot if snapshot.change_id == self.accepted.change_id else None


class ConfigurationWrite:
    """Commit drafts, of which at most one is accepted for each revision."""

    def __init__(
        self,
        client: PlatformClient,
        snapshots: SnapshotObjects,
        commit_timeout_s: float,
        snapshots_per_sweep: int,
    ) -> None:
        self._client = client
        self._snapshots = snapshots
        self._commit_timeout_s = commit_timeout_s
        self._snapshots_per_sweep = snapshots_per_sweep
        self._sweeper = SnapshotSweep(client)

    def commit(self, draft: Draft) -> Result[Configuration, ConfigurationFailure]:
        """Write a draft's own snapshot, then the document that refers to it."""
        if draft.own_snapshot is not None:
            match self._snapshots.write(draft.own_snapshot, draft.configuration):
                case Err(failure):
                    return Err(failure)
        outcome = self._commit_document(draft)
        self._clean_up(draft, outcome)
        return outcome.map(lambda _accepted: draft.configuration)

    def _commit_document(self, draft: Draft) -> Result[AcceptedChange, ConfigurationFailure]:
        text = draft.document.model_dump_json()
        deadline_s = time.monotonic() + self._commit_timeout_s
        has_unknown_write = False
        while True:
            wait_s = RETRY_WAIT_S
            match self._client.write(CURRENT_KEY, text, draft.expected_version):
                case Ok(_):
                    return Ok(draft.accepted)
                case Err(WriteConflict(current=current)):
                    return _resolve_conflict(draft, current, has_unknown_write)
                case Err(OutcomeUnknown(message=message)):
                    # Repeating the same conditional write is safe: it takes effect at most once,
                    # and a conflict returns the current object.
                    has_unknown_write = True
                case Err(PlatformUnreachable(message=message)):
                    pass
                case Err(PlatformRefused(status=status) as refusal):
                    message = f"status {status} {refusal.message}"
                    wait_s = refusal.retry_after_s or RETRY_WAIT_S
                    if status not in TRANSIENT_STATUSES:
                        return _fail(draft, message, has_unknown_write)
            if time.monotonic() + wait_s > deadline_s:
                return _fail(draft, message, has_unknown_write)
            time.sleep(wait_s)

    def _clean_up(
        self, draft: Draft, outcome: Result[AcceptedChange, ConfigurationFailure]
    ) -> None:
        match outcome:
            case Ok(_):
                for reference in draft.retired:
                    self._snapshots.delete(reference)
                if self._should_sweep(draft):
                    self._sweeper.run(draft.document)
            case Err(ConfigurationConflict()) if draft.own_snapshot is not None:
                self._snapshots.delete(draft.own_snapshot)

    def _should_sweep(self, draft: Draft) -> bool:
        """Select new snapshots at random by the change id, as a sweep reads every chunk."""
        if draft.own_snapshot is None:
            return False
        return int(draft.accepted.change_id, 16) % self._snapshots_per_sweep == 0


def _fail(
    draft: Draft, message: str, has_unknown_write: bool
) -> Result[AcceptedChange, ConfigurationFailure]:
    if has_unknown_write:
        return Err(ChangeUndecided(draft.accepted.change_id, message))
    return Err(ConfigurationUnavailable(message))


def _resolve_conflict(
    draft: Draft, current: StoredObject | None, has_unknown_write: bool
) -> Result[AcceptedChange, ConfigurationFailure]:
    if current is None:
        return _fail(draft, f"{CURRENT_KEY} was deleted", has_unknown_write)
    document = ConfigurationDocument.model_validate_json(current.value)
    if document.find(draft.accepted.change_id) is not None:
        return Ok(draft.accepted)
    expected = Revision(draft.accepted.revision - 1)
    winners = tuple(each for each in document.changes if each.revision > expected)
    has_winner = any(each.revision == draft.accepted.revision for each in winners)
    if has_unknown_write and not has_winner:
        return _fail(draft, "the history no longer contains its revision", has_unknown_write)
    return Err(ConfigurationConflict(expected, document.revision, winners))
