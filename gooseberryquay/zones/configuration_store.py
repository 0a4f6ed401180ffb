"""The accepted configuration on the platform, changed by conditional writes."""

from dataclasses import dataclass
from uuid import uuid4

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import (
    AcceptedChange,
    ConfigurationChange,
    DeclarationReplaced,
    PatchDeclaration,
    ReplaceDeclaration,
    StoredChange,
    patch_between,
)
from gooseberryquay.zones.configuration_document import (
    CURRENT_KEY,
    MAX_TAIL_BYTES,
    ConfigurationDocument,
    SnapshotReference,
    split_snapshot,
)
from gooseberryquay.zones.configuration_failure import (
    ChangeRejected,
    ConfigurationConflict,
    ConfigurationFailure,
    ConfigurationUnavailable,
    NoConfiguration,
)
from gooseberryquay.zones.configuration_problem import check_change, check_declaration
from gooseberryquay.zones.configuration_write import ConfigurationWrite, Draft
from gooseberryquay.zones.snapshot_objects import SnapshotObjects

__all__ = ["ConfigurationStore", "StoredConfiguration", "parse_document"]

DEFAULT_COMMIT_TIMEOUT_S = 5.0
READ_ATTEMPTS = 3
SNAPSHOTS_PER_SWEEP = 16
FIRST_REVISION = Revision(1)
NO_REVISION = Revision(0)
MUST_NOT_EXIST = 0
RESTORE_STEP = 1000


@dataclass(frozen=True)
class StoredConfiguration:
    """Represent the stored configuration and the version of the object it was read from."""

    configuration: Configuration
    document: ConfigurationDocument
    version: int


class ConfigurationStore:
    """Read the configuration and change it by conditional writes; thread-safe."""

    def __init__(
        self,
        client: PlatformClient,
        commit_timeout_s: float = DEFAULT_COMMIT_TIMEOUT_S,
        snapshots_per_sweep: int = SNAPSHOTS_PER_SWEEP,
    ) -> None:
        self._client = client
        self._snapshots = SnapshotObjects(client)
        self._write = ConfigurationWrite(
            client, self._snapshots, commit_timeout_s, snapshots_per_sweep
        )

    def read(self) -> Result[StoredConfiguration, ConfigurationFailure]:
        """Read the newest accepted configuration."""
        failure: ConfigurationFailure = NoConfiguration()
        for _ in range(READ_ATTEMPTS):
            match self._read_once():
                case Ok(stored):
                    return Ok(stored)
                case Err(NoConfiguration()):
                    return Err(NoConfiguration())
                case Err(failure):
                    continue
        return Err(failure)

    def _read_once(self) -> Result[StoredConfiguration, ConfigurationFailure]:
        match self._client.read(CURRENT_KEY):
            case Err(refusal):
                return Err(ConfigurationUnavailable(str(refusal)))
            case Ok(None):
                return Err(NoConfiguration())
            case Ok(StoredObject() as stored):
                document = parse_document(stored)
                if document is None:
                    return Err(ConfigurationUnavailable(f"{CURRENT_KEY} is malformed"))
                return self.load(document).map(
                    lambda configuration: StoredConfiguration(
                        configuration, document, stored.version
                    )
                )
        return Err(NoConfiguration())

    def load(self, document: ConfigurationDocument) -> Result[Configuration, ConfigurationFailure]:
        """Read a document's snapshot and apply the changes after it."""
        match self._snapshots.read(document.snapshot):
            case Err(failure):
                return Err(failure)
            case Ok(configuration):
                for accepted in document.changes:
                    if accepted.revision > document.snapshot.revision:
                        configuration = configuration.with_change(accepted)
                return Ok(configuration)

    def create(
        self, declaration: Declaration, author: str
    ) -> Result[Configuration, ConfigurationFailure]:
        """Store a declaration as revision 1 if there is no configuration yet."""
        problems = check_declaration(declaration)
        if problems:
            return Err(ChangeRejected(problems))
        first = Configuration(revision=FIRST_REVISION, declaration=declaration)
        return self._write.commit(_snapshot_draft(first, author, MUST_NOT_EXIST))

    def restore(
        self, configuration: Configuration, author: str
    ) -> Result[Configuration, ConfigurationFailure]:
        """Write back a configuration that entries still have and the platform has lost.

        Its revision is raised by `RESTORE_STEP`, to exceed revisions that were accepted but reached
        none of the entries asked.
        """
        match self._client.read(CURRENT_KEY):
            case Err(refusal):
                return Err(ConfigurationUnavailable(str(refusal)))
            case Ok(stored):
                document = parse_document(stored) if stored else None
                if document is not None and document.revision >= configuration.revision:
                    return Err(ConfigurationConflict(configuration.revision, document.revision, ()))
                raised = Revision(configuration.revision + RESTORE_STEP)
                restored = configuration.model_copy(update={"revision": raised})
                version = stored.version if stored else MUST_NOT_EXIST
                return self._write.commit(_snapshot_draft(restored, author, version))

    def apply(
        self,
        change: ConfigurationChange,
        author: str,
        expected_revision: Revision | None = None,
    ) -> Result[Configuration, ConfigurationFailure]:
        """Commit a change as the next revision and return the resulting configuration.

        Without an expected revision, the revision just read is expected.
        """
        match self.read():
            case Err(failure):
                return Err(failure)
            case Ok(stored):
                return self._apply_to(stored, change, author, expected_revision)

    def _apply_to(
        self,
        stored: StoredConfiguration,
        change: ConfigurationChange,
        author: str,
        expected_revision: Revision | None,
    ) -> Result[Configuration, ConfigurationFailure]:
        document = stored.document
        if expected_revision not in (None, document.revision):
            expected = expected_revision or NO_REVISION
            winners = tuple(each for each in document.changes if each.revision > expected)
            return Err(ConfigurationConflict(expected, document.revision, winners))
        problems = check_change(stored.configuration, change)
        if problems:
            return Err(ChangeRejected(problems))
        return self._write.commit(_change_draft(stored, change, author))


