"""Messages of the plain service stand-in."""

from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

__all__ = [
    "BreakAfterRun",
    "CrossAnswers",
    "DelayAnswers",
    "OperationAnswer",
    "RefuseBeforeRun",
    "ServiceCounts",
    "ServiceDies",
    "ServiceFault",
    "ServiceHangs",
    "TruncateAnswers",
    "parse_service_fault",
]


class OperationAnswer(BaseModel):
    """Answer one operation; `run` is how often its key has run, `reference` the caller's own."""

    request_id: str
    operation: str
    key: str
    run: int
    reference: str = ""


class ServiceCounts(BaseModel):
    """Count what one plain service stand-in did since its start.

    `runs` is by idempotency key, or by request id where there is none; `keyed_runs` has only the
    former, which must never run twice.
    """

    runs: dict[str, int] = Field(default_factory=dict)
    keyed_runs: dict[str, int] = Field(default_factory=dict)
    arrivals: int = 0
    refused: int = 0
    peak_in_flight: int = 0


class CrossAnswers(BaseModel):
    """Give the next answers to another request's id."""

    kind: Literal["cross_answers"] = "cross_answers"
    count: int = 1


class DelayAnswers(BaseModel):
    """Run the next requests but answer late."""

    kind: Literal["delay_answers"] = "delay_answers"
    delay_s: float
    count: int = 1


class BreakAfterRun(BaseModel):
    """Run the next requests and close their connections without an answer."""

    kind: Literal["break_after_run"] = "break_after_run"
    count: int = 1


class TruncateAnswers(BaseModel):
    """Run the next requests and send only half of their answers."""

    kind: Literal["truncate_answers"] = "truncate_answers"
    count: int = 1


class RefuseBeforeRun(BaseModel):
    """Refuse the next requests with status 503 and run none of them."""

    kind: Literal["refuse_before_run"] = "refuse_before_run"
    count: int = 1


class ServiceHangs(BaseModel):
    """Accept requests but neither run nor answer them for a time."""

    kind: Literal["hang"] = "hang"
    duration_s: float


class ServiceDies(BaseModel):
    """Die at once."""

    kind: Literal["die"] = "die"


ServiceFault = Annotated[
    CrossAnswers
    | DelayAnswers
    | BreakAfterRun
    | TruncateAnswers
    | RefuseBeforeRun
    | ServiceHangs
    | ServiceDies,
    Field(discriminator="kind"),
]
_ADAPTER: TypeAdapter[ServiceFault] = TypeAdapter(ServiceFault)


def parse_service_fault(text: bytes) -> ServiceFault:
    """Read a control message; raises `pydantic.ValidationError` where it is none."""
    return _ADAPTER.validate_json(text)
