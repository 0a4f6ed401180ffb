"""Own requests in flight at each upstream, and the load that upstreams report."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gooseberryquay.ids import RequestId, UpstreamId
from gooseberryquay.serving.ports import LoadHint

__all__ = ["LoadTable", "Run", "UpstreamLoad"]


@dataclass
class Run:
    """Track one request in flight at an upstream."""

    id: RequestId
    upstream: UpstreamId
    started_at_s: float
    prompt_tokens: int = 0
    expected_tokens: float = 0.0
    generated_tokens: int = 0
    is_moved: bool = False
    # The upstream has begun to respond, so that the request has found room.
    is_admitted: bool = False
    # Prompt tokens that the engine was to read up to this request's first event.
    tokens_ahead: float = 0.0

    @property
    def held_tokens(self) -> int:
        """Return the KV cache tokens in use now."""
        return self.prompt_tokens + self.generated_tokens

    @property
    def growth_tokens(self) -> float:
        """Return the number of output tokens still expected."""
        return max(0.0, self.expected_tokens - self.generated_tokens)

    @property
    def unread_tokens(self) -> int:
        """Return the prompt tokens that the engine may still have to prefill."""
        return 0 if self.is_moved or self.generated_tokens else self.prompt_tokens


@dataclass
class UpstreamLoad:
    """Track the known load of one upstream."""

    runs: dict[RequestId, Run] = field(default_factory=dict)
    hint: LoadHint | None = None
    hinted_at_s: float = 0.0
    own_at_hint: int = 0
    failures: int = 0
    avoided_until_s: float = 0.0

    def other_requests(self, now_s: float, hint_lifetime_s: float) -> float:
        """Estimate the number of other entries' requests from the latest hint.

        The estimate decays linearly to 0 over `hint_lifetime_s`.
        """
        age_s = now_s - self.hinted_at_s
        count = self.hinted_requests(now_s, hint_lifetime_s)
        return count * (1.0 - age_s / hint_lifetime_s) if count else 0.0

    def hinted_requests(self, now_s: float, hint_lifetime_s: float) -> int:
        """Return the number of other entries' requests by the latest hint, 0 if it is outdated."""
        if self.hint is None or now_s - self.hinted_at_s > hint_lifetime_s:
            return 0
        return max(0, self.hint.running + self.hint.waiting - self.own_at_hint)


class LoadTable:
    """Track the requests in flight and the load of each upstream; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._lock = threading.Lock()

    def load_at(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        with self._lock:
            return self._loads.setdefault(upstream, UpstreamLoad())

    def start(self, run: Run) -> None:
        """Add a request in flight."""
        with self._lock:
            self._loads.setdefault(run.upstream, UpstreamLoad()).runs[run.id] = run

    def end(self, run: Run) -> None:
        """Remove a request that has ended."""
        with self._lock:
            load = self._loads.get(run.upstream)
            # The same request may have been counted anew at this upstream.
            if load is not None and load.runs.get(run.id) is run:
                del load.runs[run.id]

    def runs_at(self, upstream: UpstreamId) -> list[Run]:
        """Return this entry's requests in flight at an upstream."""
        with self._lock:
            load = self._loads.get(upstream)
            return list(load.runs.values()) if load is not None else []

    def all_runs(self) -> dict[UpstreamId, list[Run]]:
        """Return this entry's requests in flight by upstream, omitting idle upstreams."""
        with self._lock:
            return {
                upstream: list(load.runs.values())
                for upstream, load in self._loads.items()
                if load.runs
            }

    def record_hint(self, upstream: UpstreamId, hint: LoadHint) -> None:
        """Store the load that an upstream reports."""
        with self._lock:
            load = self._loads.setdefault(upstream, UpstreamLoad())
            load.hint = hint
            load.hinted_at_s = self._clock()
            load.own_at_hint = len(load.runs)

    def record_success(self, upstream: UpstreamId) -> None:
        """Reset the failure count and end the avoidance of an upstream."""
        with self._lock:
            load = self._loads.setdefault(upstream, UpstreamLoad())
            load.failures = 0
            load.avoided_until_s = 0.0

    def record_failure(self, upstream: UpstreamId, avoid_s: float) -> None:
        """Avoid an upstream for `avoid_s`, doubled with each consecutive failure up to 8 times."""
        with self._lock:
            load = self._loads.setdefault(upstream, UpstreamLoad())
            load.failures += 1
            span_s = avoid_s * min(8, 2 ** (load.failures - 1))
            load.avoided_until_s = self._clock() + span_s

    def forget(self, keep: Iterable[UpstreamId]) -> None:
        """Drop upstreams that are not in `keep` and have no requests in flight."""
        kept = set(keep)
        with self._lock:
            for upstream in [each for each in self._loads if each not in kept]:
                if not self._loads[upstream].runs:
                    del self._loads[upstream]

    def in_flight(self) -> int:
        """Return the number of this entry's requests in flight."""
        with self._lock:
            return sum(len(each.runs) for each in self._loads.values())