def parse_document(stored: StoredObject) -> ConfigurationDocument | None:
    """Parse a stored object as a document; return None if it is malformed."""
    try:
        return ConfigurationDocument.model_validate_json(stored.value)
    except ValidationError:
        return None


def _snapshot_draft(configuration: Configuration, author: str, expected_version: int) -> Draft:
    accepted = _accepted_change(configuration.revision, author, DeclarationReplaced())
    document = ConfigurationDocument(
        revision=configuration.revision,
        snapshot=_snapshot_reference(configuration, accepted.change_id),
        changes=(accepted,),
    )
    return Draft(accepted, configuration, document, expected_version)


def _change_draft(stored: StoredConfiguration, change: ConfigurationChange, author: str) -> Draft:
    current, document = stored.configuration, stored.document
    accepted = _accepted_change(
        Revision(current.revision + 1), author, _stored_form(current, change)
    )
    configuration = _apply_change(current, accepted, change)
    if document.needs_snapshot_for(accepted):
        snapshot = _snapshot_reference(configuration, accepted.change_id)
        rotated = document.with_snapshot(accepted, snapshot)
        return Draft(accepted, configuration, rotated, stored.version, document.retired)
    return Draft(accepted, configuration, document.with_change(accepted), stored.version)


def _stored_form(current: Configuration, change: ConfigurationChange) -> StoredChange:
    if not isinstance(change, ReplaceDeclaration):
        return change
    patch = patch_between(current.declaration, change.declaration)
    return patch if _size_bytes(patch) <= MAX_TAIL_BYTES else DeclarationReplaced()


def _apply_change(
    current: Configuration, accepted: AcceptedChange, change: ConfigurationChange
) -> Configuration:
    if isinstance(accepted.change, DeclarationReplaced) and isinstance(change, ReplaceDeclaration):
        replaced = current.with_declaration(change.declaration)
        return replaced.model_copy(update={"revision": accepted.revision})
    return current.with_change(accepted)


def _accepted_change(revision: Revision, author: str, change: StoredChange) -> AcceptedChange:
    change_id = ChangeId(uuid4().hex)
    return AcceptedChange(revision=revision, author=author, change_id=change_id, change=change)


def _snapshot_reference(configuration: Configuration, change_id: ChangeId) -> SnapshotReference:
    return SnapshotReference(
        revision=configuration.revision,
        change_id=change_id,
        chunk_count=len(split_snapshot(configuration)),
    )


def _size_bytes(patch: PatchDeclaration) -> int:
    return len(patch.model_dump_json().encode())
