"""Structured log of decisions, limited in rate and never blocked by a slow reader."""

import logging
import logging.handlers
import queue
import sys
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from gooseberryquay.ids import EntryId, RequestId

__all__ = ["DecisionLog", "set_up_decision_log"]

FIELDS = "%(asctime)s %(levelname)s %(message)s"
# About 1 MB of lines.
QUEUED_LINES_MAX = 2000
# Above the decision rate of an entry at the peak load of a small site.
LINES_PER_S = 60.0
# Four seconds at the full rate.
BURST_LINES = 240.0


class _BoundedHandler(logging.handlers.QueueHandler):
    """Drop lines while the queue of the writer is full."""

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            DROPPED["queue full"] += 1


DROPPED: Counter[str] = Counter()


def set_up_decision_log(entry: EntryId) -> logging.Logger:
    """Configure a logger that writes to standard output from a background thread."""
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(JsonFormatter(FIELDS, static_fields={"entry": entry}))
    lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUED_LINES_MAX)
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    logger = logging.getLogger("gooseberryquay.decisions")
    logger.handlers = [_BoundedHandler(lines)]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return logger


class DecisionLog:
    """Write lines of several kinds, each with its own rate limit, and count omitted lines."""

    def __init__(
        self,
        logger: logging.Logger | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._logger = logger
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens: dict[str, float] = {}
        self._refilled_at_s: dict[str, float] = {}
        self._omitted: Counter[str] = Counter()

    def lifecycle(self, event: str, **fields: Any) -> None:
        """Write a start, stop or reload; these lines are never omitted."""
        self._write(event, {"kind": "lifecycle", **fields})

    def dependency(self, name: str, part: str, *, is_lost: bool, **fields: Any) -> None:
        """Write that a dependency was lost or regained; these lines are never omitted."""
        event = "dependency lost" if is_lost else "dependency regained"
        self._write(event, {"kind": "dependency", "dependency": name, "part": part, **fields})

    def belief(self, event: str, **fields: Any) -> None:
        """Write a change in this process's view of the system."""
        self._write_limited("belief", event, fields)

    def request(self, event: str, request: RequestId, **fields: Any) -> None:
        """Write a decision about one request."""
        self._write_limited("request", event, {"request": request, **fields})

    def failure(self, event: str, request: RequestId, **fields: Any) -> None:
        """Write the failure of a request; these lines have a separate rate limit."""
        self._write_limited("failure", event, {"request": request, **fields})

    def error(self, event: str, error: BaseException | None, **fields: Any) -> None:
        """Write an unexpected exception with its traceback; these have a separate rate limit."""
        lines = traceback.format_exception(error) if error is not None else []
        self._write_limited("error", event, {"traceback": "".join(lines), **fields})

    def _write_limited(self, kind: str, event: str, fields: dict[str, Any]) -> None:
        with self._lock:
            now_s = self._clock()
            passed_s = now_s - self._refilled_at_s.get(kind, now_s)
            tokens = min(BURST_LINES, self._tokens.get(kind, BURST_LINES) + passed_s * LINES_PER_S)
            self._refilled_at_s[kind] = now_s
            if tokens < 1.0:
                self._tokens[kind] = tokens
                self._omitted[kind] += 1
                return
            self._tokens[kind] = tokens - 1.0
            omitted = self._omitted.pop(kind, 0)
        if omitted:
            fields = {**fields, "omitted_before": omitted}
        self._write(event, {"kind": kind, **fields})

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        if self._logger is not None:
            self._logger.info(event, extra=fields)
