"""Messages by which entries append claims at the owner of a shard."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.postings.claim_index import KeyState
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["AppendOutcome", "AppendReply", "AppendRequest"]

_BASE64 = ConfigDict(ser_json_bytes="base64", val_json_bytes="base64")


class AppendRequest(BaseModel):
    """Ask a shard's owner to append a record within a timeout in seconds."""

    model_config = _BASE64

    at: KeyLocation
    record: ClaimRecord
    within_s: float


class AppendOutcome(Enum):
    """Report whether an append at the owner took effect."""

    CERTAIN = "certain"
    UNCERTAIN = "uncertain"
    NOT_APPENDED = "not_appended"
    FULL = "full"


class AppendReply(BaseModel):
    """Return the last known state of a key; it is certain only if the outcome says so."""

    model_config = _BASE64

    state: KeyState
    outcome: AppendOutcome
