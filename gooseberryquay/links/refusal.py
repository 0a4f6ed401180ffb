"""Encoding of failures as HTTP error responses and as the last event of a stream."""

import math

from pydantic import BaseModel

from gooseberryquay.errors import Failure
from gooseberryquay.ids import RequestId
from gooseberryquay.links.http_server import Response

__all__ = ["ErrorBody", "ErrorMessage", "error_event", "refuse"]


class ErrorBody(BaseModel):
    """Represent a failure as callers receive it."""

    type: str
    message: str
    ran: str
    request_id: str
    retry_after_s: float | None


class ErrorMessage(BaseModel):
    """Wrap a failure in the `{"error": {...}}` format that common LLM APIs use."""

    error: ErrorBody


def _message_of(failure: Failure, request_id: RequestId) -> ErrorMessage:
    body = ErrorBody(
        type=failure.type,
        message=failure.message,
        ran=failure.ran.value,
        request_id=request_id,
        retry_after_s=failure.retry_after_s,
    )
    return ErrorMessage(error=body)


def refuse(failure: Failure, request_id: RequestId) -> Response:
    """Build the HTTP error response of a failure."""
    headers: dict[str, str] = {"X-Request-Id": request_id}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    body = _message_of(failure, request_id).model_dump_json().encode()
    return Response(failure.status, body, headers=headers)


def error_event(failure: Failure, request_id: RequestId) -> bytes:
    """Encode a failure as the last event of a stream."""
    return (
        b"event: error\ndata: %s\n\n" % _message_of(failure, request_id).model_dump_json().encode()
    )
