"""One operation that may run at most once, and where its records are kept."""

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
    """Describe one request for an operation; the deadline is of the monotonic clock.

    `after_answer` takes what is to be done once the answer has been written to the caller.
    `is_first_attempt` is the caller's word that no other request with this key was sent before, nor
    will be while this one is unanswered.
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
        """Give the hash that names this key in the claim logs."""
        parts = (self.workspace, self.service, self.operation, self.key)
        return RecordKey(xxhash.xxh3_128_hexdigest("\0".join(parts).encode()))

    def fingerprint(self) -> str:
        """Give a hash of the body."""
        return xxhash.xxh3_64_hexdigest(self.body)

    def created_at_s(self) -> float | None:
        """Give the creation time that a UUIDv7 key carries, or None for any other key."""
        try:
            parsed = uuid.UUID(self.key)
        except ValueError:
            return None
        if parsed.version != UUID_VERSION_WITH_TIME:
            return None
        return (parsed.int >> UUID_TIME_SHIFT_BITS) / MS_PER_S


@dataclass(frozen=True)
class KeyLocation:
    """Name the log that holds a key's records, and the shard that decides its owner."""

    log: LogName
    shard: int
    key: RecordKey

    def is_timed(self) -> bool:
        """Tell whether the log is deleted after the horizon."""
        return not self.log.startswith("untimed/")


def locate(posting: Posting, settings: PostingSettings) -> KeyLocation:
    """Find a posting's log from its key alone, so that every entry finds the same one."""
    key = posting.record_key()
    shard = int(key, 16) % settings.shard_count
    created_at_s = posting.created_at_s()
    if created_at_s is None:
        return KeyLocation(LogName(f"untimed/{shard}"), shard, key)
    bucket = int(created_at_s // settings.bucket_s)
    return KeyLocation(timed_log(bucket, shard), shard, key)


def timed_log(bucket: int, shard: int) -> LogName:
    """Name the log of one shard for the keys created in one bucket of time."""
    return LogName(f"timed-{bucket}/{shard}")
