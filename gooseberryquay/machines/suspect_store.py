"""Platform objects that preserve suspected requests beyond the lifetime of an entry."""

import logging
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import xxhash
from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.links.platform_client import (
    NO_VERSION,
    ReadFailure,
    WriteConflict,
    WriteFailure,
)
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.machines.suspect_messages import SuspectRecord, SuspectUpdate
from gooseberryquay.machines.suspect_table import SuspectTable

__all__ = ["SuspectObjects", "SuspectStore", "shard_of"]

PREFIX = "suspects/"
SHARDS = 16
# Even with as many deaths as records keep, an object stays below the 1 MB that the store takes.
MAX_STORED_RECORDS = 450

log = logging.getLogger(__name__)


class SuspectObjects(Protocol):
    """Store objects that outlive every entry."""

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ReadFailure]:
        """Read all objects under a key prefix; they may be some seconds stale."""

    def read(self, key: str) -> Result[StoredObject | None, ReadFailure]:
        """Read one object; return None if it does not exist."""

    def write(
        self, key: str, value: str, expected_version: int | None = None
    ) -> Result[int, WriteFailure]:
        """Write an object if it has the expected version; 0 means that it must not exist."""


def shard_of(fingerprint: str) -> int:
    """Return the shard of a request's record."""
    return xxhash.xxh3_64_intdigest(fingerprint.encode()) % SHARDS


@dataclass(frozen=True)
class _Shard:
    """Content and version of one object, as read."""

    key: str
    version: int
    records: dict[str, SuspectRecord]


class SuspectStore:
    """Merge pending records into the platform's shards by conditional writes."""

    def __init__(self, platform: SuspectObjects, table: SuspectTable) -> None:
        self._platform = platform
        self._table = table
        self._pending: set[str] = set()
        self._lock = threading.Lock()

    def add(self, records: Iterable[SuspectRecord]) -> None:
        """Mark records for writing."""
        with self._lock:
            self._pending.update(record.fingerprint for record in records)

    def load(self) -> bool:
        """Merge every shard into the table; return False if the platform does not respond."""
        match self._platform.list(PREFIX):
            case Ok(objects):
                for stored in objects:
                    self._table.merge(_records_in(stored))
                return True
            case Err(failure):
                log.info("suspect records not read", extra={"failure": repr(failure)})
                return False

    def write_pending(self) -> bool:
        """Write each shard with pending records; return False if the platform fails.

        Records that were not written because of a concurrent write stay pending.
        """
        with self._lock:
            pending = sorted(self._pending)
        for number in sorted({shard_of(fingerprint) for fingerprint in pending}):
            fingerprints = [each for each in pending if shard_of(each) == number]
            if not self._write_shard(number, fingerprints):
                return False
        return True

    def write_if_unchanged(self, record: SuspectRecord) -> bool:
        """Merge into a stored record; return False if it has changed or the write failed."""
        shard = self._read_shard(shard_of(record.fingerprint))
        if shard is None:
            return False
        known = shard.records.get(record.fingerprint)
        if known is not None and self._table.merge([known]):
            return False
        self._table.merge([record])
        joined = self._table.get(record.fingerprint) or record
        return self._write(shard, {joined.fingerprint: joined}).is_ok()

    def _write_shard(self, number: int, fingerprints: list[str]) -> bool:
        """Merge a shard with the table, and write it back if that adds something.

        A lost response needs no handling: the next attempt reads the result and adds nothing.
        """
        shard = self._read_shard(number)
        if shard is None:
            return False
        self._table.merge(shard.records.values())
        wanted = {each: self._table.get(each) for each in fingerprints}
        changed = {each: record for each, record in wanted.items() if record is not None}
        if any(shard.records.get(each) != record for each, record in changed.items()):
            match self._write(shard, changed):
                case Err(WriteConflict()):
                    return True
                case Err(_):
                    return False
                case Ok(_):
                    pass
        with self._lock:
            self._pending.difference_update(fingerprints)
        return True

    def _read_shard(self, number: int) -> _Shard | None:
        key = f"{PREFIX}{number}"
        match self._platform.read(key):
            case Err(_):
                return None
            case Ok(stored):
                version = NO_VERSION if stored is None else stored.version
                records = {each.fingerprint: each for each in _records_in(stored)}
                return _Shard(key, version, records)

    def _write(self, shard: _Shard, changed: dict[str, SuspectRecord]) -> Result[int, WriteFailure]:
        kept = _newest({**shard.records, **changed}.values())
        value = SuspectUpdate(records=kept).model_dump_json()
        return self._platform.write(shard.key, value, shard.version)


def _newest(records: Iterable[SuspectRecord]) -> tuple[SuspectRecord, ...]:
    ordered = sorted(records, key=SuspectRecord.last_death_s, reverse=True)
    return tuple(ordered[:MAX_STORED_RECORDS])


def _records_in(stored: StoredObject | None) -> tuple[SuspectRecord, ...]:
    if stored is None:
        return ()
    try:
        return SuspectUpdate.model_validate_json(stored.value).records
    except ValidationError:
        log.error("suspect records are malformed", extra={"key": stored.key})
        return ()
