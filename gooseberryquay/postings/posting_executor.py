"""Run operations at most once, whatever callers and entries repeat."""

import secrets
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.errors import (
    DeadlineUnreachable,
    Failure,
    Overloaded,
    PlatformUnavailable,
    Ran,
    UnknownOutcome,
    UntimedKeysFull,
)
from gooseberryquay.ids import ClaimToken
from gooseberryquay.links.dispatch_outcome import (
    DispatchOutcome,
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
)
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.peer import Peers
from gooseberryquay.postings.backlog import Backlog
from gooseberryquay.postings.claim_index import KeyPhase, KeyState
from gooseberryquay.postings.claim_layout import SharedLayout
from gooseberryquay.postings.claim_registry import (
    AppendFailure,
    AppendUncertain,
    ClaimRegistry,
    KeysFull,
)
from gooseberryquay.postings.claim_sweeper import ClaimSweeper
from gooseberryquay.postings.duplicate_answer import answer_repeat, check_age
from gooseberryquay.postings.peer_run_check import PeerRunCheck
from gooseberryquay.postings.posting import KeyLocation, Posting, locate
from gooseberryquay.postings.recent_runs import RecentRuns
from gooseberryquay.postings.records import Answered, Claimed, ClaimRecord, OutcomeLost, Released
from gooseberryquay.postings.sharded_claim_registry import ShardedClaimRegistry

__all__ = ["Dispatch", "PostingExecutor"]

Dispatch = Callable[[ClaimToken], DispatchOutcome]

TOKEN_BYTES = 12
RETRY_AFTER_S = 1.0
CONTENT_TYPE_LENGTH_MAX = 100


