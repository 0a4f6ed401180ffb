"""Conditional writes of slot records in the platform."""

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
from gooseberryquay.machines.listed_entries import ABSENT_S, ListedRuns

__all__ = ["SlotAnswer", "SlotFailure", "SlotGranted", "SlotStore", "SlotUnsure"]

MAX_CONFLICTS = 4


@dataclass(frozen=True)
class SlotGranted:
    """Report how many slots the platform has recorded for this entry."""

    held: int


@dataclass(frozen=True)
class SlotUnsure:
    """Report a write at a version whose outcome is not known."""

    expected_version: int


@dataclass(frozen=True)
class SlotFailure:
    """Report that the platform could not be asked, and nothing changed."""

    message: str


SlotAnswer = SlotGranted | SlotUnsure | SlotFailure


@dataclass(frozen=True)
class _ReadRecord:
    version: int
    record: AdmissionRecord


class SlotStore:
    """Read and change slot records; used by one thread.

    Records are never deleted: their versions must not start again while a write may be on its way.
    """

    def __init__(self, platform: PlatformClient, absent_s: float = ABSENT_S) -> None:
        self._platform = platform
        self._runs = ListedRuns(platform, absent_s)

    def acquire(
        self,
        upstream: UpstreamDeclaration,
        this_entry: SlotHolder,
        in_flight: int,
        own_in_flight: int,
    ) -> SlotAnswer:
        """Add a slot if the upstream has capacity for it, given a report of its work in flight."""
        if not self._runs.is_listed(this_entry):
            return SlotFailure("the platform does not list this entry yet")
        for _ in range(MAX_CONFLICTS):
            found = self._read(upstream)
            if isinstance(found, SlotFailure):
                return found
            wanted = self._with_slot(found.record, upstream, this_entry, in_flight, own_in_flight)
            if wanted is None:
                return SlotGranted(found.record.count_of(this_entry))
            answer = self._write(upstream, found.version, wanted, this_entry)
            if answer is not None:
                return answer
        return SlotFailure("too many conflicts")

    def release(
        self, upstream: UpstreamDeclaration, this_entry: SlotHolder, count: int
    ) -> SlotAnswer:
        """Remove slots that are not in use."""
        for _ in range(MAX_CONFLICTS):
            found = self._read(upstream)
            if isinstance(found, SlotFailure):
                return found
            wanted = found.record.without_slots(this_entry, count)
            answer = self._write(upstream, found.version, wanted, this_entry)
            if answer is not None:
                return answer
        return SlotFailure("too many conflicts")

    def unsettle(self, upstream: UpstreamDeclaration, this_entry: SlotHolder) -> SlotAnswer:
        """Note that the upstream was seen warm, so that unslotted work may be there."""
        for _ in range(MAX_CONFLICTS):
            found = self._read(upstream)
            if isinstance(found, SlotFailure):
                return found
            if not found.record.is_settled:
                return SlotGranted(found.record.count_of(this_entry))
            answer = self._write(upstream, found.version, found.record.unsettled(), this_entry)
            if answer is not None:
                return answer
        return SlotFailure("too many conflicts")

    def settle_unsure(
        self, upstream: UpstreamDeclaration, this_entry: SlotHolder, unsure_version: int | None
    ) -> SlotAnswer:
        """Find out what is held; a write at the unsure version can't land once it is passed."""
        found = self._read(upstream)
        if isinstance(found, SlotFailure):
            return found
        if found.version != unsure_version:
            return SlotGranted(found.record.count_of(this_entry))
        answer = self._write(upstream, found.version, found.record, this_entry)
        return answer or SlotFailure("changed meanwhile")

    def _with_slot(
        self,
        record: AdmissionRecord,
        upstream: UpstreamDeclaration,
        this_entry: SlotHolder,
        in_flight: int,
        own_in_flight: int,
    ) -> AdmissionRecord | None:
        others = [each for each in record.holders if each != this_entry]
        living = record.without_dead(self._runs.dead(others)) if others else record
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
    ) -> SlotAnswer | None:
        """Write at a version; None when another write came first."""
        key = admission_key(upstream.id)
        match self._platform.write(key, record.model_dump_json(), version):
            case Ok(_):
                return SlotGranted(record.count_of(this_entry))
            case Err(failure):
                return _answer_of(failure, version)


def _answer_of(failure: WriteFailure, version: int) -> SlotAnswer | None:
    match failure:
        case WriteConflict():
            return None
        case OutcomeUnknown():
            return SlotUnsure(version)
        case PlatformUnreachable(message=message) | PlatformRefused(message=message):
            return SlotFailure(message)


def _parse(stored: StoredObject | None) -> _ReadRecord | SlotFailure:
    if stored is None:
        return _ReadRecord(0, AdmissionRecord())
    try:
        return _ReadRecord(stored.version, AdmissionRecord.model_validate_json(stored.value))
    except ValidationError:
        return SlotFailure("the record cannot be read")
