"""Baseline for measurements: one platform object holds the state of one key."""

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
class _Stored:
    version: int = 0
    state: KeyState = FREE


class ObjectPerKeyClaimRegistry:
    """Create an object for each claim and update it with the answer."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._held: dict[RecordKey, _Stored] = {}

    def add_routes(self, router: Router) -> None:
        """Serve nothing; entries need not talk to each other."""

    def has_unfinished(self) -> bool:
        """Tell that nothing outlives its call."""
        return False

    def known_state(self, at: KeyLocation) -> KeyState:
        """Give the state of a key that is held here."""
        return self._held.get(at.key, _Stored()).state

    def append(
        self, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Change the state of a key by a conditional write."""
        stored = self._held.pop(at.key, _Stored())
        may_be_written = False
        while time.monotonic() < deadline_at_s:
            state = next_state(stored.state, record)
            if state is stored.state and stored.version:
                return Ok(state)
            match self._write(at, state, stored.version):
                case Ok(version):
                    self._held[at.key] = _Stored(version, state)
                    return Ok(state)
                case Err(WriteConflict(current)):
                    stored = _parse(current)
                case Err(PlatformUnreachable()):
                    time.sleep(RETRY_INTERVAL_S)
                case Err(_):
                    may_be_written = True
                    stored = self._read(at).unwrap_or(stored)
        message = "the platform did not confirm the record in time"
        return Err(AppendUncertain(message) if may_be_written else NotAppended(message))

    def _write(self, at: KeyLocation, state: KeyState, version: int) -> Result[int, object]:
        return self._platform.write(_object_key(at), _STATE.dump_json(state).decode(), version)

    def _read(self, at: KeyLocation) -> Result[_Stored, object]:
        return self._platform.read(_object_key(at)).map(_parse)


def _object_key(at: KeyLocation) -> str:
    return f"claims-by-key/{at.key}"


def _parse(current: StoredObject | None) -> _Stored:
    if current is None:
        return _Stored()
    return _Stored(current.version, _STATE.validate_json(current.value))
