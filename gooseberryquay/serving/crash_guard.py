"""Prevent requests, and parts of prompts, that crash their upstreams from running again."""

import threading
import time
import uuid
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import Fingerprint, RequestId, UpstreamId
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.crash_verdict import Allowed, Refused, Trial, Verdict, verdict_of
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.part_verdict import (
    ConvictedParts,
    convict_parts,
    convicted_in,
    trial_fingerprint_of,
    verdict_of_parts,
)
from gooseberryquay.serving.ports import ListeningState, UpstreamClient
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.upstream_record import UpstreamState
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["GOOD_RUN_EVENTS", "CrashGuard", "RunLoss"]

# An upstream that resets connections does so within one round trip.
PROBE_TIMEOUT_S = 0.25
# One probe serves all requests that were interrupted when an upstream terminated.
PROBE_VALID_S = 0.5
ENDED_MAX = 256
LOSSES_MAX = 1024
TRIALS_MAX = 64
RETRY_AFTER_MIN_S = 0.5
# A part that crashes engines does so as they begin to write, or a few events later.
GOOD_RUN_EVENTS = 8
# Engines that crash together for another reason do so within this time of a part's latest good run.
GOOD_RUN_SPAN_S = 1.0


class RunLoss(Enum):
    """Classify how a run ended without a complete response from the upstream."""

    BROKEN = "broken"
    SILENT = "silent"
    CALLER_LEFT = "caller left"


@dataclass(frozen=True, slots=True)
class _LostRun:
    """Describe a lost run; `event_count` is the number of events that its upstream had sent."""

    fingerprint: Fingerprint
    part_fingerprints: tuple[Fingerprint, ...]
    event_count: int

    def suspects(self) -> tuple[Fingerprint, ...]:
        """Return what may have crashed the upstream."""
        if self.event_count >= GOOD_RUN_EVENTS:
            return (self.fingerprint,)
        return (self.fingerprint, *self.part_fingerprints)


@dataclass(frozen=True, slots=True)
class _Loss:
    """Record a run lost at an upstream that is not yet known to be dead or alive."""

    run: _LostRun
    at_s: float


@dataclass
class _ProbeResult:
    """Cache the result of probing an upstream's address."""

    state: ListeningState = ListeningState.OPEN
    at_s: float = float("-inf")
    lock: threading.Lock = field(default_factory=threading.Lock)


