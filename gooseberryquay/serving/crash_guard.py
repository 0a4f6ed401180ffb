"""Keep requests that crash their upstreams from running again."""

import threading
import time
import uuid
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import Fingerprint, UpstreamId
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.crash_verdict import Refused, Runs, Trial, Verdict, verdict_of
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import ListeningState, UpstreamClient
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.upstream_record import UpstreamState
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["CrashGuard", "RunLoss"]

# An upstream that resets connections answers within a round trip.
LOOK_TIMEOUT_S = 0.25
# One look answers for all requests that an upstream's end has cut off.
LOOK_VALID_S = 0.5
ENDED_MAX = 256
LOSSES_MAX = 1024
RETRY_AFTER_MIN_S = 0.5


class RunLoss(Enum):
    """Say how a run ended without the upstream's whole answer."""

    BROKEN = "broken"
    SILENT = "silent"
    CALLER_LEFT = "caller left"


@dataclass(frozen=True, slots=True)
class _Loss:
    """Hold a run that was lost at an upstream whose fate is not known yet."""

    fingerprint: Fingerprint
    at_s: float


@dataclass
class _Look:
    """Hold what was seen at an upstream's address."""

    state: ListeningState = ListeningState.OPEN
    at_s: float = float("-inf")
    lock: threading.Lock = field(default_factory=threading.Lock)


