"""Control messages that inject faults into the engine stand-in."""

from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

__all__ = [
    "Die",
    "DropReports",
    "EngineFault",
    "Hang",
    "Reclaim",
    "RefuseStarts",
    "ReportLag",
    "SlowDown",
    "TurnCold",
    "WrongGeneration",
    "parse_engine_fault",
]


class TurnCold(BaseModel):
    """Make the engine cold without warning for `cold_s` seconds."""

    kind: Literal["turn_cold"] = "turn_cold"
    cold_s: float = 10.0


class ReportLag(BaseModel):
    """Report the load as of `lag_s` ago from now on."""

    kind: Literal["report_lag"] = "report_lag"
    lag_s: float


class DropReports(BaseModel):
    """Omit load reports, or resume them with `is_on` false."""

    kind: Literal["drop_reports"] = "drop_reports"
    is_on: bool = True


class SlowDown(BaseModel):
    """Multiply the duration of every decoding step by a factor."""

    kind: Literal["slow_down"] = "slow_down"
    factor: float


class RefuseStarts(BaseModel):
    """Refuse new generations with status 503, or accept them again with `is_on` false."""

    kind: Literal["refuse_starts"] = "refuse_starts"
    is_on: bool = True


class Reclaim(BaseModel):
    """Report the engine as leaving immediately and crash it after `after_s` seconds."""

    kind: Literal["reclaim"] = "reclaim"
    after_s: float


class Die(BaseModel):
    """Crash immediately."""

    kind: Literal["die"] = "die"


class Hang(BaseModel):
    """Accept requests but neither respond nor decode for `duration_s` seconds."""

    kind: Literal["hang"] = "hang"
    duration_s: float


class WrongGeneration(BaseModel):
    """Emit the next tokens with the id of another generation."""

    kind: Literal["wrong_generation"] = "wrong_generation"
    tokens: int = 1


EngineFault = Annotated[
    TurnCold
    | ReportLag
    | DropReports
    | SlowDown
    | RefuseStarts
    | Reclaim
    | Die
    | Hang
    | WrongGeneration,
    Field(discriminator="kind"),
]
_ADAPTER: TypeAdapter[EngineFault] = TypeAdapter(EngineFault)


def parse_engine_fault(text: bytes) -> EngineFault:
    """Parse a control message; raise `pydantic.ValidationError` if it is invalid."""
    return _ADAPTER.validate_json(text)
