"""Headers common to all caller requests: workspace, request id and deadline."""

import re
import secrets
import time
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from gooseberryquay.errors import DeadlinePast, Failure, InvalidRequest, Ran, UnknownWorkspace
from gooseberryquay.ids import RequestId, WorkKind, WorkspaceId
from gooseberryquay.links.http_server import Request
from gooseberryquay.zones.configuration import Configuration

__all__ = [
    "LAST_EVENT_ID_HEADER",
    "CallerContext",
    "is_first_attempt",
    "mark_possible_earlier_run",
    "read_context",
    "request_id_of",
]

REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
KIND_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
DEFAULT_KIND = WorkKind("default")
FIRST_RETRY_COUNT = "0"
LAST_EVENT_ID_HEADER = "last-event-id"
MAX_DEADLINE_MS = 24 * 3600 * 1000
RANDOM_BYTES = 12


@dataclass(frozen=True)
class CallerContext:
    """Describe the caller of a request; times are on the monotonic clock."""

    request_id: RequestId
    workspace: WorkspaceId
    kind: WorkKind
    arrived_at_s: float
    deadline_at_s: float | None


def request_id_of(request: Request) -> RequestId:
    """Return the caller's request id, or a new one if it is missing or malformed."""
    given = request.headers.get("x-request-id", "")
    if REQUEST_ID_PATTERN.fullmatch(given):
        return RequestId(given)
    return RequestId(secrets.token_hex(RANDOM_BYTES))


def is_first_attempt(request: Request) -> bool:
    """Return whether the caller states that it has not sent this request before."""
    return request.headers.get("x-retry-count") == FIRST_RETRY_COUNT


def mark_possible_earlier_run(failure: Failure, request: Request) -> Failure:
    """Change `ran` to "maybe" if an earlier request for the same key or generation may have run.

    Idempotency records are not checked before a request is accepted. The earlier request may have
    been accepted because it had other headers, came under another configuration or reached an
    entry with a different one. A request that resumes a generation follows one that started it.
    """
    is_repeat = "idempotency-key" in request.headers and not is_first_attempt(request)
    is_resume = LAST_EVENT_ID_HEADER in request.headers
    return replace(failure, ran=Ran.MAYBE) if is_repeat or is_resume else failure


def read_context(
    request: Request, request_id: RequestId, configuration: Configuration
) -> Result[CallerContext, Failure]:
    """Parse and validate the headers that all caller requests share."""
    workspace = WorkspaceId(request.headers.get("x-workspace", ""))
    if workspace not in configuration.declaration.workspaces:
        return Err(UnknownWorkspace("X-Workspace must name a declared workspace"))
    kind = request.headers.get("x-work-kind", DEFAULT_KIND)
    if not KIND_PATTERN.fullmatch(kind):
        return Err(InvalidRequest("X-Work-Kind must be 1 to 64 of A-Z a-z 0-9 _ . -"))
    now_s = time.monotonic()
    match _read_deadline_ms(request):
        case Err(failure):
            return Err(failure)
        case Ok(deadline_ms):
            deadline_at_s = None if deadline_ms is None else now_s + deadline_ms / 1000
    return Ok(CallerContext(request_id, workspace, WorkKind(kind), now_s, deadline_at_s))


def _read_deadline_ms(request: Request) -> Result[int | None, Failure]:
    text = request.headers.get("x-deadline-ms")
    if text is None:
        return Ok(None)
    if re.fullmatch(r"-?[0-9]{1,18}", text) is None:
        return Err(InvalidRequest("X-Deadline-Ms must be a whole number of milliseconds"))
    if int(text) <= 0:
        return Err(DeadlinePast("the deadline is already past"))
    return Ok(min(int(text), MAX_DEADLINE_MS))
