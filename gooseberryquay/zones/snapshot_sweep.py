"""Removal of snapshot chunks that no revision names any more."""

from collections.abc import Iterator

from result import Err, Ok

from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.zones.configuration_document import SNAPSHOT_PREFIX, ConfigurationDocument

__all__ = ["SnapshotSweep"]

MAX_DELETES = 16


class SnapshotSweep:
    """Delete chunks older than all that an accepted document names, a few at a time.

    A chunk's age is its revision. One older than the oldest named snapshot is neither read for
    the document nor by a reader that began before the last new snapshot, and the change that
    wrote it cannot be accepted any more, as its revision is taken.
    """

    def __init__(self, link: PlatformClient) -> None:
        self._link = link

    def run(self, accepted: ConfigurationDocument) -> int:
        """Delete what is old, as far as the platform lets it; give how many went.

        The document may have been replaced since: later ones name no older snapshots.
        """
        match self._link.list(SNAPSHOT_PREFIX):
            case Err(_):
                return 0
            case Ok(objects):
                old = list(_older_than(accepted, objects))[:MAX_DELETES]
                return sum(self._link.delete(each.key, each.version).is_ok() for each in old)


def _older_than(
    document: ConfigurationDocument, objects: tuple[StoredObject, ...]
) -> Iterator[StoredObject]:
    named = (document.snapshot, *document.retired)
    oldest = min(each.revision for each in named)
    for stored in objects:
        revision, _, _ = stored.key.removeprefix(SNAPSHOT_PREFIX).partition("-")
        if revision.isdigit() and int(revision) < oldest:
            yield stored
