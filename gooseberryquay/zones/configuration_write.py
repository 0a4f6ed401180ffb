"""One conditional write of the configuration, followed until its outcome is known."""

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
PASSING_STATUSES = (429, 503)


@dataclass(frozen=True)
class Draft:
    """Hold one change that is about to be written; `retired` is deleted once it is accepted."""

    accepted: AcceptedChange
    configuration: Configuration
    document: ConfigurationDocument
    expected_version: int
    retired: tuple[SnapshotReference, ...] = ()

    @property
    def own_snapshot(self) -> SnapshotReference | None:
        """Give the snapshot that belongs to this change alone."""
        snapshot = self.document.snapshot
        return snapshot if snapshot.change_id == self.accepted.change_id else None


class ConfigurationWrite:
    """Commit drafts, at most one of which wins for each revision."""

    def __init__(
        self,
        link: PlatformClient,
        snapshots: SnapshotObjects,
        decide_timeout_s: float,
        snapshots_per_sweep: int,
    ) -> None:
        self._link = link
        self._snapshots = snapshots
        self._decide_timeout_s = decide_timeout_s
        self._snapshots_per_sweep = snapshots_per_sweep
        self._sweep = SnapshotSweep(link)

    def commit(self, draft: Draft) -> Result[Configuration, ConfigurationFailure]:
        """Write a draft's own snapshot first, then the document that refers to it."""
        if draft.own_snapshot is not None:
            match self._snapshots.write(draft.own_snapshot, draft.configuration):
                case Err(failure):
                    return Err(failure)
        decided = self._decide(draft)
        self._clean_up(draft, decided)
        return decided.map(lambda _accepted: draft.configuration)

    def _decide(self, draft: Draft) -> Result[AcceptedChange, ConfigurationFailure]:
        text = draft.document.model_dump_json()
        deadline_s = time.monotonic() + self._decide_timeout_s
        has_unknown_write = False
        while True:
            wait_s = RETRY_WAIT_S
            match self._link.write(CURRENT_KEY, text, draft.expected_version):
                case Ok(_):
                    return Ok(draft.accepted)
                case Err(WriteConflict(current=current)):
                    return _judge(draft, current, has_unknown_write)
                case Err(OutcomeUnknown(message=message)):
                    # The same conditional write again takes effect at most once, and its
                    # conflict brings back what is there.
                    has_unknown_write = True
                case Err(PlatformUnreachable(message=message)):
                    pass
                case Err(PlatformRefused(status=status) as refusal):
                    message = f"status {status} {refusal.message}"
                    wait_s = refusal.retry_after_s or RETRY_WAIT_S
                    if status not in PASSING_STATUSES:
                        return _give_up(draft, message, has_unknown_write)
            if time.monotonic() + wait_s > deadline_s:
                return _give_up(draft, message, has_unknown_write)
            time.sleep(wait_s)

    def _clean_up(
        self, draft: Draft, decided: Result[AcceptedChange, ConfigurationFailure]
    ) -> None:
        match decided:
            case Ok(_):
                for reference in draft.retired:
                    self._snapshots.delete(reference)
                if self._is_sweep_due(draft):
                    self._sweep.run(draft.document)
            case Err(ConfigurationConflict()) if draft.own_snapshot is not None:
                self._snapshots.delete(draft.own_snapshot)

    def _is_sweep_due(self, draft: Draft) -> bool:
        """Choose by the change id, which is random, as a sweep reads every chunk."""
        if draft.own_snapshot is None:
            return False
        return int(draft.accepted.change_id, 16) % self._snapshots_per_sweep == 0


def _give_up(
    draft: Draft, message: str, has_unknown_write: bool
) -> Result[AcceptedChange, ConfigurationFailure]:
    if has_unknown_write:
        return Err(ChangeUndecided(draft.accepted.change_id, message))
    return Err(ConfigurationUnavailable(message))


def _judge(
    draft: Draft, current: StoredObject | None, has_unknown_write: bool
) -> Result[AcceptedChange, ConfigurationFailure]:
    if current is None:
        return _give_up(draft, f"{CURRENT_KEY} was deleted", has_unknown_write)
    document = ConfigurationDocument.model_validate_json(current.value)
    if document.find(draft.accepted.change_id) is not None:
        return Ok(draft.accepted)
    expected = Revision(draft.accepted.revision - 1)
    winners = tuple(each for each in document.changes if each.revision > expected)
    has_winner = any(each.revision == draft.accepted.revision for each in winners)
    if has_unknown_write and not has_winner:
        return _give_up(draft, "the history no longer reaches back to it", has_unknown_write)
    return Err(ConfigurationConflict(expected, document.revision, winners))
