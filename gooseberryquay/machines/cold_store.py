"""Storage of slot records in the platform by conditional writes."""

from dataclasses import dataclass

from pydantic import ValidationError
from result import Err, Ok

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.links.platform_client import (
    OutcomeUnknown,
    PlatformClient,
    PlatformRefused,
    PlatformUnreachable,
    WriteConflict,
    WriteFailure,
)
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.machines.cold_record import AdmissionRecord, SlotHolder, admission_key
from gooseberryquay.machines.listed_entries import ABSENT_S, ListedEntries

__all__ = ["SlotFailure", "SlotGranted", "SlotOutcomeUnknown", "SlotResult", "SlotStore"]

MAX_CONFLICTS = 4


@dataclass(frozen=True)
class SlotGranted:
    """Report the number of slots recorded for this entry."""

    held: int


@dataclass(frozen=True)
class SlotOutcomeUnknown:
    """Report a conditional write with unknown outcome."""

    expected_version: int


@dataclass(frozen=True)
class SlotFailure:
    """Report a failed call that changed nothing."""

    message: str


SlotResult = SlotGranted | SlotOutcomeUnknown | SlotFailure


@dataclass(frozen=True)
class _ReadRecord:
    version: int
    record: AdmissionRecord


class SlotStore:
    """Read and change slot records; for use by a single thread.

    Records are never deleted, because versions must not restart while a delayed write may arrive.
    """

    def __init__(self, platform: PlatformClient, absent_s: float = ABSENT_S) -> None:
        self._platform = platform
        self._listed_entries = ListedEntries(platform, absent_s)

    def acquire(
        self,
        upstream: UpstreamDeclaration,
        this_entry: SlotHolder,
        in_flight: int,
        own_in_flight: int,
    ) -> SlotResult:
        """Add a slot if the upstream has capacity, given its reported requests in flight."""
        if not self._listed_entries.is_listed(this_entry):
            return SlotFailure("the platform does not list this entry yet")
        for _ in range(MAX_CONFLICTS):
            found = self._read(upstream)
            if isinstance(found, SlotFailure):
                return found
            wanted = self._with_slot(found.record, upstream, this_entry, in_flight, own_in_flight)
            if wanted is None:
                return SlotGranted(found.record.count_of(this_entry))
            result = self._write(upstream, found.version, wanted, this_entry)
            if result is not None:
                return result
        return SlotFailure("too many write conflicts")

    def release(
        self, upstream: UpstreamDeclaration, this_entry: SlotHolder, count: int
    ) -> SlotResult:
        """Remove `count` slots, which must not be in use."""
        for _ in range(MAX_CONFLICTS):
            found = self._read(upstream)
            if isinstance(found, SlotFailure):
                return found
            wanted = found.record.without_slots(this_entry, count)
            result = self._write(upstream, found.version, wanted, this_entry)
            if result is not None:
                return result
        return SlotFailure("too many write conflicts")

    def unsettle(self, upstream: UpstreamDeclaration, this_entry: SlotHolder) -> SlotResult:
        """Mark the record unsettled: the upstream was warm and may have unslotted requests."""
        for _ in range(MAX_CONFLICTS):
            found = self._read(upstream)
            if isinstance(found, SlotFailure):
                return found
            if not found.record.is_settled:
                return SlotGranted(found.record.count_of(this_entry))
            result = self._write(upstream, found.version, found.record.unsettled(), this_entry)
            if result is not None:
                return result
        return SlotFailure("too many write conflicts")

    def resolve_uncertain(
        self, upstream: UpstreamDeclaration, this_entry: SlotHolder, uncertain_version: int | None
    ) -> SlotResult:
        """Read the number of held slots, resolving a write with unknown outcome.

        Rewriting the record advances its version, after which the uncertain write must fail.
        """
        found = self._read(upstream)
        if isinstance(found, SlotFailure):
            return found
        if found.version != uncertain_version:
            return SlotGranted(found.record.count_of(this_entry))
        result = self._write(upstream, found.version, found.record, this_entry)
        return result or SlotFailure("the record was changed concurrently")

    def _with_slot(
        self,
        record: AdmissionRecord,
        upstream: UpstreamDeclaration,
        this_entry: SlotHolder,
        in_flight: int,
        own_in_flight: int,
    ) -> AdmissionRecord | None:
        others = [each for each in record.holders if each != this_entry]
        living = record.without_dead(self._listed_entries.dead(others)) if others else record
        counted = living.with_report(in_flight, own_in_flight)
        if counted.has_room(upstream.cold_in_flight_max):
            return counted.with_slot(this_entry)
        return counted if living != record else None

    def _read(self, upstream: UpstreamDeclaration) -> _ReadRecord | SlotFailure:
        match self._platform.read(admission_key(upstream.id)):
            case Err(failure):
                return SlotFailure(failure.message)
            case Ok(stored):
                return _parse(stored)

    def _write(
        self,
        upstream: UpstreamDeclaration,
        version: int,
        record: AdmissionRecord,
        this_entry: SlotHolder,
    ) -> SlotResult | None:
        """Write at a version; return None if another write came first."""
        key = admission_key(upstream.id)
        match self._platform.write(key, record.model_dump_json(), version):
            case Ok(_):
                return SlotGranted(record.count_of(this_entry))
            case Err(failure):
                return _result_of(failure, version)


def _result_of(failure: WriteFailure, version: int) -> SlotResult | None:
    match failure:
        case WriteConflict():
            return None
        case OutcomeUnknown():
            return SlotOutcomeUnknown(version)
        case PlatformUnreachable(message=message) | PlatformRefused(message=message):
            return SlotFailure(message)


def _parse(stored: StoredObject | None) -> _ReadRecord | SlotFailure:
    if stored is None:
        return _ReadRecord(0, AdmissionRecord())
    try:
        return _ReadRecord(stored.version, AdmissionRecord.model_validate_json(stored.value))
    except ValidationError:
        return SlotFailure("the record is malformed")
