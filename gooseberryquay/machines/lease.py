"""Leases on platform objects with fencing numbers that increase with every new holder."""

import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from gooseberryquay.ids import FencingNumber
from gooseberryquay.links.platform_client import (
    NO_VERSION,
    OutcomeUnknown,
    PlatformClient,
    PlatformRefused,
    PlatformUnreachable,
    WriteConflict,
)
from gooseberryquay.links.platform_messages import StoredObject

__all__ = ["Lease", "LeaseFailure", "LeaseHold", "LeaseLapsed", "LeaseRecord", "LeaseTaken"]

VALID_RATIO = 0.9
MAX_WRITE_ATTEMPTS = 3


class LeaseRecord(BaseModel):
    """Lease as stored in the platform; `term` is unique to each write."""

    model_config = ConfigDict(frozen=True)

    holder: str
    fencing_number: FencingNumber
    duration_s: float
    term: str
    is_released: bool = False


@dataclass(frozen=True)
class LeaseTaken:
    """Report a lease held by another holder; it may be free after `retry_after_s`."""

    holder: str
    retry_after_s: float


@dataclass(frozen=True)
class LeaseLapsed:
    """Report a lease that this holder no longer holds."""

    fencing_number: FencingNumber


LeaseFailure = LeaseTaken | LeaseLapsed | PlatformUnreachable | PlatformRefused | OutcomeUnknown


@dataclass(frozen=True)
class LeaseHold:
    """Acquired lease; `valid_until_s` is monotonic clock time of this process.

    `was_lapsed` is true if the previous holder did not release it and may still act.
    """

    fencing_number: FencingNumber
    version: int
    valid_until_s: float
    was_lapsed: bool


@dataclass(frozen=True)
class _ObservedVersion:
    version: int
    at_s: float


class Lease:
    """Acquire, renew and release one named lease.

    Another holder's lease has expired once its version has not changed for its full duration, by
    the monotonic clock of this process. The holder itself measures from before its write and uses
    only nine tenths of the duration, so that its lease ends first.
    """

    def __init__(
        self,
        platform: PlatformClient,
        name: str,
        holder: str,
        duration_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._key = f"leases/{name}"
        self._holder = f"{holder}/{secrets.token_hex(4)}"
        self._duration_s = duration_s
        self._clock = clock
        self._observed: _ObservedVersion | None = None
        self._hold: LeaseHold | None = None
        self._lock = threading.Lock()

    @property
    def hold(self) -> LeaseHold | None:
        """Return the acquired lease, expired or not, or None."""
        return self._hold

    def remaining_s(self) -> float:
        """Return the remaining validity in seconds; 0 if the lease is not held."""
        hold = self._hold
        return 0.0 if hold is None else max(0.0, hold.valid_until_s - self._clock())

    def acquire(self) -> Result[LeaseHold, LeaseFailure]:
        """Acquire the lease if it is free; retry after the returned time if it is taken."""
        with self._lock:
            match self._platform.read(self._key):
                case Err(failure):
                    return Err(failure)
                case Ok(stored):
                    if stored is None:
                        return self._acquire_at(NO_VERSION, FencingNumber(1), was_lapsed=False)
                    return self._acquire_from(stored)

    def renew(self) -> Result[LeaseHold, LeaseFailure]:
        """Extend a lease that is held and still valid."""
        with self._lock:
            hold = self._hold
            if hold is None or self.remaining_s() <= 0:
                return Err(LeaseLapsed(hold.fencing_number if hold else FencingNumber(0)))
            return self._acquire_at(hold.version, hold.fencing_number, was_lapsed=hold.was_lapsed)

    def release(self) -> Result[None, LeaseFailure]:
        """Free the lease immediately; call only after everything done under it has ended."""
        with self._lock:
            hold, self._hold = self._hold, None
            if hold is None:
                return Ok(None)
            record = self._record(hold.fencing_number, is_released=True)
            return self._write(record, hold.version).map(lambda _version: None)

    def _acquire_from(self, stored: StoredObject) -> Result[LeaseHold, LeaseFailure]:
        observed = self._observe(stored.version)
        record = _parse(stored)
        if record is None:
            return Err(PlatformRefused(0, f"lease {self._key} is malformed"))
        wait_s = observed.at_s + record.duration_s - self._clock()
        is_own = record.holder == self._holder
        if not record.is_released and not is_own and wait_s > 0:
            return Err(LeaseTaken(record.holder, wait_s))
        number = FencingNumber(record.fencing_number + 1)
        return self._acquire_at(stored.version, number, was_lapsed=not record.is_released)

    def _observe(self, version: int) -> _ObservedVersion:
        if self._observed is None or self._observed.version != version:
            self._observed = _ObservedVersion(version, self._clock())
        return self._observed

    def _acquire_at(
        self, version: int, number: FencingNumber, *, was_lapsed: bool
    ) -> Result[LeaseHold, LeaseFailure]:
        started_s = self._clock()
        match self._write(self._record(number), version):
            case Err(failure):
                return Err(failure)
            case Ok(new_version):
                valid_until_s = started_s + self._duration_s * VALID_RATIO
                self._hold = LeaseHold(number, new_version, valid_until_s, was_lapsed)
                return Ok(self._hold)

    def _record(self, number: FencingNumber, is_released: bool = False) -> LeaseRecord:
        return LeaseRecord(
            holder=self._holder,
            fencing_number=number,
            duration_s=self._duration_s,
            term=secrets.token_hex(8),
            is_released=is_released,
        )

    def _write(self, record: LeaseRecord, version: int) -> Result[int, LeaseFailure]:
        """Write at a version; after a lost response, repeat the write to learn its outcome.

        Of equal writes at one version at most one takes effect, even if the first is delayed.
        """
        value = record.model_dump_json()
        failure: LeaseFailure = LeaseLapsed(record.fencing_number)
        for _attempt in range(MAX_WRITE_ATTEMPTS):
            match self._platform.write(self._key, value, version):
                case Ok(new_version):
                    return Ok(new_version)
                case Err(WriteConflict(current)):
                    if current is not None and current.value == value:
                        return Ok(current.version)
                    if current is None or not self._is_own(current, record.fencing_number):
                        return self._taken_failure(current)
                    version = current.version
                case Err(OutcomeUnknown() as unknown):
                    failure = unknown
                case Err(PlatformUnreachable() | PlatformRefused() as refused):
                    return Err(failure if isinstance(failure, OutcomeUnknown) else refused)
        return Err(failure)

    def _is_own(self, current: StoredObject, number: FencingNumber) -> bool:
        """Return whether an object was written by this holder in a write with a lost response."""
        record = _parse(current)
        return (
            record is not None
            and record.holder == self._holder
            and record.fencing_number == number
            and not record.is_released
        )

    def _taken_failure(self, current: StoredObject | None) -> Result[int, LeaseFailure]:
        record = None if current is None else _parse(current)
        if current is None or record is None:
            return Err(LeaseTaken("", 0.0))
        self._observe(current.version)
        return Err(LeaseTaken(record.holder, record.duration_s))


def _parse(stored: StoredObject) -> LeaseRecord | None:
    try:
        return LeaseRecord.model_validate_json(stored.value)
    except ValidationError:
        return None