class PostingExecutor:
    """Claim each key before its operation is sent, and keep the answer for repeats."""

    def __init__(
        self,
        platform: PlatformClient,
        peers: Peers,
        settings: PostingSettings | None = None,
        claims: ClaimRegistry | None = None,
    ) -> None:
        self._settings = settings or PostingSettings()
        self._layout = SharedLayout(platform, self._settings)
        self._sweeper = ClaimSweeper(platform, peers, self._layout)
        self._claims = claims or ShardedClaimRegistry(platform, peers, self._settings)
        self._backlog = Backlog(self._claims, self._settings.backlog_max)
        self._memory = RecentRuns(self._settings.witness_keys_max, self._settings.clock_skew_s)
        self._witness = PeerRunCheck(peers, self._memory, self._claims.known_state, self._settings)
        self._peers = peers
        self._lock = threading.Lock()
        self._running_count = 0

    def add_routes(self, router: Router) -> None:
        """Serve other entries' questions about claims."""
        self._claims.add_routes(router)
        self._witness.add_routes(router)

    def start(self) -> None:
        """Learn the shared layout, follow the members and delete expired logs in the background."""
        self._layout.start()
        self._sweeper.start()
        self._witness.start()

    def has_unfinished(self) -> bool:
        """Tell whether a posting, an append or a late record is under way."""
        with self._lock:
            is_running = self._running_count > 0
        return is_running or self._claims.has_unfinished() or len(self._backlog) > 0

    def close(self, timeout_s: float) -> bool:
        """Wait for late records and for appends; False where the time is over first."""
        self._sweeper.stop()
        self._witness.stop()
        deadline_at_s = time.monotonic() + timeout_s
        self._backlog.wait_until_empty(timeout_s)
        while self.has_unfinished() and time.monotonic() < deadline_at_s:
            time.sleep(0.01)
        return not self.has_unfinished()

    def run_once(self, posting: Posting, dispatch: Dispatch) -> Result[Answered, Failure]:
        """Give the recorded answer of a key, and run its operation first if none ever may have.

        `dispatch` is called at most once, by the holder of the key's only claim.
        """
        with self._lock:
            self._running_count += 1
        try:
            return self._run_once(posting, dispatch)
        finally:
            with self._lock:
                self._running_count -= 1

    def _run_once(self, posting: Posting, dispatch: Dispatch) -> Result[Answered, Failure]:
        settings = self._layout.wait(self._claim_deadline_s(posting))
        if settings is None:
            at = locate(posting, self._settings)
            return Err(self._refuse_for_platform(posting, at, "the claim layout is not known"))
        if failure := check_age(posting, settings):
            return Err(failure)
        at = locate(posting, settings)
        known = self._claims.known_state(at)
        if known.phase is KeyPhase.ANSWERED:
            return answer_repeat(posting, known, settings.running_s)
        self._memory.observe(self._peers.live())
        self._memory.begin(at.key)
        try:
            return self._claim_and_run(posting, at, dispatch)
        finally:
            self._memory.end(at.key)

    def _claim_and_run(
        self, posting: Posting, at: KeyLocation, dispatch: Dispatch
    ) -> Result[Answered, Failure]:
        token = ClaimToken(secrets.token_hex(TOKEN_BYTES))
        match self._claim(posting, at, token):
            case Err(append_failure):
                return Err(self._refuse_unclaimed(posting, at, token, append_failure))
            case Ok(state) if state.is_held_by(token):
                return self._run_claimed(posting, at, token, dispatch)
            case Ok(state) if state.phase is KeyPhase.FREE:
                return Err(self._refuse_for_platform(posting, at, "the claim was made void"))
            case Ok(state):
                self._withdraw(at, token, state)
                return answer_repeat(posting, state, self._settings.running_s)

    def _withdraw(self, at: KeyLocation, token: ClaimToken, state: KeyState) -> None:
        """Make a claim void that came second, so that a late copy of it cannot hold the key.

        A slow owner may still append it once the holder has released the key, and nobody would run
        or release it then.
        """
        if state.phase is KeyPhase.CLAIMED:
            self._backlog.add(at, Released(key=at.key, token=token))

    def _claim(
        self, posting: Posting, at: KeyLocation, token: ClaimToken
    ) -> Result[KeyState, AppendFailure]:
        claimed = Claimed(
            key=at.key, token=token, fingerprint=posting.fingerprint(), at_s=int(time.time())
        )
        return self._claims.append(at, claimed, self._claim_deadline_s(posting))

    def _claim_deadline_s(self, posting: Posting) -> float:
        latest_s = time.monotonic() + self._settings.claim_timeout_s
        return min(latest_s, posting.deadline_at_s)

    def _refuse_unclaimed(
        self, posting: Posting, at: KeyLocation, token: ClaimToken, failure: AppendFailure
    ) -> Failure:
        """Refuse without having sent anything, and make a claim that may still land void."""
        match failure:
            case KeysFull():
                message = "too many keys without a creation time are kept; send UUIDv7 keys"
                # The log was read, does not hold the key and takes no new one from anybody.
                return UntimedKeysFull(message, Ran.NO, RETRY_AFTER_S)
            case AppendUncertain():
                released = Released(key=at.key, token=token)
                self._do_after_answer(posting, lambda: self._backlog.add(at, released))
        return self._refuse_for_platform(posting, at, failure.message)

    def _refuse_for_platform(self, posting: Posting, at: KeyLocation, reason: str) -> Failure:
        message = f"the claim cannot be recorded now: {reason}"
        return PlatformUnavailable(message, self._ran_before(posting, at), RETRY_AFTER_S)

    def _ran_before(self, posting: Posting, at: KeyLocation) -> Ran:
        """Tell whether an earlier request with the key may have run."""
        if posting.is_first_attempt:
            return Ran.NO
        return self._witness.ran_before(at, posting.created_at_s())

    def _run_claimed(
        self, posting: Posting, at: KeyLocation, token: ClaimToken, dispatch: Dispatch
    ) -> Result[Answered, Failure]:
        if failure := self._start_run(posting, at):
            return self._release(posting, at, token, failure)
        match self._dispatch(token, dispatch):
            case UpstreamResponse() as answer:
                answered = _answered(at, token, answer)
                self._record(at, self._bounded(answered))
                return Ok(answered)
            case NotExecuted(failure):
                return self._release(posting, at, token, failure)
            case RefusedByUpstream(message, retry_after_s):
                refusal = Overloaded(message, Ran.NO, retry_after_s)
                return self._release(posting, at, token, refusal)
            case IndeterminateOutcome(message):
                self._record(at, OutcomeLost(key=at.key, token=token))
                return Err(UnknownOutcome(message, Ran.MAYBE))

    def _release(
        self, posting: Posting, at: KeyLocation, token: ClaimToken, failure: Failure
    ) -> Err[Failure]:
        """Refuse, and free the key only once the refusal has been written.

        Freed before that, the key could run elsewhere while the refusal still says that it did not.
        The time to come back leaves room for the release to land.
        """
        released = Released(key=at.key, token=token)
        self._do_after_answer(posting, lambda: self._record(at, released))
        return Err(replace(failure, retry_after_s=failure.retry_after_s or RETRY_AFTER_S))

    def _do_after_answer(self, posting: Posting, action: Callable[[], None]) -> None:
        """Count an action as unfinished until the answer has been written and it is done."""
        with self._lock:
            self._running_count += 1

        def finish() -> None:
            try:
                action()
            finally:
                with self._lock:
                    self._running_count -= 1

        posting.after_response(finish)

    def _start_run(self, posting: Posting, at: KeyLocation) -> Failure | None:
        if not self._memory.start_run(at.key, posting.deadline_at_s):
            return DeadlineUnreachable("the deadline passed before it could be sent", Ran.NO)
        return self._check_after_claim(posting)

    def _check_after_claim(self, posting: Posting) -> Failure | None:
        """Check again what may have changed while this thread waited or was paused."""
        if time.monotonic() >= posting.deadline_at_s:
            return DeadlineUnreachable("the deadline passed before it could be sent", Ran.NO)
        settings = self._layout.wait(time.monotonic()) or self._settings
        return check_age(posting, settings)

    def _dispatch(self, token: ClaimToken, dispatch: Dispatch) -> DispatchOutcome:
        try:
            return dispatch(token)
        except Exception as error:
            return IndeterminateOutcome(f"sending it failed: {error!r}")

    def _record(self, at: KeyLocation, record: ClaimRecord) -> None:
        """Record how a run ended, later where the platform does not take it in time."""
        deadline_at_s = time.monotonic() + self._settings.record_timeout_s
        if self._claims.append(at, record, deadline_at_s).is_err():
            self._backlog.add(at, record)

    def _bounded(self, answered: Answered) -> Answered:
        if len(answered.body) <= self._settings.answer_bytes_max:
            return answered
        return answered.model_copy(update={"body": b"", "is_kept": False})


def _answered(at: KeyLocation, token: ClaimToken, answer: UpstreamResponse) -> Answered:
    return Answered(
        key=at.key,
        token=token,
        status=answer.status,
        content_type=answer.content_type[:CONTENT_TYPE_LENGTH_MAX],
        body=answer.body,
    )
