"""Find an engine for a generation that may run, at the software version that it is bound to."""

from collections.abc import Collection
from dataclasses import replace

from result import Err, Result

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.crash_guard import CrashGuard
from gooseberryquay.serving.demand_book import workspace_key
from gooseberryquay.serving.generation_queue import (
    AdmissionTerms,
    GenerationQueue,
    PlacedGeneration,
    QueueTicket,
)
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.refusal import Refusal
from gooseberryquay.serving.run_lengths import RunLengths
from gooseberryquay.serving.stream_relay import PinnedVersion
from gooseberryquay.serving.upstream_load import LoadTable

__all__ = ["GenerationPlacer", "rank_of"]

# Leaves time to prefill the prompt before the first token is due.
QUEUE_SHARE = 0.85
# Callers prefer a late response to none, but not one that takes their whole deadline.
QUEUE_GOALS_MAX = 3.0
# Outputs are mostly shorter than the maximum that the caller allows.
DEFAULT_OUTPUT_SHARE = 0.5
RANKS_PER_WORKSPACE = 3
RANK_MAX = 9


class GenerationPlacer:
    """Queue generations for engines, and refuse those found to crash engines."""

    def __init__(
        self,
        *,
        queue: GenerationQueue,
        placement: Placement,
        loads: LoadTable,
        guard: CrashGuard,
    ) -> None:
        self._queue = queue
        self._placement = placement
        self._loads = loads
        self._guard = guard

    def place(
        self,
        request: AcceptedRequest,
        pinned: PinnedVersion | None,
        excluded: Collection[UpstreamId],
    ) -> Result[PlacedGeneration, Refusal | CallerLeft]:
        """Wait for an engine; refuse a request found to crash engines before or after the wait."""
        suspected = self._guard.refusal_on_arrival(request)
        if suspected is not None:
            return Err(suspected)
        placed = self._place_at_version(request, pinned, excluded)
        if isinstance(placed, Err):
            return placed
        suspected = self._guard.refusal(request)
        if suspected is None:
            return placed
        self._release(placed.ok_value)
        return Err(suspected)

    def _place_at_version(
        self,
        request: AcceptedRequest,
        pinned: PinnedVersion | None,
        excluded: Collection[UpstreamId],
    ) -> Result[PlacedGeneration, Refusal | CallerLeft]:
        """Wait for an engine whose software may go on with the stream."""
        if pinned is None:
            return self._queue.place(self._ticket(request, excluded), request.caller)
        while True:
            others = self._placement.of_other_versions(request.service, pinned.version)
            ticket = self._ticket(request, others.union(excluded))
            placed = self._queue.place(ticket, request.caller)
            if isinstance(placed, Err) or placed.ok_value.known.record.version == pinned.version:
                return placed
            # Listed during the wait, or replaced by newer software.
            self._release(placed.ok_value)

    def record_complete(
        self, request: AcceptedRequest, output_tokens: int, event_span_s: float
    ) -> None:
        """Learn the length and pace of a finished stream, where they are used."""
        admission = self._queue.admission
        if admission is not None and admission.applies(request.service):
            admission.lengths.record(request, output_tokens, event_span_s)

    def _ticket(self, request: AcceptedRequest, excluded: Collection[UpstreamId]) -> QueueTicket:
        admission = self._queue.admission
        if admission is None or not admission.applies(request.service):
            return _ticket(request, excluded)
        return _contending_ticket(request, excluded, admission.lengths)

    def _release(self, placed: PlacedGeneration) -> None:
        self._loads.end(placed.run)
        self._queue.changed()


def rank_of(request: AcceptedRequest) -> int:
    """Return the queue rank by workspace, then by route; the lowest rank goes first."""
    workspace = request.workspace.priority if request.workspace is not None else 0
    route = min(request.route.priority, RANKS_PER_WORKSPACE - 1)
    return min(RANK_MAX, max(0, workspace * RANKS_PER_WORKSPACE + route))


def _ticket(request: AcceptedRequest, excluded: Collection[UpstreamId]) -> QueueTicket:
    call, route = request.call, request.route
    return QueueTicket(
        id=call.id,
        service=request.service,
        need=_estimate_need(request),
        rank=rank_of(request),
        late_at_s=call.arrived_at_s + QUEUE_SHARE * route.goal_s,
        give_up_at_s=min(request.until_s, call.arrived_at_s + QUEUE_GOALS_MAX * route.goal_s),
        excluded=frozenset(excluded),
    )


def _contending_ticket(
    request: AcceptedRequest, excluded: Collection[UpstreamId], lengths: RunLengths
) -> QueueTicket:
    """Describe a generation that is of use to its caller if it ends before the deadline."""
    call, ticket = request.call, _ticket(request, excluded)
    need = replace(ticket.need, expected_tokens=lengths.expected_tokens(request))
    run_s = lengths.run_s(request.service, need.prompt_tokens, need.expected_tokens)
    goal_at_s = call.arrived_at_s + request.route.goal_s
    useful_until_s = max(min(request.until_s, goal_at_s), request.until_s - run_s)
    workspace = request.workspace.id if request.workspace is not None else None
    return replace(
        ticket,
        need=need,
        give_up_at_s=useful_until_s,
        terms=AdmissionTerms(call.arrived_at_s, workspace_key(workspace), run_s),
    )


def _estimate_need(request: AcceptedRequest) -> EngineNeed:
    demand = request.call.demand
    if demand is None:
        return EngineNeed(0, 0.0)
    route = request.route
    expected = demand.output_tokens_hint or DEFAULT_OUTPUT_SHARE * demand.output_tokens_max
    return EngineNeed(
        demand.prompt_tokens,
        float(min(expected, demand.output_tokens_max)),
        route.gap_target_s,
        request.call.arrived_at_s + route.goal_s,
        route.priority,
    )
