"""Messages between entries about claims."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.postings.claim_index import KeyState
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["AppendAnswer", "AppendOutcome", "AppendQuestion"]

_BASE64 = ConfigDict(ser_json_bytes="base64", val_json_bytes="base64")


class AppendQuestion(BaseModel):
    """Ask a shard's owner to append a record within a time."""

    model_config = _BASE64

    at: KeyLocation
    record: ClaimRecord
    within_s: float


class AppendOutcome(Enum):
    """Say whether an append took effect."""

    CERTAIN = "certain"
    UNCERTAIN = "uncertain"
    NOT_APPENDED = "not_appended"
    FULL = "full"


class AppendAnswer(BaseModel):
    """Give the last known state of a key; it is certain only where the outcome says so."""

    model_config = _BASE64

    state: KeyState
    outcome: AppendOutcome