class CrashGuard:
    """Judge requests on arrival and tell which lost runs were ended by an upstream's death.

    An upstream that died stays in the list for up to `lapse_s`; a run that was lost there for no
    known reason counts if its upstream is found dead within twice that time.
    """

    def __init__(
        self,
        *,
        suspects: SuspectList,
        calls: UpstreamClient,
        log: DecisionLog,
        lapse_s: float,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._suspects = suspects
        self._calls = calls
        self._log = log
        self._doubt_s = 2.0 * lapse_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._losses: OrderedDict[UpstreamId, list[_Loss]] = OrderedDict()
        self._ended: OrderedDict[UpstreamId, None] = OrderedDict()
        self._looks: OrderedDict[UpstreamId, _Look] = OrderedDict()
        self._lock = threading.Lock()

    def refusal_on_arrival(self, request: AcceptedRequest) -> Refusal | None:
        """Refuse a request that would end its upstream before it waits for one."""
        match self._verdict_of(request):
            case Refused(left_s, reason):
                return _refusal(left_s, reason)
            case Runs() | Trial():
                return None

    def refusal(self, request: AcceptedRequest) -> Refusal | None:
        """Refuse a request that would end its upstream, or None where it is run at once."""
        match self._verdict_of(request):
            case Runs():
                return None
            case Trial():
                return self._try_once(request)
            case Refused(left_s, reason):
                return _refusal(left_s, reason)

    def _verdict_of(self, request: AcceptedRequest) -> Verdict:
        record = self._suspects.record(request.fingerprint)
        if record is None or record.is_cleared():
            return Runs()
        # Those that are told of the last death answer with what they know of others.
        self._suspects.send_updates()
        record = self._suspects.record(request.fingerprint)
        return verdict_of(record, self._wall_clock(), self._doubt_s)

    def finished(self, request: AcceptedRequest) -> None:
        """Take in that a request ran to its end, and crashes no upstream."""
        self._suspects.finished(request.fingerprint)

    def lost(self, request: AcceptedRequest, known: KnownUpstream, loss: RunLoss) -> None:
        """Take in a run that ended without its whole answer."""
        if _is_planned(known):
            return
        incarnation = _incarnation_of(known)
        if incarnation in self._ended:
            self._note_death(request.fingerprint, known, loss.value)
        elif known.is_gone:
            # Some leave the list first and serve on for a while.
            if loss is not RunLoss.BROKEN and self._look(known) is not ListeningState.OPEN:
                self.upstream_ended(known, "gone from the list")
                self._note_death(request.fingerprint, known, loss.value)
        elif loss is RunLoss.CALLER_LEFT:
            self._remember(request.fingerprint, known)
        else:
            self._judge(request.fingerprint, known, loss)

    def send_updates(self) -> None:
        """Have other entries know of a lost run before its caller does."""
        self._suspects.send_updates()

    def upstream_heard(self, known: KnownUpstream) -> None:
        """Take in a sign of life, which proves what was taken for an end wrong."""
        if self._losses or self._ended:
            incarnation = _incarnation_of(known)
            with self._lock:
                self._losses.pop(incarnation, None)
                self._ended.pop(incarnation, None)

    def upstream_ended(self, known: KnownUpstream, evidence: str) -> None:
        """Take in that an incarnation runs no more."""
        incarnation = _incarnation_of(known)
        with self._lock:
            losses = self._losses.pop(incarnation, [])
            if _is_planned(known):
                return
            self._ended[incarnation] = None
            if len(self._ended) > ENDED_MAX:
                self._ended.popitem(last=False)
        since_s = self._clock() - self._doubt_s
        for loss in losses:
            if loss.at_s >= since_s:
                self._note_death(loss.fingerprint, known, evidence)

    def upstream_removed(self, known: KnownUpstream) -> None:
        """Take in that the list has lost an upstream, which may be serving on."""
        if _incarnation_of(known) in self._losses and not _is_planned(known):
            threading.Thread(target=self._resolve, args=(known,), daemon=True).start()

    def _resolve(self, known: KnownUpstream) -> None:
        if self._look(known) is not ListeningState.OPEN:
            self.upstream_ended(known, "gone from the list")

    def _judge(self, fingerprint: Fingerprint, known: KnownUpstream, loss: RunLoss) -> None:
        self._remember(fingerprint, known)
        match self._look(known):
            case ListeningState.REFUSED:
                self.upstream_ended(known, "refuses connections")
            case ListeningState.SILENT:
                self._suspects.record_death(_incarnation_of(known), [fingerprint], is_certain=False)
                self._suspects.request_reload()
                self._note("run lost in silence", fingerprint, known, loss.value)
            case ListeningState.OPEN:
                pass

    def _remember(self, fingerprint: Fingerprint, known: KnownUpstream) -> None:
        now_s = self._clock()
        with self._lock:
            losses = self._losses.setdefault(_incarnation_of(known), [])
            losses[:] = [each for each in losses if each.at_s >= now_s - self._doubt_s]
            losses.append(_Loss(fingerprint, now_s))
            if len(self._losses) > LOSSES_MAX:
                self._losses.popitem(last=False)

    def _look(self, known: KnownUpstream) -> ListeningState:
        with self._lock:
            look = self._looks.setdefault(_incarnation_of(known), _Look())
            if len(self._looks) > LOSSES_MAX:
                self._looks.popitem(last=False)
        with look.lock:
            if self._clock() - look.at_s > LOOK_VALID_S:
                until_s = self._clock() + LOOK_TIMEOUT_S
                look.state = self._calls.listening_state(known.record, until_s)
                look.at_s = self._clock()
            return look.state

    def _note_death(self, fingerprint: Fingerprint, known: KnownUpstream, evidence: str) -> None:
        self._suspects.record_death(_incarnation_of(known), [fingerprint])
        self._suspects.request_reload()
        self._note("upstream died under a request", fingerprint, known, evidence)

    def _try_once(self, request: AcceptedRequest) -> Refusal | None:
        """Let one entry try again, with its run counted as a crash until it finishes."""
        trial = UpstreamId(f"trial/{uuid.uuid4().hex}")
        if self._suspects.claim_trial(request.fingerprint, trial):
            self._log.belief("suspect tried again", fingerprint=request.fingerprint)
            return None
        return _refusal(self._doubt_s, "another entry tries this request, or the store is away")

    def _note(
        self, event: str, fingerprint: Fingerprint, known: KnownUpstream, evidence: str
    ) -> None:
        record = self._suspects.record(fingerprint)
        self._log.belief(
            event,
            fingerprint=fingerprint,
            upstream=known.record.id,
            born_ms=known.record.born_ms,
            evidence=evidence,
            deaths=record.crash_count() if record is not None else 0,
        )


def _refusal(left_s: float, reason: str) -> Refusal:
    return Refusal(RefusalReason.CRASHES_UPSTREAMS, reason, max(RETRY_AFTER_MIN_S, left_s))


def _is_planned(known: KnownUpstream) -> bool:
    return known.record.state is UpstreamState.DRAINING or known.notice.is_leaving


def _incarnation_of(known: KnownUpstream) -> UpstreamId:
    """Name one run of an upstream, which may start again under its id."""
    return UpstreamId(f"{known.record.id}/{known.record.born_ms}")
