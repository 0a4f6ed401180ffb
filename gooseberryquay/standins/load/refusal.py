"""Parsing of refusals for the counts of the load tool."""

import http.client
from dataclasses import dataclass

from pydantic import BaseModel, ValidationError

from gooseberryquay.errors import Ran

__all__ = ["Refusal", "read_refusal"]

RETRY_AFTER_HEADER = "Retry-After"


class _Error(BaseModel):
    type: str
    ran: str = "unknown"


class _Body(BaseModel):
    error: _Error


@dataclass(frozen=True)
class Refusal:
    """Type of a refusal, and whether it states if the request ran and when to retry."""

    type: str
    is_complete: bool


def read_refusal(response: http.client.HTTPResponse) -> Refusal:
    """Parse a refusal; without an error type, the type is derived from the HTTP status."""
    try:
        error = _Body.model_validate_json(response.read()).error
    except ValidationError:
        return Refusal(f"http_{response.status}", is_complete=False)
    has_ran = error.ran in {each.value for each in Ran}
    has_retry_after = response.headers.get(RETRY_AFTER_HEADER, "").isdigit()
    return Refusal(error.type, is_complete=has_ran and has_retry_after)
