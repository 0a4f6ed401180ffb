"""Refusals as the load tool counts them."""

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
    """Hold a refusal's type, and whether it says if the request ran and when to come back."""

    type: str
    is_complete: bool


def read_refusal(response: http.client.HTTPResponse) -> Refusal:
    """Read a refusal; one without a type gets its HTTP status as type."""
    try:
        error = _Body.model_validate_json(response.read()).error
    except ValidationError:
        return Refusal(f"http_{response.status}", is_complete=False)
    says_ran = error.ran in {each.value for each in Ran}
    has_retry_after = response.headers.get(RETRY_AFTER_HEADER, "").isdigit()
    return Refusal(error.type, is_complete=says_ran and has_retry_after)
