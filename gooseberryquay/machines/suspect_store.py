"""The platform's objects that hold suspected requests beyond the life of an entry."""

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
MAX_STORED_RECORDS = 1000

log = logging.getLogger(__name__)


class SuspectObjects(Protocol):
    """Hold objects that survive every entry."""

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ReadFailure]:
        """Read all objects under a key prefix; they may be some seconds old."""

    def read(self, key: str) -> Result[StoredObject | None, ReadFailure]:
        """Read one object, or None where it does not exist."""

    def write(
        self, key: str, value: str, expected_version: int | None = None
    ) -> Result[int, WriteFailure]:
        """Write an object if it has a version; 0 means that it must not exist."""


def shard_of(fingerprint: str) -> int:
    """Give the shard that a request's record is in."""
    return xxhash.xxh3_64_intdigest(fingerprint.encode()) % SHARDS


@dataclass(frozen=True)
class _Shard:
    """Hold one object as it was read."""

    key: str
    version: int
    records: dict[str, SuspectRecord]


class SuspectStore:
    """Join pending records into the platform's shards by conditional writes."""

    def __init__(self, platform: SuspectObjects, table: SuspectTable) -> None:
        self._platform = platform
        self._table = table
        self._pending: set[str] = set()
        self._lock = threading.Lock()

    def add(self, records: Iterable[SuspectRecord]) -> None:
        """Note records that are to be written."""
        with self._lock:
            self._pending.update(record.fingerprint for record in records)

    def load(self) -> bool:
        """Read every shard into the table; False where the platform does not answer."""
        match self._platform.list(PREFIX):
            case Ok(objects):
                for stored in objects:
                    self._table.merge(_records_in(stored))
                return True
            case Err(failure):
                log.info("suspects not read", extra={"failure": repr(failure)})
                return False

    def write_pending(self) -> bool:
        """Write each shard that has pending records; False where the platform fails.

        What was not written, as another entry wrote at the same time, stays pending.
        """
        with self._lock:
            pending = sorted(self._pending)
        for number in sorted({shard_of(fingerprint) for fingerprint in pending}):
            fingerprints = [each for each in pending if shard_of(each) == number]
            if not self._write_shard(number, fingerprints):
                return False
        return True

    def write_if_unchanged(self, record: SuspectRecord) -> bool:
        """Add to a record; False where another entry has changed it or nothing was written."""
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
        """Join a shard with the table, and write it back where that adds something.

        A lost answer needs no care: the next try reads what was written and adds nothing.
        """
        shard = self._read_shard(number)
        if shard is None:
            return False
        self._table.merge(shard.records.values())
        wanted = {each: self._table.get(each) for each in fingerprints}
        news = {each: record for each, record in wanted.items() if record is not None}
        if any(shard.records.get(each) != record for each, record in news.items()):
            match self._write(shard, news):
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

    def _write(self, shard: _Shard, news: dict[str, SuspectRecord]) -> Result[int, WriteFailure]:
        kept = _newest({**shard.records, **news}.values())
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
        log.error("unreadable suspects", extra={"key": stored.key})
        return ()
