"""Dispatch of one operation to a service, with retries at other upstreams where safe."""

import time
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok

from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.errors import UpstreamFailed
from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.links.dispatch_outcome import (
    DispatchOutcome,
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
    join_attempts,
)
from gooseberryquay.links.service_client import ServiceCall, ServiceClient
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.work import Dispatcher, Outcome, Work

__all__ = ["ServiceCaller"]

MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0


class ServiceCaller:
    """Send operations to a service's upstreams and retry at another one where that is safe."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        client_for: Callable[[UpstreamId], ServiceClient | None],
        retries: RetryBudget,
    ) -> None:
        self._dispatcher = dispatcher
        self._client_for = client_for
        self._retries = retries

    def send(self, work: Work, call: ServiceCall) -> DispatchOutcome:
        """Try upstreams until one responds, unless a call that may have run must not repeat."""
        known: DispatchOutcome = NotExecuted(UpstreamFailed("no upstream was tried"))
        self._retries.record_request(work.service)
        for attempt in range(MAX_ATTEMPTS):
            match self._dispatcher.place(work):
                case Err(failure):
                    return join_attempts(known, NotExecuted(failure))
                case Ok(placement):
                    pass
            upstream = placement.upstream.id
            placement_outcome = Outcome.CANCELLED
            try:
                outcome = self._send_to(upstream, work.service, call)
                placement_outcome = _placement_outcome_of(outcome)
            finally:
                placement.finish(placement_outcome)
            known = join_attempts(known, outcome)
            is_last = attempt + 1 == MAX_ATTEMPTS
            if is_last or not self._may_send_again(work, call, known):
                return known
            time.sleep(self._retries.backoff_s(attempt + 1))
            work = replace(work, excluded=work.excluded | {upstream})
        return known

    def _send_to(
        self, upstream: UpstreamId, service: ServiceId, call: ServiceCall
    ) -> DispatchOutcome:
        client = self._client_for(upstream)
        if client is None:
            return NotExecuted(
                UpstreamFailed("the upstream is no longer declared", retry_after_s=RETRY_AFTER_S)
            )
        return client.send(call, lambda: self._retries.may_retry(service))

    def _may_send_again(self, work: Work, call: ServiceCall, outcome: DispatchOutcome) -> bool:
        if time.monotonic() >= work.deadline_at_s:
            return False
        match outcome:
            case UpstreamResponse():
                return False
            case IndeterminateOutcome() if call.repeat is RepeatPolicy.NEVER:
                return False
            case _:
                return self._retries.may_retry(work.service)


def _placement_outcome_of(outcome: DispatchOutcome) -> Outcome:
    match outcome:
        case UpstreamResponse():
            return Outcome.FINISHED
        case RefusedByUpstream():
            return Outcome.REFUSED
        case NotExecuted() | IndeterminateOutcome():
            return Outcome.BROKEN
