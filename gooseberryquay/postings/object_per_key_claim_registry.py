"""Baseline for benchmarks: one platform object holds the state of one key."""

import time
from dataclasses import dataclass

from pydantic import TypeAdapter
from result import Err, Ok, Result

from gooseberryquay.links.http_server import Router
from gooseberryquay.links.platform_client import PlatformClient, PlatformUnreachable, WriteConflict
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.postings.claim_index import FREE, KeyState, next_state
from gooseberryquay.postings.claim_registry import AppendFailure, AppendUncertain, NotAppended
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord, RecordKey

__all__ = ["ObjectPerKeyClaimRegistry"]

RETRY_INTERVAL_S = 0.05
_STATE = TypeAdapter(KeyState)


@dataclass(frozen=True)
class _VersionedState:
    version: int = 0
    state: KeyState = FREE


class ObjectPerKeyClaimRegistry:
    """Create one object for each claimed key and update it with the response."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._known: dict[RecordKey, _VersionedState] = {}

    def add_routes(self, router: Router) -> None:
        """Add no routes, as entries exchange no messages."""

    def has_unfinished(self) -> bool:
        """Return False, as no append outlives its call."""
        return False

    def known_state(self, at: KeyLocation) -> KeyState:
        """Return the last locally known state of a key."""
        return self._known.get(at.key, _VersionedState()).state

    def append(
        self, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Update the state of a key by a conditional write."""
        stored = self._known.pop(at.key, _VersionedState())
        may_be_written = False
        while time.monotonic() < deadline_at_s:
            state = next_state(stored.state, record)
            if state is stored.state and stored.version:
                return Ok(state)
            match self._write(at, state, stored.version):
                case Ok(version):
                    self._known[at.key] = _VersionedState(version, state)
                    return Ok(state)
                case Err(WriteConflict(current)):
                    stored = _parse(current)
                case Err(PlatformUnreachable()):
                    time.sleep(RETRY_INTERVAL_S)
                case Err(_):
                    may_be_written = True
                    stored = self._read(at).unwrap_or(stored)
        message = "the platform did not confirm the record before the deadline"
        return Err(AppendUncertain(message) if may_be_written else NotAppended(message))

    def _write(self, at: KeyLocation, state: KeyState, version: int) -> Result[int, object]:
        return self._platform.write(_object_key(at), _STATE.dump_json(state).decode(), version)

    def _read(self, at: KeyLocation) -> Result[_VersionedState, object]:
        return self._platform.read(_object_key(at)).map(_parse)


def _object_key(at: KeyLocation) -> str:
    return f"claims-by-key/{at.key}"


def _parse(current: StoredObject | None) -> _VersionedState:
    if current is None:
        return _VersionedState()
    return _VersionedState(current.version, _STATE.validate_json(current.value))
