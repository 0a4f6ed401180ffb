"""What a caller of a soak saw of one request."""

from dataclasses import dataclass
from enum import Enum, auto

__all__ = ["CallEnd", "CallKind", "CallResult"]


class CallKind(Enum):
    """Kinds of requests to a site; the value is the first part of the path."""

    NOTE = "note"
    CHECK = "check"
    POST = "post"
    READ = "read"

    @property
    def is_streaming(self) -> bool:
        """Return whether the response is a stream of events."""
        return self in {CallKind.NOTE, CallKind.CHECK}

    @property
    def runs_at_most_once(self) -> bool:
        """Return whether the request may be run at most once."""
        return self in {CallKind.NOTE, CallKind.POST}


class CallEnd(Enum):
    """How an exchange ended on the caller's connection."""

    COMPLETE = auto()
    # No connection, or it ended before the request was sent completely.
    NOT_SENT = auto()
    CLOSED = auto()
    TIMED_OUT = auto()
    # The connection carried bytes that are no response to the request.
    MALFORMED = auto()


@dataclass(frozen=True)
class CallResult:
    """Outcome of one request; `status` is None unless the response is complete."""

    id: str
    kind: CallKind
    port: int
    began_at_s: float
    ended_at_s: float
    status: int | None
    fault: str | None = None
    end: CallEnd = CallEnd.COMPLETE
    sent_at_s: float | None = None
    # Whether the head of a successful response was received.
    has_begun: bool = False
    seal: str | None = None
    is_kept: bool = False
    # Numbers of the events of a successful stream, if it holds nothing else.
    events: tuple[int, ...] | None = None
