"""Lengths and durations of generations, learnt from finished streams."""

import threading

from gooseberryquay.ids import ServiceId, WorkKind, WorkspaceId
from gooseberryquay.machines.length_estimate import LengthEstimator
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.room_forecast import PROMPT_TOKENS_PER_S

__all__ = ["RunLengths"]

# Longer outputs than planned for evict others, shorter ones only leave some memory unused.
QUANTILE = 0.8
NO_WORKSPACE = WorkspaceId("")
# Weight of each finished stream.
PACE_WEIGHT = 0.05
# Until a stream has finished: 4 tokens each 40 ms.
USUAL_TOKEN_S = 0.01


class RunLengths:
    """Estimate output tokens by route and workspace, and run times by service; thread-safe."""

    def __init__(self) -> None:
        self._estimator = LengthEstimator()
        self._token_s: dict[ServiceId, float] = {}
        self._lock = threading.Lock()

    def record(self, request: AcceptedRequest, output_tokens: int, event_span_s: float) -> None:
        """Record a finished stream and the seconds from its first to its last event."""
        with self._lock:
            workspace, kind = _workspace_of(request), WorkKind(request.route.name)
            self._estimator.record(workspace, request.service, kind, output_tokens)
            if event_span_s > 0.0 and output_tokens > 0:
                known_s = self.token_s(request.service)
                token_s = event_span_s / output_tokens
                self._token_s[request.service] = known_s + PACE_WEIGHT * (token_s - known_s)

    def expected_tokens(self, request: AcceptedRequest) -> float:
        """Return the caller's hint, or a length that most streams like this do not exceed."""
        demand = request.call.demand
        if demand is None:
            return 0.0
        most = float(demand.output_tokens_max)
        if demand.output_tokens_hint:
            return min(float(demand.output_tokens_hint), most)
        with self._lock:
            lengths = self._estimator.distribution(
                _workspace_of(request),
                request.service,
                WorkKind(request.route.name),
                demand.output_tokens_max,
            )
            return min(most, lengths.quantile_tokens(QUANTILE))

    def token_s(self, service: ServiceId) -> float:
        """Return the seconds per output token of a stream."""
        return self._token_s.get(service, USUAL_TOKEN_S)

    def run_s(self, service: ServiceId, prompt_tokens: float, output_tokens: float) -> float:
        """Return how long a run is expected to take."""
        return prompt_tokens / PROMPT_TOKENS_PER_S + output_tokens * self.token_s(service)


def _workspace_of(request: AcceptedRequest) -> WorkspaceId:
    return request.workspace.id if request.workspace is not None else NO_WORKSPACE