class CrashGuard:
    """Judge requests on arrival and determine which lost runs an upstream crash ended.

    A crashed upstream stays in the list for up to `list_expiry_s`; a run that was lost there for an
    unknown reason counts as a crash if its upstream is found dead within twice that time.
    """

    def __init__(
        self,
        *,
        suspects: SuspectList,
        upstream_client: UpstreamClient,
        log: DecisionLog,
        list_expiry_s: float,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._suspects = suspects
        self._upstream_client = upstream_client
        self._log = log
        self._uncertain_window_s = 2.0 * list_expiry_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._losses: OrderedDict[UpstreamId, list[_Loss]] = OrderedDict()
        self._ended: OrderedDict[UpstreamId, None] = OrderedDict()
        self._probe_results: OrderedDict[UpstreamId, _ProbeResult] = OrderedDict()
        # Requests that were claimed for a trial and have not reached an upstream yet.
        self._trials: OrderedDict[RequestId, None] = OrderedDict()
        self._lock = threading.Lock()

    def refusal_on_arrival(self, request: AcceptedRequest) -> Refusal | None:
        """Return a refusal if a request would crash its upstream, before it is queued for one."""
        for _, verdict in self._verdicts_of(request):
            match verdict:
                case Refused(remaining_s, reason):
                    return _refusal(remaining_s, reason)
                case Allowed() | Trial():
                    pass
        return None

    def refusal(self, request: AcceptedRequest) -> Refusal | None:
        """Return a refusal if a request would crash its upstream, or None if it may run now.

        A request whose cooldown has passed is claimed for a trial run by one entry.
        """
        verdicts = self._verdicts_of(request)
        for _, verdict in verdicts:
            match verdict:
                case Refused(remaining_s, reason):
                    return _refusal(remaining_s, reason)
                case Allowed() | Trial():
                    pass
        for fingerprint, verdict in verdicts:
            if isinstance(verdict, Trial):
                refused = self._start_trial(fingerprint, request.call.id)
                if refused is not None:
                    return refused
        return None

    def _verdicts_of(self, request: AcceptedRequest) -> list[tuple[Fingerprint, Verdict]]:
        """Judge the whole request and the shared parts of its prompt, under the name of trials."""
        if request.call.id in self._trials:
            return []
        fingerprints = (request.fingerprint, *request.part_fingerprints)
        records = [self._suspects.record(each) for each in fingerprints]
        if all(record is None or record.is_cleared() for record in records):
            return []
        # Peers that are notified of the latest crash reply with the crashes that they know of.
        self._suspects.send_updates()
        now_s = self._wall_clock()
        record = self._suspects.record(request.fingerprint)
        whole = verdict_of(record, now_s, self._uncertain_window_s)
        convicted = self._convicted_in(request, now_s)
        if convicted is None:
            return [(request.fingerprint, whole)]
        trials = trial_fingerprint_of(convicted)
        by_parts = verdict_of_parts(convicted, self._suspects.record(trials), now_s)
        return [(request.fingerprint, whole), (trials, by_parts)]

    def _convicted_in(self, request: AcceptedRequest, now_s: float) -> ConvictedParts | None:
        if not request.part_fingerprints:
            return None
        convicted = convict_parts(self._suspects.records(), now_s - self._uncertain_window_s)
        return convicted_in(request.part_fingerprints, convicted)

    def ran_well(self, request: AcceptedRequest) -> None:
        """Record that an engine has written more of an answer than a crashing part lets it."""
        self._suspects.ran_well(request.part_fingerprints, GOOD_RUN_SPAN_S)

    def finished(self, request: AcceptedRequest) -> None:
        """Record that a request ran to completion and does not crash upstreams."""
        self._suspects.finished(request.fingerprint)

    def run_lost(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        loss: RunLoss,
        event_count: int = 0,
    ) -> None:
        """Record a run that ended without a complete response, after `event_count` events."""
        with self._lock:
            self._trials.pop(request.call.id, None)
        if _is_announced_shutdown(known):
            return
        run = _LostRun(request.fingerprint, request.part_fingerprints, event_count)
        incarnation = _incarnation_id(known)
        if incarnation in self._ended:
            self._record_death(run, known, loss.value)
        elif known.is_gone:
            # Some upstreams leave the list first and keep serving for a while.
            if loss is not RunLoss.BROKEN and self._probe_address(known) is not ListeningState.OPEN:
                self.upstream_ended(known, "gone from the list")
                self._record_death(run, known, loss.value)
        elif loss is RunLoss.CALLER_LEFT:
            self._record_loss(run, known)
        else:
            self._classify_loss(run, known, loss)

    def send_updates(self) -> None:
        """Notify other entries of lost runs, before the caller learns of the failure."""
        self._suspects.send_updates()

    def upstream_alive(self, known: KnownUpstream) -> None:
        """Record that an incarnation is alive, which refutes a presumed termination."""
        if self._losses or self._ended:
            incarnation = _incarnation_id(known)
            with self._lock:
                self._losses.pop(incarnation, None)
                self._ended.pop(incarnation, None)

    def upstream_ended(self, known: KnownUpstream, evidence: str) -> None:
        """Record that an incarnation has terminated."""
        incarnation = _incarnation_id(known)
        with self._lock:
            losses = self._losses.pop(incarnation, [])
            if _is_announced_shutdown(known):
                return
            self._ended[incarnation] = None
            if len(self._ended) > ENDED_MAX:
                self._ended.popitem(last=False)
        since_s = self._clock() - self._uncertain_window_s
        for loss in losses:
            if loss.at_s >= since_s:
                self._record_death(loss.run, known, evidence)

    def upstream_removed(self, known: KnownUpstream) -> None:
        """Check whether an upstream that was removed from the list has terminated."""
        if _incarnation_id(known) in self._losses and not _is_announced_shutdown(known):
            threading.Thread(target=self._confirm_termination, args=(known,), daemon=True).start()

    def _confirm_termination(self, known: KnownUpstream) -> None:
        if self._probe_address(known) is not ListeningState.OPEN:
            self.upstream_ended(known, "gone from the list")

    def _classify_loss(self, run: _LostRun, known: KnownUpstream, loss: RunLoss) -> None:
        self._record_loss(run, known)
        match self._probe_address(known):
            case ListeningState.REFUSED:
                self.upstream_ended(known, "refuses connections")
            case ListeningState.SILENT:
                self._suspects.record_death(
                    _incarnation_id(known), run.suspects(), is_certain=False
                )
                self._suspects.request_reload()
                self._log_event("run lost in silence", run, known, loss.value)
            case ListeningState.OPEN:
                pass

    def _record_loss(self, run: _LostRun, known: KnownUpstream) -> None:
        now_s = self._clock()
        with self._lock:
            losses = self._losses.setdefault(_incarnation_id(known), [])
            losses[:] = [each for each in losses if each.at_s >= now_s - self._uncertain_window_s]
            losses.append(_Loss(run, now_s))
            if len(self._losses) > LOSSES_MAX:
                self._losses.popitem(last=False)

    def _probe_address(self, known: KnownUpstream) -> ListeningState:
        with self._lock:
            probe_result = self._probe_results.setdefault(_incarnation_id(known), _ProbeResult())
            if len(self._probe_results) > LOSSES_MAX:
                self._probe_results.popitem(last=False)
        with probe_result.lock:
            if self._clock() - probe_result.at_s > PROBE_VALID_S:
                until_s = self._clock() + PROBE_TIMEOUT_S
                probe_result.state = self._upstream_client.listening_state(known.record, until_s)
                probe_result.at_s = self._clock()
            return probe_result.state

    def _record_death(self, run: _LostRun, known: KnownUpstream, evidence: str) -> None:
        self._suspects.record_death(_incarnation_id(known), run.suspects())
        self._suspects.request_reload()
        self._log_event("upstream died under a request", run, known, evidence)

    def _start_trial(self, fingerprint: Fingerprint, id: RequestId) -> Refusal | None:
        """Let one entry run a request again; the run counts as a crash until it finishes."""
        trial = UpstreamId(f"trial/{uuid.uuid4().hex}")
        if self._suspects.claim_trial(fingerprint, trial):
            self._log.belief("suspect tried again", fingerprint=fingerprint)
            with self._lock:
                self._trials[id] = None
                if len(self._trials) > TRIALS_MAX:
                    self._trials.popitem(last=False)
            return None
        return _refusal(
            self._uncertain_window_s,
            "another entry is already trying this request, or the store is unreachable",
        )

    def _log_event(self, event: str, run: _LostRun, known: KnownUpstream, evidence: str) -> None:
        record = self._suspects.record(run.fingerprint)
        self._log.belief(
            event,
            fingerprint=run.fingerprint,
            parts=run.part_fingerprints,
            events=run.event_count,
            upstream=known.record.id,
            born_ms=known.record.born_ms,
            evidence=evidence,
            deaths=record.crash_count() if record is not None else 0,
        )


def _refusal(remaining_s: float, reason: str) -> Refusal:
    return Refusal(RefusalReason.CRASHES_UPSTREAMS, reason, max(RETRY_AFTER_MIN_S, remaining_s))


def _is_announced_shutdown(known: KnownUpstream) -> bool:
    return known.record.state is UpstreamState.DRAINING or known.notice.is_leaving


def _incarnation_id(known: KnownUpstream) -> UpstreamId:
    """Return an id that differs after an upstream restarts under the same upstream id."""
    return UpstreamId(f"{known.record.id}/{known.record.born_ms}")
