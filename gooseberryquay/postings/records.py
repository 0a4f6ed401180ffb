"""Records of a claim log and the objects that hold them."""

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
    """Ask for the only right to run a key; the first one in log order that is not void has it."""

    kind: Literal["claimed"] = "claimed"
    fingerprint: str
    at_s: int


class Released(_Record):
    """Make a claim void, earlier or later in the log, because its holder sent nothing."""

    kind: Literal["released"] = "released"


class Answered(_Record):
    """Keep the upstream's answer; `is_kept` is False where its body was too large."""

    kind: Literal["answered"] = "answered"
    status: int
    content_type: str
    body: bytes
    is_kept: bool = True


class OutcomeLost(_Record):
    """Note that the holder sent the request and will not learn its answer."""

    kind: Literal["outcome_lost"] = "outcome_lost"


ClaimRecord = Annotated[Claimed | Released | Answered | OutcomeLost, Field(discriminator="kind")]


class LogObject(BaseModel):
    """Hold the records of a head or segment and the head version that was sealed before it."""

    previous_version: int = 0
    records: tuple[ClaimRecord, ...] = ()
