"""Claims in sharded logs, each written by the shard's owner while it is reachable."""

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
from gooseberryquay.postings.peer_messages import AppendOutcome, AppendReply, AppendRequest
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["ShardedClaimRegistry", "choose_owner"]

CLAIMS_PATH = "/peer/claims"
OWNER_COOLDOWN_S = 1.0


def choose_owner(shard: int, live: tuple[Peer, ...]) -> Peer | None:
    """Return the owner of a shard by rendezvous hashing, or None if no entry is live."""
    return owner_of(str(shard), live) if live else None


class ShardedClaimRegistry:
    """Append through the shard's owner, or directly if the owner does not respond.

    Ownership only reduces write conflicts: if two entries consider themselves the owner, the
    conditional write still orders their records.
    """

    def __init__(self, platform: PlatformClient, peers: Peers, settings: PostingSettings) -> None:
        self._peers = peers
        self._settings = settings
        self._logs = ClaimLogs(platform, settings)
        self._lock = threading.Lock()
        self._cooldown_until_s: dict[EntryId, float] = {}

    def add_routes(self, router: Router) -> None:
        """Add the route over which other entries append."""
        router.add("POST", CLAIMS_PATH, self._serve_append)

    def has_unfinished(self) -> bool:
        """Return whether any append is in progress at this entry."""
        return self._logs.has_unfinished()

    def known_state(self, at: KeyLocation) -> KeyState:
        """Return the last locally known state of a key, which may be stale."""
        log = self._logs.find(at.log)
        return FREE if log is None else log.known_state(at.key)

    def append(
        self, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        """Append a record and return the state of its key once that state is certain.

        `deadline_at_s` is a time of the monotonic clock.
        """
        owner = choose_owner(at.shard, self._peers.live())
        if owner is None or owner.id == self._peers.this_entry().id or self._is_in_cooldown(owner):
            return self._logs.open(at).append(record, deadline_at_s)
        forwarded = self._append_at_owner(owner, at, record, deadline_at_s)
        match forwarded:
            case Err(NotAppended()):
                return self._logs.open(at).append(record, deadline_at_s)
            case Err(AppendUncertain()):
                appended = self._logs.open(at).append(record, deadline_at_s)
                return appended.map_err(_as_uncertain)
            case _:
                return forwarded

    def _append_at_owner(
        self, owner: Peer, at: KeyLocation, record: ClaimRecord, deadline_at_s: float
    ) -> Result[KeyState, AppendFailure]:
        within_s = min(self._settings.owner_timeout_s, deadline_at_s - time.monotonic())
        if within_s <= 0:
            return Err(NotAppended("the deadline passed before the owner could be queried"))
        request = AppendRequest(at=at, record=record, within_s=within_s)
        match self._peers.send(owner, CLAIMS_PATH, request, within_s):
            case Err(failure):
                message = f"the owner did not respond: {failure.message}"
                if failure.was_sent:
                    return Err(AppendUncertain(message))
                self._start_cooldown(owner)
                return Err(NotAppended(message))
            case Ok(reply):
                return _parse_reply(reply)

    def _start_cooldown(self, owner: Peer) -> None:
        with self._lock:
            self._cooldown_until_s[owner.id] = time.monotonic() + OWNER_COOLDOWN_S

    def _is_in_cooldown(self, owner: Peer) -> bool:
        with self._lock:
            return time.monotonic() < self._cooldown_until_s.get(owner.id, 0.0)

    def _serve_append(self, request: Request) -> Response:
        try:
            message = AppendRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400)
        log = self._logs.open(message.at)
        match log.append(message.record, time.monotonic() + message.within_s):
            case Ok(state):
                return Response.of(AppendReply(state=state, outcome=AppendOutcome.CERTAIN))
            case Err(failure):
                state = log.known_state(message.at.key)
                return Response.of(AppendReply(state=state, outcome=_outcome_of(failure)))


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


def _parse_reply(reply: Reply) -> Result[KeyState, AppendFailure]:
    try:
        parsed = AppendReply.model_validate_json(reply.body)
    except ValidationError:
        return Err(AppendUncertain(f"malformed reply of the owner, status {reply.status}"))
    match parsed.outcome:
        case AppendOutcome.CERTAIN:
            return Ok(parsed.state)
        case AppendOutcome.UNCERTAIN:
            return Err(AppendUncertain("the owner could not confirm the record"))
        case AppendOutcome.NOT_APPENDED:
            return Err(NotAppended("the owner could not append the record"))
        case AppendOutcome.FULL:
            return Err(KeysFull("the limit of untimed keys is reached"))
