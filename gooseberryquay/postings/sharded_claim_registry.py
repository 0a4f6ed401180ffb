"""Claims in sharded logs, written by each shard's owner while it can be reached."""

import threading
import time

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.machines.rendezvous import owner_of
from gooseberryquay.postings.claim_index import FREE, KeyState
from gooseberryquay.postings.claim_logs import ClaimLogs
from gooseberryquay.postings.claim_registry import (
    AppendFailure,
    AppendUncertain,
    KeysFull,
    NotAppended,
)
from gooseberryquay.postings.peer_messages import AppendAnswer, AppendOutcome, AppendQuestion
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["ShardedClaimRegistry", "choose_owner"]

CLAIMS_PATH = "/peer/claims"
AVOID_S = 1.0


def choose_owner(shard: int, live: tuple[Peer, ...]) -> Peer | None:
    """Choose a shard's owner, or None while no entry is known to live."""
    return owner_of(str(shard), live) if live else None


class ShardedClaimRegistry:
    """Append through the shard's owner, or directly where the owner does not answer.

    The conditional write decides, so two entries that both think they own a shard are safe.
    """

    def __init__(self, platform: PlatformClient, peers: Peers, settings: PostingSettings) -> None:
        self._peers = peers
        self._settings = settings
        self._logs = ClaimLogs(platform, settings)
        self._lock = threading.Lock()
        self._avoid_until_s: dict[EntryId, float] = {}

    def add_routes(self, router: Router) -> None:
        """Serve other entries' appends."""
        router.add("POST", CLAIMS_PATH, self._serve_append)

    def has_unfinished(self) -> bool:
        """Tell whether any append is under way here."""
        return self._logs.has_unfinished()

    def known_state(self, at: KeyLocation) -> KeyState:
        """Give the last state seen of a key, without asking anyone; it may be old."""
        log = self._logs.find(at.log)
        return FREE if log is None else log.known_state(at.key)

    def append(
        self, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Append a record and give the state of its key once that is certain."""
        owner = choose_owner(at.shard, self._peers.live())
        if owner is None or owner.id == self._peers.this_entry().id or self._is_avoided(owner):
            return self._logs.open(at).append(record, deadline_at_s)
        asked = self._ask_owner(owner, at, record, deadline_at_s)
        match asked:
            case Err(NotAppended()):
                return self._logs.open(at).append(record, deadline_at_s)
            case Err(AppendUncertain()):
                appended = self._logs.open(at).append(record, deadline_at_s)
                return appended.map_err(_as_uncertain)
            case _:
                return asked

    def _ask_owner(
        self, owner: Peer, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        within_s = min(self._settings.owner_timeout_s, deadline_at_s - time.monotonic())
        if within_s <= 0:
            return Err(NotAppended("no time was left to ask the owner"))
        question = AppendQuestion(at=at, record=record, within_s=within_s)
        match self._peers.send(owner, CLAIMS_PATH, question, within_s):
            case Err(failure):
                message = f"the owner did not answer: {failure.message}"
                if failure.was_sent:
                    return Err(AppendUncertain(message))
                self._avoid(owner)
                return Err(NotAppended(message))
            case Ok(reply):
                return _read_answer(reply)

    def _avoid(self, owner: Peer) -> None:
        with self._lock:
            self._avoid_until_s[owner.id] = time.monotonic() + AVOID_S

    def _is_avoided(self, owner: Peer) -> bool:
        with self._lock:
            return time.monotonic() < self._avoid_until_s.get(owner.id, 0.0)

    def _serve_append(self, request: Request) -> Response:
        try:
            question = AppendQuestion.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400)
        log = self._logs.open(question.at)
        match log.append(question.record, time.monotonic() + question.within_s):
            case Ok(state):
                return Response.of(AppendAnswer(state=state, outcome=AppendOutcome.CERTAIN))
            case Err(failure):
                state = log.known_state(question.at.key)
                return Response.of(AppendAnswer(state=state, outcome=_outcome_of(failure)))


def _outcome_of(failure: AppendFailure) -> AppendOutcome:
    match failure:
        case AppendUncertain():
            return AppendOutcome.UNCERTAIN
        case NotAppended():
            return AppendOutcome.NOT_APPENDED
        case KeysFull():
            return AppendOutcome.FULL


def _as_uncertain(failure: AppendFailure) -> AppendFailure:
    match failure:
        case NotAppended(message):
            return AppendUncertain(message)
        case _:
            return failure


def _read_answer(reply: Reply) -> Result[KeyState, AppendFailure]:
    try:
        answer = AppendAnswer.model_validate_json(reply.body)
    except ValidationError:
        return Err(AppendUncertain(f"the owner answered with status {reply.status}"))
    match answer.outcome:
        case AppendOutcome.CERTAIN:
            return Ok(answer.state)
        case AppendOutcome.UNCERTAIN:
            return Err(AppendUncertain("the owner could not confirm the record"))
        case AppendOutcome.NOT_APPENDED:
            return Err(NotAppended("the owner could not append the record"))
        case AppendOutcome.FULL:
            return Err(KeysFull("no more untimed keys can be kept"))
