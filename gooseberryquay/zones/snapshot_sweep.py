"""Garbage collection of snapshot chunks that are no longer referenced."""

from collections.abc import Iterator

from result import Err, Ok

from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.zones.configuration_document import SNAPSHOT_PREFIX, ConfigurationDocument

__all__ = ["SnapshotSweep"]

MAX_DELETES = 16


class SnapshotSweep:
    """Delete chunks older than all snapshots an accepted document refers to, a few at a time.

    The revision of a chunk determines its age. A chunk older than the oldest referenced snapshot
    is not needed by readers of the document, nor by readers that started before the last new
    snapshot; and the change that wrote it can no longer be accepted, as its revision is taken.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def run(self, accepted: ConfigurationDocument) -> int:
        """Delete unreferenced chunks and return their number; failures are ignored.

        The document need not be the newest, as later ones refer to no older snapshots.
        """
        match self._client.list(SNAPSHOT_PREFIX):
            case Err(_):
                return 0
            case Ok(objects):
                unreferenced = list(_unreferenced(accepted, objects))[:MAX_DELETES]
                return sum(
                    self._client.delete(each.key, each.version).is_ok() for each in unreferenced
                )


def _unreferenced(
    document: ConfigurationDocument, objects: tuple[StoredObject, ...]
) -> Iterator[StoredObject]:
    referenced = (document.snapshot, *document.retired)
    oldest = min(each.revision for each in referenced)
    for stored in objects:
        revision, _, _ = stored.key.removeprefix(SNAPSHOT_PREFIX).partition("-")
        if revision.isdigit() and int(revision) < oldest:
            yield stored
