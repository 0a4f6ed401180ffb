"""Refusals as the load tool counts them."""

import http.client

from pydantic import BaseModel, ValidationError

__all__ = ["read_refusal"]


class _Error(BaseModel):
    type: str
    ran: str = "unknown"


class _Refusal(BaseModel):
    error: _Error


def read_refusal(response: http.client.HTTPResponse) -> str:
    """Give the type of a refusal, or its HTTP status where it has none."""
    try:
        return _Refusal.model_validate_json(response.read()).error.type
    except ValidationError:
        return f"http_{response.status}"
