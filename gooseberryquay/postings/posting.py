"""A request with an idempotency key, and the claim log that holds the records of its key."""

import uuid
from dataclasses import dataclass
from typing import NewType

import xxhash

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.ids import IdempotencyKey, OperationName, ServiceId, WorkspaceId
from gooseberryquay.links.streaming_gateway import AfterResponse
from gooseberryquay.postings.records import RecordKey

__all__ = ["KeyLocation", "LogName", "Posting", "locate", "timed_log"]

LogName = NewType("LogName", str)

UUID_VERSION_WITH_TIME = 7
UUID_TIME_SHIFT_BITS = 80
MS_PER_S = 1000


@dataclass(frozen=True)
class Posting:
    """Represent a request whose operation may run at most once for its idempotency key.

    `deadline_at_s` is a time of the monotonic clock. `after_response` registers a callback to run
    once the response has been written to the caller. With `is_first_attempt` the caller asserts
    that it sent no other request with this key and will send none until this one has a response.
    """

    workspace: WorkspaceId
    service: ServiceId
    operation: OperationName
    key: IdempotencyKey
    body: bytes
    deadline_at_s: float
    after_response: AfterResponse
    is_first_attempt: bool = False

    def record_key(self) -> RecordKey:
        """Return the hash that identifies this key in the claim logs."""
        parts = (self.workspace, self.service, self.operation, self.key)
        return RecordKey(xxhash.xxh3_128_hexdigest("\0".join(parts).encode()))

    def fingerprint(self) -> str:
        """Return a hash of the body, which detects a key reused for another request."""
        return xxhash.xxh3_64_hexdigest(self.body)

    def created_at_s(self) -> float | None:
        """Return the creation time in a UUIDv7 key (Unix seconds), or None for any other key."""
        try:
            parsed = uuid.UUID(self.key)
        except ValueError:
            return None
        if parsed.version != UUID_VERSION_WITH_TIME:
            return None
        return (parsed.int >> UUID_TIME_SHIFT_BITS) / MS_PER_S


@dataclass(frozen=True)
class KeyLocation:
    """Identify the log that holds a key's records, and the shard that determines its owner."""

    log: LogName
    shard: int
    key: RecordKey

    def is_timed(self) -> bool:
        """Return whether the log is deleted once all its keys are older than the horizon."""
        return not self.log.startswith("untimed/")


def locate(posting: Posting, settings: PostingSettings) -> KeyLocation:
    """Return the location of a request's key.

    It depends only on the key and the shared layout, so that all entries compute the same one.
    """
    key = posting.record_key()
    shard = int(key, 16) % settings.shard_count
    created_at_s = posting.created_at_s()
    if created_at_s is None:
        return KeyLocation(LogName(f"untimed/{shard}"), shard, key)
    bucket = int(created_at_s // settings.bucket_s)
    return KeyLocation(timed_log(bucket, shard), shard, key)


def timed_log(bucket: int, shard: int) -> LogName:
    """Return the name of a shard's log for the keys created in one time bucket."""
    return LogName(f"timed-{bucket}/{shard}")
