"""Snapshots of the configuration, each split over one or more platform objects."""

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.links.platform_client import (
    OutcomeUnknown,
    PlatformClient,
    WriteConflict,
)
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_document import SnapshotReference, split_snapshot
from gooseberryquay.zones.configuration_failure import ConfigurationUnavailable

__all__ = ["SnapshotObjects"]

WRITE_ATTEMPTS = 4


class SnapshotObjects:
    """Write, read and delete snapshots; a key is never reused for different content."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def write(
        self, reference: SnapshotReference, configuration: Configuration
    ) -> Result[None, ConfigurationUnavailable]:
        """Write every chunk of a snapshot."""
        for key, chunk in zip(reference.chunk_keys(), split_snapshot(configuration), strict=True):
            match self._write_chunk(key, chunk):
                case Err(failure):
                    return Err(failure)
        return Ok(None)

    def _write_chunk(self, key: str, chunk: str) -> Result[None, ConfigurationUnavailable]:
        message = ""
        for _ in range(WRITE_ATTEMPTS):
            match self._client.write(key, chunk):
                case Ok(_):
                    return Ok(None)
                case Err(OutcomeUnknown(message=message)):
                    continue
                case Err(failure):
                    return Err(ConfigurationUnavailable(f"{key} was not written: {failure}"))
        return Err(ConfigurationUnavailable(f"{key} was not written: {message}"))

    def read(self, reference: SnapshotReference) -> Result[Configuration, ConfigurationUnavailable]:
        """Read a snapshot; it is missing once a later one has superseded it."""
        chunks = []
        for key in reference.chunk_keys():
            match self._client.read(key):
                case Ok(None):
                    return Err(ConfigurationUnavailable(f"{key} does not exist"))
                case Ok(stored):
                    chunks.append(stored.value if stored else "")
                case Err(failure):
                    return Err(ConfigurationUnavailable(f"{key} was not read: {failure}"))
        try:
            return Ok(Configuration.model_validate_json("".join(chunks)))
        except ValidationError as error:
            return Err(ConfigurationUnavailable(f"malformed snapshot: {error}"))

    def delete(self, reference: SnapshotReference) -> None:
        """Delete a snapshot that nothing refers to; failures are ignored."""
        for key in reference.chunk_keys():
            match self._client.delete(key, expected_version=1):
                case Err(WriteConflict(current=current)) if current is not None:
                    self._client.delete(key, current.version)
