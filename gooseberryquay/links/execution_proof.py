"""Evidence whether an upstream executed a request, and the statuses that promise it did not."""

from collections.abc import Mapping
from dataclasses import replace
from http import HTTPStatus

from gooseberryquay.errors import Failure, Ran, UpstreamFailed
from gooseberryquay.ids import GenerationId, RequestId
from gooseberryquay.links.transport_failure import TransportFailure

__all__ = [
    "PROMISES_NOT_EXECUTED",
    "answers_request",
    "mark_possible_run",
    "proves_not_executed",
    "was_never_sent",
]

REQUEST_ID_HEADER = "x-request-id"
# A caller that receives one of these may send its request again, even one that must run once.
PROMISES_NOT_EXECUTED = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


def answers_request(headers: Mapping[str, str], request_id: RequestId | GenerationId) -> bool:
    """Return whether a response names the request that it answers."""
    return headers.get(REQUEST_ID_HEADER) == request_id


def proves_not_executed(
    status: int, headers: Mapping[str, str], request_id: RequestId | GenerationId
) -> bool:
    """Return whether a response proves that its upstream did not execute the request.

    Of all statuses, the protocol for upstreams gives this meaning only to 503. A response that
    names another request proves nothing about this one.
    """
    named = headers.get(REQUEST_ID_HEADER, request_id)
    return status == HTTPStatus.SERVICE_UNAVAILABLE and named == request_id


def was_never_sent(failure: TransportFailure) -> bool:
    """Return whether a transport failure proves that no part of the request was sent."""
    return not failure.was_sent


def mark_possible_run(failure: Failure) -> Failure:
    """Return the failure of a request that an upstream may have executed before.

    A status that promises the opposite is replaced.
    """
    if failure.status in PROMISES_NOT_EXECUTED:
        return UpstreamFailed(failure.message, Ran.MAYBE, failure.retry_after_s)
    return replace(failure, ran=Ran.MAYBE)
