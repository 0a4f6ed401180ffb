"""Control messages that make the engine stand-in misbehave."""

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
    """Turn cold without warning for a time."""

    kind: Literal["turn_cold"] = "turn_cold"
    cold_s: float = 10.0


class ReportLag(BaseModel):
    """Show the load of so long ago from now on."""

    kind: Literal["report_lag"] = "report_lag"
    lag_s: float


class DropReports(BaseModel):
    """Leave out load reports, or send them again."""

    kind: Literal["drop_reports"] = "drop_reports"
    is_on: bool = True


class SlowDown(BaseModel):
    """Make every step longer by a factor."""

    kind: Literal["slow_down"] = "slow_down"
    factor: float


class RefuseStarts(BaseModel):
    """Refuse new generations with status 503, or take them again."""

    kind: Literal["refuse_starts"] = "refuse_starts"
    is_on: bool = True


class Reclaim(BaseModel):
    """Be leaving now and die after a time."""

    kind: Literal["reclaim"] = "reclaim"
    after_s: float


class Die(BaseModel):
    """Die at once."""

    kind: Literal["die"] = "die"


class Hang(BaseModel):
    """Accept requests but answer and decode nothing for a time."""

    kind: Literal["hang"] = "hang"
    duration_s: float


class WrongGeneration(BaseModel):
    """Write the next tokens under the id of another generation."""

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
    """Read a control message; raises `pydantic.ValidationError` where it is none."""
    return _ADAPTER.validate_json(text)
