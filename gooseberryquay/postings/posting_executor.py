"""At-most-once execution of operations, across retries by callers and entries."""

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
from gooseberryquay.postings.duplicate_answer import answer_duplicate, check_age
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
    """Claim each key before its operation is sent, and record the response for duplicates."""

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
        self._recent_runs = RecentRuns(self._settings.witness_keys_max, self._settings.clock_skew_s)
        self._run_check = PeerRunCheck(
            peers, self._recent_runs, self._claims.known_state, self._settings
        )
        self._peers = peers
        self._lock = threading.Lock()
        self._active_count = 0

    def add_routes(self, router: Router) -> None:
        """Add the routes over which other entries append claims and ask about runs."""
        self._claims.add_routes(router)
        self._run_check.add_routes(router)

    def start(self) -> None:
        """Load the shared layout, poll the membership and sweep expired logs in the background."""
        self._layout.start()
        self._sweeper.start()
        self._run_check.start()

    def has_unfinished(self) -> bool:
        """Return whether any request, append or queued record is in progress."""
        with self._lock:
            is_running = self._active_count > 0
        return is_running or self._claims.has_unfinished() or len(self._backlog) > 0

    def close(self, timeout_s: float) -> bool:
        """Stop, and wait for queued records and appends; return False on timeout."""
        self._sweeper.stop()
        self._run_check.stop()
        deadline_at_s = time.monotonic() + timeout_s
        self._backlog.wait_until_empty(timeout_s)
        while self.has_unfinished() and time.monotonic() < deadline_at_s:
            time.sleep(0.01)
        return not self.has_unfinished()

    def run_once(self, posting: Posting, dispatch: Dispatch) -> Result[Answered, Failure]:
        """Return the recorded response of a key; run its operation first unless it may have run.

        `dispatch` is called at most once, and only by the holder of the key's valid claim.
        """
        with self._lock:
            self._active_count += 1
        try:
            return self._run_once(posting, dispatch)
        finally:
            with self._lock:
                self._active_count -= 1

    def _run_once(self, posting: Posting, dispatch: Dispatch) -> Result[Answered, Failure]:
        settings = self._layout.wait(self._claim_deadline_s(posting))
        if settings is None:
            at = locate(posting, self._settings)
            return Err(
                self._refuse_platform_unavailable(posting, at, "the claim layout is not loaded yet")
            )
        if failure := check_age(posting, settings):
            return Err(failure)
        at = locate(posting, settings)
        known = self._claims.known_state(at)
        if known.phase is KeyPhase.ANSWERED:
            return answer_duplicate(posting, known, settings.running_s)
        self._recent_runs.update_members(self._peers.live())
        self._recent_runs.begin_request(at.key)
        try:
            return self._claim_and_run(posting, at, dispatch)
        finally:
            self._recent_runs.end_request(at.key)

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
                return Err(self._refuse_platform_unavailable(posting, at, "the claim was revoked"))
            case Ok(state):
                self._revoke_lost_claim(at, token, state)
                return answer_duplicate(posting, state, self._settings.running_s)

    def _revoke_lost_claim(self, at: KeyLocation, token: ClaimToken, state: KeyState) -> None:
        """Revoke a claim that lost, so that a delayed append of it cannot claim the key later.

        A slow owner may still append the claim after the holder has released the key, and then no
        request would run or release it.
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
        """Refuse a request that was not sent, and revoke its claim if it may still be appended."""
        match failure:
            case KeysFull():
                message = "too many keys without a creation time are stored; send UUIDv7 keys"
                # The log was read, does not contain the key and accepts no new keys.
                return UntimedKeysFull(message, Ran.NO, RETRY_AFTER_S)
            case AppendUncertain():
                released = Released(key=at.key, token=token)
                self._run_after_response(posting, lambda: self._backlog.add(at, released))
        return self._refuse_platform_unavailable(posting, at, failure.message)

    def _refuse_platform_unavailable(
        self, posting: Posting, at: KeyLocation, reason: str
    ) -> Failure:
        message = f"the claim cannot be recorded now: {reason}"
        return PlatformUnavailable(message, self._ran_before(posting, at), RETRY_AFTER_S)

    def _ran_before(self, posting: Posting, at: KeyLocation) -> Ran:
        """Return whether an earlier request with the key may have run."""
        if posting.is_first_attempt:
            return Ran.NO
        return self._run_check.ran_before(at, posting.created_at_s())

    def _run_claimed(
        self, posting: Posting, at: KeyLocation, token: ClaimToken, dispatch: Dispatch
    ) -> Result[Answered, Failure]:
        if failure := self._begin_run(posting, at):
            return self._release(posting, at, token, failure)
        match self._call_dispatch(token, dispatch):
            case UpstreamResponse() as response:
                answered = _answered(at, token, response)
                self._append_or_queue(at, self._without_large_body(answered))
                return Ok(answered)
            case NotExecuted(failure):
                return self._release(posting, at, token, failure)
            case RefusedByUpstream(message, retry_after_s):
                refusal = Overloaded(message, Ran.NO, retry_after_s)
                return self._release(posting, at, token, refusal)
            case IndeterminateOutcome(message):
                self._append_or_queue(at, OutcomeLost(key=at.key, token=token))
                return Err(UnknownOutcome(message, Ran.MAYBE))

    def _release(
        self, posting: Posting, at: KeyLocation, token: ClaimToken, failure: Failure
    ) -> Err[Failure]:
        """Refuse the request, and release its claim once the refusal has been written.

        If it were released earlier, the key could run elsewhere before the caller reads that it did
        not run. The refusal carries a retry delay, which leaves time to append the release.
        """
        released = Released(key=at.key, token=token)
        self._run_after_response(posting, lambda: self._append_or_queue(at, released))
        return Err(replace(failure, retry_after_s=failure.retry_after_s or RETRY_AFTER_S))

    def _run_after_response(self, posting: Posting, action: Callable[[], None]) -> None:
        """Run an action after the response is written; until it ends, it counts as in progress."""
        with self._lock:
            self._active_count += 1

        def finish() -> None:
            try:
                action()
            finally:
                with self._lock:
                    self._active_count -= 1

        posting.after_response(finish)

    def _begin_run(self, posting: Posting, at: KeyLocation) -> Failure | None:
        if not self._recent_runs.start_run(at.key, posting.deadline_at_s):
            return DeadlineUnreachable("the deadline passed before it could be sent", Ran.NO)
        return self._check_after_claim(posting)

    def _check_after_claim(self, posting: Posting) -> Failure | None:
        """Check the deadline and the key's age again, as this thread may have been paused."""
        if time.monotonic() >= posting.deadline_at_s:
            return DeadlineUnreachable("the deadline passed before it could be sent", Ran.NO)
        settings = self._layout.wait(time.monotonic()) or self._settings
        return check_age(posting, settings)

    def _call_dispatch(self, token: ClaimToken, dispatch: Dispatch) -> DispatchOutcome:
        try:
            return dispatch(token)
        except Exception as error:
            return IndeterminateOutcome(f"sending the request failed: {error!r}")

    def _append_or_queue(self, at: KeyLocation, record: ClaimRecord) -> None:
        """Append the outcome of a run; queue the record if the append fails or times out."""
        deadline_at_s = time.monotonic() + self._settings.record_timeout_s
        if self._claims.append(at, record, deadline_at_s).is_err():
            self._backlog.add(at, record)

    def _without_large_body(self, answered: Answered) -> Answered:
        if len(answered.body) <= self._settings.answer_bytes_max:
            return answered
        return answered.model_copy(update={"body": b"", "is_kept": False})


def _answered(at: KeyLocation, token: ClaimToken, response: UpstreamResponse) -> Answered:
    return Answered(
        key=at.key,
        token=token,
        status=response.status,
        content_type=response.content_type[:CONTENT_TYPE_LENGTH_MAX],
        body=response.body,
    )
