"""Messages of the plain service stand-in."""

from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

__all__ = [
    "AnswerAfterRun",
    "BreakAfterRun",
    "CrossAnswers",
    "DelayAnswers",
    "OperationResponse",
    "RefuseBeforeRun",
    "ServiceCounts",
    "ServiceDies",
    "ServiceFault",
    "ServiceHangs",
    "TruncateAnswers",
    "parse_service_fault",
]


class OperationResponse(BaseModel):
    """Response to an operation; `run` counts runs of its key, `reference` is the caller's own."""

    request_id: str
    operation: str
    key: str
    run: int
    reference: str = ""


class ServiceCounts(BaseModel):
    """Counts of one plain service stand-in since its start.

    `runs` is keyed by idempotency key, or by request id if there is none. `keyed_runs` covers only
    idempotency keys, which must never run twice.
    """

    runs: dict[str, int] = Field(default_factory=dict)
    keyed_runs: dict[str, int] = Field(default_factory=dict)
    arrivals: int = 0
    refused: int = 0
    peak_in_flight: int = 0


class CrossAnswers(BaseModel):
    """Return the next responses with the id of another request."""

    kind: Literal["cross_answers"] = "cross_answers"
    count: int = 1


class DelayAnswers(BaseModel):
    """Run the next requests but delay their responses by `delay_s` seconds."""

    kind: Literal["delay_answers"] = "delay_answers"
    delay_s: float
    count: int = 1


class BreakAfterRun(BaseModel):
    """Run the next requests and close their connections without a response."""

    kind: Literal["break_after_run"] = "break_after_run"
    count: int = 1


class TruncateAnswers(BaseModel):
    """Run the next requests and send only half of each response."""

    kind: Literal["truncate_answers"] = "truncate_answers"
    count: int = 1


class AnswerAfterRun(BaseModel):
    """Run the next requests and answer them with `status`."""

    kind: Literal["answer_after_run"] = "answer_after_run"
    status: int
    count: int = 1


class RefuseBeforeRun(BaseModel):
    """Refuse the next requests with status 503 without running them."""

    kind: Literal["refuse_before_run"] = "refuse_before_run"
    count: int = 1


class ServiceHangs(BaseModel):
    """Accept requests but neither run nor answer them for `duration_s` seconds."""

    kind: Literal["hang"] = "hang"
    duration_s: float


class ServiceDies(BaseModel):
    """Crash immediately."""

    kind: Literal["die"] = "die"


ServiceFault = Annotated[
    AnswerAfterRun
    | CrossAnswers
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
    """Parse a control message; raise `pydantic.ValidationError` if it is invalid."""
    return _ADAPTER.validate_json(text)
