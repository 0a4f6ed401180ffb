"""What is known about the execution of one request: whether any upstream may have run it."""

import threading

from result import Err, Ok, Result

from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.execution_proof import PROMISES_NOT_EXECUTED
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.ports import (
    IndeterminateOutcome,
    NotExecuted,
    OpenResponse,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.upstream_record import UpstreamRecord

__all__ = ["Execution", "guarantees_not_run"]


def guarantees_not_run(status: int) -> bool:
    """Return whether a status tells the caller that its request did not and will not run."""
    return status in PROMISES_NOT_EXECUTED


class Execution:
    """Count the sends of one request that an upstream may have executed; thread-safe.

    Each send counts until its outcome proves that it was not executed. A generation that resumes
    from a copy of its KV cache continues a run that was counted.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._run_count = 0
        self._is_withdrawn = False

    @property
    def run_count(self) -> int:
        """Return how many sends may have been executed."""
        with self._lock:
            return self._run_count

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have executed the request."""
        return self.run_count > 0

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the request must not be sent any more."""
        with self._lock:
            return self._is_withdrawn

    def withdraw(self) -> None:
        """Prevent all further sends, so that what is known now stays true."""
        with self._lock:
            self._is_withdrawn = True

    def withdraw_unsent(self) -> None:
        """Prevent all sends, unless there has been one that may have been executed."""
        with self._lock:
            self._is_withdrawn = self._is_withdrawn or self._run_count == 0

    def send(
        self,
        upstream_client: UpstreamClient,
        upstream: UpstreamRecord,
        call: Call,
        options: SendOptions,
        caller: CallerWatch,
    ) -> Result[OpenResponse, NotExecuted | IndeterminateOutcome | CallerLeft]:
        """Send the request to an upstream, unless it was withdrawn, and record the outcome."""
        continuation = options.continuation
        is_new_run = continuation is None or continuation.copy is None
        if not self._begin(is_new_run):
            return Err(NotExecuted("the request was withdrawn"))
        opened = upstream_client.open(upstream, call, options, caller)
        if is_new_run and _proves_not_run(opened):
            with self._lock:
                self._run_count -= 1
        return opened

    def _begin(self, is_new_run: bool) -> bool:
        with self._lock:
            if self._is_withdrawn:
                return False
            self._run_count += is_new_run
            return True


def _proves_not_run(
    opened: Result[OpenResponse, NotExecuted | IndeterminateOutcome | CallerLeft],
) -> bool:
    match opened:
        case Ok(response):
            return response.is_not_run
        case Err(failure):
            return isinstance(failure, NotExecuted)
