"""State of each key, computed by replaying the records of a log in order."""

from dataclasses import dataclass, replace
from enum import Enum

from gooseberryquay.ids import ClaimToken
from gooseberryquay.postings.records import (
    Answered,
    Claimed,
    ClaimRecord,
    OutcomeLost,
    RecordKey,
    Released,
)

__all__ = ["FREE", "ClaimIndex", "KeyPhase", "KeyState", "next_state"]

REVOKED_TOKENS_MAX = 32


class KeyPhase(Enum):
    """Describe how far the execution of a key has progressed."""

    FREE = "free"
    CLAIMED = "claimed"
    OUTCOME_LOST = "outcome_lost"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class KeyState:
    """Represent the state of one key.

    `claimed_at_s` is Unix time; `void_tokens` are the tokens of revoked claims.
    """

    phase: KeyPhase = KeyPhase.FREE
    token: ClaimToken | None = None
    fingerprint: str = ""
    claimed_at_s: int = 0
    answer: Answered | None = None
    void_tokens: tuple[ClaimToken, ...] = ()

    def is_held_by(self, token: ClaimToken) -> bool:
        """Return whether the claim with a token holds the exclusive right to run the key."""
        return self.phase is KeyPhase.CLAIMED and self.token == token


FREE = KeyState()


def next_state(state: KeyState, record: ClaimRecord) -> KeyState:
    """Return the state after one record; the same object if the record changes nothing."""
    match record:
        case Claimed(token=token) if state.phase is KeyPhase.FREE:
            if token in state.void_tokens:
                return state
            return replace(
                state,
                phase=KeyPhase.CLAIMED,
                token=token,
                fingerprint=record.fingerprint,
                claimed_at_s=record.at_s,
            )
        case Released(token=token):
            return _release(state, token)
        case Answered(token=token) if token == state.token and state.phase in _UNANSWERED_PHASES:
            return replace(state, phase=KeyPhase.ANSWERED, answer=record)
        case OutcomeLost(token=token) if state.is_held_by(token):
            return replace(state, phase=KeyPhase.OUTCOME_LOST)
        case _:
            return state


_UNANSWERED_PHASES = (KeyPhase.CLAIMED, KeyPhase.OUTCOME_LOST)


def _release(state: KeyState, token: ClaimToken) -> KeyState:
    void_tokens = (*state.void_tokens, token)[-REVOKED_TOKENS_MAX:]
    if state.is_held_by(token):
        return KeyState(void_tokens=void_tokens)
    if token == state.token or token in state.void_tokens:
        return state
    return replace(state, void_tokens=void_tokens)


class ClaimIndex:
    """Map each key of one log to its state."""

    def __init__(self) -> None:
        self._states: dict[RecordKey, KeyState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def state(self, key: RecordKey) -> KeyState:
        """Return the state of a key, `FREE` if the log has no record of it."""
        return self._states.get(key, FREE)

    def has(self, key: RecordKey) -> bool:
        """Return whether the log has any record of the key."""
        return key in self._states

    def apply(self, record: ClaimRecord) -> None:
        """Apply the next record of the log."""
        self._states[record.key] = next_state(self.state(record.key), record)
