"""Local copy of one claim log, and conditional writes to the log on the platform."""

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.links.platform_client import (
    PlatformClient,
    PlatformRefused,
    PlatformUnreachable,
    ReadFailure,
    WriteConflict,
    WriteFailure,
)
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.postings.claim_index import ClaimIndex
from gooseberryquay.postings.posting import LogName
from gooseberryquay.postings.records import Answered, ClaimRecord, LogObject

__all__ = ["ClaimLogCopy"]

HTTP_GONE = 410
RECORD_MEMORY_BYTES = 750


class ClaimLogCopy:
    """Track one log up to a version of its head; not thread-safe.

    A log is a linked list: the head, which is rewritten with each append, and sealed segments.
    """

    def __init__(self, platform: PlatformClient, log: LogName, head_bytes_max: int) -> None:
        self._platform = platform
        self._prefix = f"claims/{log}"
        self._head_bytes_max = head_bytes_max
        self._version = 0
        self._head = LogObject()
        self._head_text = ""
        self.memory_bytes = 0
        self.index = ClaimIndex()

    def refresh(self) -> Result[None, ReadFailure]:
        """Read the head and all segments that were sealed since the last call."""
        return self._platform.read(f"{self._prefix}/head").and_then(self.apply_head)

    def apply_head(self, stored: StoredObject | None) -> Result[None, ReadFailure]:
        """Apply the records of a head that this copy does not have yet."""
        if stored is None:
            if self._version:
                return Err(PlatformRefused(HTTP_GONE, f"{self._prefix} was deleted"))
            return Ok(None)
        if stored.version <= self._version:
            return Ok(None)
        try:
            return self._catch_up(stored.version, stored.value)
        except ValidationError as error:
            return Err(PlatformUnreachable(f"malformed log object: {error}"))

    def write(self, records: tuple[ClaimRecord, ...]) -> Result[None, WriteFailure]:
        """Append records if the head is still at this copy's version; seal a full head first."""
        if len(self._head_text) < self._head_bytes_max:
            head = LogObject(
                previous_version=self._head.previous_version,
                records=(*self._head.records, *records),
            )
            return self._write_head(head, records)
        match self._seal():
            case Err(failure):
                return Err(failure)
            case Ok(_):
                head = LogObject(previous_version=self._version, records=records)
                return self._write_head(head, records)

    def _catch_up(self, version: int, text: str) -> Result[None, ReadFailure]:
        head = LogObject.model_validate_json(text)
        objects = [head]
        while objects[-1].previous_version != self._head.previous_version:
            match self._read_segment(objects[-1].previous_version):
                case Err(failure):
                    return Err(failure)
                case Ok(segment):
                    objects.append(segment)
        known_count = len(self._head.records)
        for log_object in reversed(objects):
            self._apply(log_object.records[known_count:])
            known_count = 0
        self._version, self._head, self._head_text = version, head, text
        return Ok(None)

    def _read_segment(self, version: int) -> Result[LogObject, ReadFailure]:
        return self._platform.read(self._segment_key(version)).and_then(_parse_segment)

    def _apply(self, records: tuple[ClaimRecord, ...]) -> None:
        for record in records:
            self.index.apply(record)
            self.memory_bytes += _memory_bytes_of(record)

    def _seal(self) -> Result[None, WriteFailure]:
        """Copy the head to a segment.

        A conflict is a success: the version in the key determines the content of the segment.
        """
        match self._platform.write(self._segment_key(self._version), self._head_text, 0):
            case Ok(_):
                return Ok(None)
            case Err(WriteConflict()):
                return Ok(None)
            case Err(failure):
                return Err(PlatformUnreachable(f"cannot seal the log head: {failure}"))

    def _write_head(
        self, head: LogObject, added: tuple[ClaimRecord, ...]
    ) -> Result[None, WriteFailure]:
        text = head.model_dump_json()
        match self._platform.write(f"{self._prefix}/head", text, self._version):
            case Err(failure):
                return Err(failure)
            case Ok(version):
                self._apply(added)
                self._version, self._head, self._head_text = version, head, text
                return Ok(None)

    def _segment_key(self, version: int) -> str:
        return f"{self._prefix}/segment-{version}"


def _memory_bytes_of(record: ClaimRecord) -> int:
    body_bytes = len(record.body) if isinstance(record, Answered) else 0
    return RECORD_MEMORY_BYTES + body_bytes


def _parse_segment(stored: StoredObject | None) -> Result[LogObject, ReadFailure]:
    if stored is None:
        return Err(PlatformRefused(HTTP_GONE, "a sealed segment is missing"))
    return Ok(LogObject.model_validate_json(stored.value))
