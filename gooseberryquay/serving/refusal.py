"""Error responses made by this entry, and the guarantees that they give."""

import json
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.serving.call import HeaderPair
from gooseberryquay.serving.execution import guarantees_not_run

__all__ = ["Refusal", "RefusalReason"]

JSON_TYPE = "application/json"


class RefusalReason(Enum):
    """Enumerate why this entry responds instead of an upstream, with code and HTTP status.

    Some statuses guarantee that the request was not and will not be executed.
    """

    NO_CONFIGURATION = ("no_configuration", 503)
    ENTRY_LEAVING = ("entry_leaving", 503)
    NOT_FOUND = ("not_found", 404)
    UNKNOWN_KEY = ("unknown_key", 401)
    BAD_REQUEST = ("bad_request", 400)
    NO_UPSTREAM = ("no_upstream", 503)
    OVERLOADED = ("overloaded", 503)
    DEADLINE_PAST = ("deadline_past", 503)
    NOT_RUN = ("not_run", 503)
    CRASHES_UPSTREAMS = ("crashes_upstreams", 503)
    INTERNAL_ERROR = ("internal_error", 502)
    OUTCOME_UNKNOWN = ("outcome_unknown", 502)
    TIMED_OUT = ("timed_out", 504)

    def __init__(self, code: str, status: int) -> None:
        self.code = code
        self.status = status

    @property
    def promises_not_run(self) -> bool:
        """Return whether the response guarantees that the request was not executed."""
        return guarantees_not_run(self.status)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Represent one error response of this entry."""

    reason: RefusalReason
    message: str
    retry_after_s: float | None = None

    def headers(self) -> list[HeaderPair]:
        """Return the headers of the response."""
        headers = [("content-type", JSON_TYPE)]
        if self.retry_after_s is not None and self.reason.promises_not_run:
            headers.append(("retry-after", f"{self.retry_after_s:.2f}"))
        return headers

    def body(self) -> bytes:
        """Return the JSON body of the response."""
        error = {"type": self.reason.code, "message": self.message}
        return json.dumps({"error": error}).encode()
