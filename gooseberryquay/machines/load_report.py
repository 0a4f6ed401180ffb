"""Load reports of upstreams."""

from enum import Enum

from pydantic import BaseModel, ValidationError

__all__ = ["LoadReport", "UpstreamCondition", "parse_load_report"]


class UpstreamCondition(Enum):
    """Condition of an upstream, as it reports it."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


class LoadReport(BaseModel, frozen=True):
    """Load report of an upstream; `age_s` is its age when it was sent."""

    condition: UpstreamCondition = UpstreamCondition.WARM
    in_flight: int = 0
    queued: int = 0
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    step_s: float = 0.0
    preemptions: int = 0
    age_s: float = 0.0


def parse_load_report(text: str | bytes) -> LoadReport | None:
    """Parse a load report; return None if it is invalid."""
    try:
        return LoadReport.model_validate_json(text)
    except ValidationError:
        return None
