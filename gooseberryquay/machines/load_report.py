"""Load that an upstream reports of itself."""

from enum import Enum

from pydantic import BaseModel, ValidationError

__all__ = ["LoadReport", "UpstreamCondition", "parse_load_report"]


class UpstreamCondition(Enum):
    """Tell how much an upstream says it can take."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


class LoadReport(BaseModel, frozen=True):
    """Hold one load report; `age_s` is how old it was when it was sent."""

    condition: UpstreamCondition = UpstreamCondition.WARM
    in_flight: int = 0
    queued: int = 0
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    step_s: float = 0.0
    preemptions: int = 0
    age_s: float = 0.0


def parse_load_report(text: str | bytes) -> LoadReport | None:
    """Read a report, or None where it is not one."""
    try:
        return LoadReport.model_validate_json(text)
    except ValidationError:
        return None
