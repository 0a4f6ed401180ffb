"""Records of a claim log, and the stored objects that hold them."""

from typing import Annotated, Literal, NewType

from pydantic import BaseModel, ConfigDict, Field

from gooseberryquay.ids import ClaimToken

__all__ = [
    "Answered",
    "ClaimRecord",
    "Claimed",
    "LogObject",
    "OutcomeLost",
    "RecordKey",
    "Released",
]

RecordKey = NewType("RecordKey", str)


class _Record(BaseModel):
    model_config = ConfigDict(frozen=True, ser_json_bytes="base64", val_json_bytes="base64")

    key: RecordKey
    token: ClaimToken


class Claimed(_Record):
    """Claim the exclusive right to run a key; the first unrevoked claim in the log wins."""

    kind: Literal["claimed"] = "claimed"
    fingerprint: str
    at_s: int


class Released(_Record):
    """Revoke a claim whose holder sent nothing; the claim may precede or follow this record."""

    kind: Literal["released"] = "released"


class Answered(_Record):
    """Store the upstream's response; `is_kept` is False if its body was too large to store."""

    kind: Literal["answered"] = "answered"
    status: int
    content_type: str
    body: bytes
    is_kept: bool = True


class OutcomeLost(_Record):
    """Record that the holder sent the request and cannot learn its outcome."""

    kind: Literal["outcome_lost"] = "outcome_lost"


ClaimRecord = Annotated[Claimed | Released | Answered | OutcomeLost, Field(discriminator="kind")]


class LogObject(BaseModel):
    """Represent the head or a segment of a log.

    `previous_version` is the head version whose content was sealed as the preceding segment, or 0.
    """

    previous_version: int = 0
    records: tuple[ClaimRecord, ...] = ()
