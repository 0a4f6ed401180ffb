"""Log and metrics records of caller requests that ended."""

import logging
import time
from dataclasses import dataclass, field
from typing import Protocol

from gooseberryquay.errors import Failure
from gooseberryquay.ids import RequestId, ServiceId, WorkKind, WorkspaceId

__all__ = ["RequestLog", "RequestRecord", "RequestSink"]


@dataclass
class RequestRecord:
    """Record the progress of one request; points in time are on the monotonic clock."""

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    kind: WorkKind
    arrived_at_s: float
    token_gap_limit_s: float = 0.0
    first_token_at_s: float | None = None
    last_token_at_s: float = 0.0
    token_count: int = 0
    late_gap_count: int = 0
    stall_s: float = 0.0
    failure: Failure | None = None
    ended_at_s: float = field(default=0.0)

    def record_tokens(self, count: int) -> None:
        """Record tokens that were passed on just now."""
        now_s = time.monotonic()
        self.token_count += count
        if self.first_token_at_s is None:
            self.first_token_at_s = now_s
        elif now_s - self.last_token_at_s > self.token_gap_limit_s:
            self.late_gap_count += 1
            self.stall_s += now_s - self.last_token_at_s - self.token_gap_limit_s
        self.last_token_at_s = now_s

    @property
    def first_token_s(self) -> float | None:
        """Return the time from arrival to the first token in seconds, or None before it."""
        return None if self.first_token_at_s is None else self.first_token_at_s - self.arrived_at_s

    @property
    def total_s(self) -> float:
        """Return the time from arrival to the end in seconds."""
        return self.ended_at_s - self.arrived_at_s


class RequestSink(Protocol):
    """Receive records of requests that have ended."""

    def record_request(self, record: RequestRecord) -> None:
        """Process the record of one ended request."""


class RequestLog:
    """Write one log line for each ended request and pass its record to the sinks."""

    def __init__(self, sinks: tuple[RequestSink, ...] = ()) -> None:
        self._logger = logging.getLogger("gooseberryquay.request")
        self._sinks = sinks

    def end(self, record: RequestRecord, failure: Failure | None) -> None:
        """Complete a record, pass it to the sinks and log it."""
        record.failure = failure
        record.ended_at_s = time.monotonic()
        for sink in self._sinks:
            sink.record_request(record)
        self._logger.info(
            "request ended",
            extra={
                "request_id": record.request_id,
                "workspace": record.workspace,
                "service": record.service,
                "kind": record.kind,
                "decision": failure.type if failure else "served",
                "reason": failure.message if failure else "",
                "ran": failure.ran.value if failure else "yes",
                "first_token_s": record.first_token_s,
                "total_s": record.total_s,
                "token_count": record.token_count,
                "late_gap_count": record.late_gap_count,
            },
        )
