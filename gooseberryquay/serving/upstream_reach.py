"""Judgement whether this entry, rather than its upstreams, is cut off."""

import queue
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import ProbeOutcome
from gooseberryquay.serving.upstream_record import UpstreamRecord

__all__ = ["UpstreamReach"]

CHECK_PERIOD_S = 0.25
# A busy entry gets bytes of some answer far more often.
SILENCE_S = 0.6
# An upstream alone may have crashed.
FAILED_MIN = 2
FAILURE_LIFETIME_S = 3.0
# Each probe opens a connection, which an upstream counts.
PROBES = 3
# A probe that succeeded is not repeated for this long, whatever looks suspicious.
TRUST_S = 1.0
# A sound upstream may fall silent for a second.
ANSWER_TIMEOUT_S = 1.2
# The end of a cut shows in the next probe, which waits for one that was lost.
ANSWER_TIMEOUT_IN_CUT_S = 0.6
# Probes that end this much later than they may show that this process stood still.
LATE_S = 1.0

# Waits for an answer for the given seconds once the connection is open.
Probe = Callable[[UpstreamRecord, float], ProbeOutcome]


class UpstreamReach:
    """Track whether any upstream is reached directly; thread-safe.

    Failures of several upstreams, or silence while requests wait, raise the suspicion; only probes
    that fail at all of a few upstreams confirm it, and the first one that is answered ends it. A
    connection that opens is no evidence of reach, as something in between may have accepted it.
    """

    def __init__(
        self,
        *,
        upstreams: Callable[[], Sequence[UpstreamRecord]],
        probe: Probe,
        log: DecisionLog,
        rng: random.Random,
        on_change: Callable[[bool], None] = lambda _is_cut_off: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_change = on_change
        self._upstreams = upstreams
        self._probe = probe
        self._log = log
        self._rng = rng
        self._clock = clock
        self._is_cut_off = False
        self._cut_off_at_s = float("-inf")
        self._answered_at_s = float("-inf")
        self._trusted_until_s = float("-inf")
        self._failed_at_s: dict[UpstreamId, float] = {}
        self._waiting_since_s: dict[object, float] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name="upstream-reach", daemon=True).start()

    def stop(self) -> None:
        """Stop the background thread."""
        self._stopped.set()

    @property
    def is_cut_off(self) -> bool:
        """Return whether this entry reaches no upstream by a new connection."""
        return self._is_cut_off

    def may_use_idle_connections(self) -> bool:
        """Return whether connections that were open before are known to live on."""
        return not self._is_cut_off or self._answered_at_s > self._cut_off_at_s

    def record_answer(self) -> None:
        """Record that an upstream has sent something on a direct connection."""
        self._answered_at_s = self._clock()

    def record_failure(self, upstream: UpstreamId) -> None:
        """Record that a request got no answer on a direct connection, open or not."""
        with self._lock:
            self._failed_at_s[upstream] = self._clock()

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Count a request that waits for an answer on a direct connection within the context."""
        key = object()
        with self._lock:
            self._waiting_since_s[key] = self._clock()
        try:
            yield
        finally:
            with self._lock:
                self._waiting_since_s.pop(key, None)

    def check(self) -> None:
        """Probe some upstreams if the state is in doubt, and update it."""
        if not self._is_cut_off and not self._is_suspicious():
            return
        upstreams = self._sample()
        if len(upstreams) < FAILED_MIN:
            return
        answer_timeout_s = ANSWER_TIMEOUT_IN_CUT_S if self._is_cut_off else ANSWER_TIMEOUT_S
        began_at_s = self._clock()
        outcomes = self._probe_all(upstreams, answer_timeout_s)
        now_s = self._clock()
        is_reached = self._is_reached(outcomes, now_s)
        if not is_reached and now_s - began_at_s > answer_timeout_s + LATE_S:
            return
        if is_reached:
            self._trusted_until_s = now_s + TRUST_S
            with self._lock:
                self._failed_at_s.clear()
        if is_reached == self._is_cut_off:
            self._is_cut_off = not is_reached
            self._cut_off_at_s = now_s
            self._log.dependency(
                "upstreams",
                "direct connections",
                is_lost=self._is_cut_off,
                probes=sorted(each.value for each in outcomes),
            )
            self._on_change(self._is_cut_off)

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_PERIOD_S):
            self.check()

    def _is_suspicious(self) -> bool:
        now_s = self._clock()
        if now_s < self._trusted_until_s:
            return False
        with self._lock:
            recent = [
                each for each in self._failed_at_s.values() if each > now_s - FAILURE_LIFETIME_S
            ]
            oldest_s = min(self._waiting_since_s.values(), default=now_s)
        if len(recent) >= FAILED_MIN:
            return True
        return now_s - max(oldest_s, self._answered_at_s) > SILENCE_S

    def _sample(self) -> list[UpstreamRecord]:
        """Return a few upstreams, of different services if there are several."""
        by_service: dict[str, list[UpstreamRecord]] = {}
        for each in self._upstreams():
            by_service.setdefault(each.service, []).append(each)
        groups = list(by_service.values())
        for each_group in groups:
            self._rng.shuffle(each_group)
        chosen: list[UpstreamRecord] = []
        while len(chosen) < PROBES and any(groups):
            chosen += [group.pop() for group in groups if group]
        return chosen[: max(PROBES, len(groups))]

    def _is_reached(self, outcomes: set[ProbeOutcome], now_s: float) -> bool:
        if ProbeOutcome.ANSWERED in outcomes:
            return True
        # Upstreams with too many connections reset new ones, and answer on the others.
        is_answering = now_s - self._answered_at_s <= SILENCE_S
        return ProbeOutcome.UNANSWERED in outcomes and is_answering

    def _probe_all(
        self, upstreams: Sequence[UpstreamRecord], answer_timeout_s: float
    ) -> set[ProbeOutcome]:
        """Probe upstreams at the same time until the first one answers; return what they did."""
        ended: queue.SimpleQueue[ProbeOutcome] = queue.SimpleQueue()

        def probe(upstream: UpstreamRecord) -> None:
            ended.put(self._probe(upstream, answer_timeout_s))

        for each in upstreams:
            threading.Thread(target=probe, args=(each,), name="reach probe", daemon=True).start()
        outcomes: set[ProbeOutcome] = set()
        for _ in upstreams:
            outcomes.add(ended.get())
            if ProbeOutcome.ANSWERED in outcomes:
                break
        return outcomes
