"""Query the live entries whether a key may have run, while the platform is unavailable."""

import threading
import time
from collections.abc import Callable

from pydantic import BaseModel, ValidationError
from result import Ok

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.errors import Ran
from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.postings.claim_index import KeyPhase, KeyState
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.recent_runs import RecentRuns

__all__ = ["PeerRunCheck"]

WITNESS_PATH = "/peer/claims/witness"
OWN_REQUEST = 1
# A refusal is sent at most BLOCK_S - REFUSAL_DELIVERY_S after the confirmations that it relies on.
# This leaves REFUSAL_DELIVERY_S to deliver it before runs of the key are unblocked.
BLOCK_S = 2.0
REFUSAL_DELIVERY_S = 1.0
MEMBER_POLL_INTERVAL_S = 0.5


class RunCheckRequest(BaseModel):
    """Ask an entry whether a key was certainly not run; `asked` lists all queried entries."""

    at: KeyLocation
    created_at_s: float | None
    asked: frozenset[EntryId]


class RunCheckReply(BaseModel):
    """Report whether the queried entry confirms that the key was not run."""

    can_exclude: bool


class PeerRunCheck:
    """Query all live entries about a key, unless there are more than `witness_peers_max`."""

    def __init__(
        self,
        peers: Peers,
        recent_runs: RecentRuns,
        known_state: Callable[[KeyLocation], KeyState],
        settings: PostingSettings,
    ) -> None:
        self._peers = peers
        self._recent_runs = recent_runs
        self._known_state = known_state
        self._settings = settings
        self._stopped = threading.Event()

    def start(self) -> None:
        """Poll the membership in the background, so that no absence of a member is missed."""
        self._recent_runs.update_members(self._peers.live())
        threading.Thread(target=self._poll_members, daemon=True).start()

    def stop(self) -> None:
        """Stop polling the membership."""
        self._stopped.set()

    def _poll_members(self) -> None:
        while not self._stopped.wait(MEMBER_POLL_INTERVAL_S):
            self._recent_runs.update_members(self._peers.live())

    def add_routes(self, router: Router) -> None:
        """Add the route over which other entries query this one."""
        router.add("POST", WITNESS_PATH, self._serve_check)

    def ran_before(self, at: KeyLocation, created_at_s: float | None) -> Ran:
        """Return NO only if every entry that may have sent the key confirms that it did not."""
        live = self._peers.live()
        others = [peer for peer in live if peer.id != self._peers.this_entry().id]
        if len(live) > self._settings.witness_peers_max:
            return Ran.MAYBE
        started_at_s = time.monotonic()
        if not self._is_certainly_not_run(at, created_at_s, OWN_REQUEST):
            return Ran.MAYBE
        asked = frozenset(peer.id for peer in live)
        message = RunCheckRequest(at=at, created_at_s=created_at_s, asked=asked)
        is_not_run_anywhere = all(self._query_peer(peer, message) for peer in others)
        is_in_time = time.monotonic() - started_at_s <= BLOCK_S - REFUSAL_DELIVERY_S
        return Ran.NO if is_not_run_anywhere and is_in_time else Ran.MAYBE

    def _is_certainly_not_run(
        self, at: KeyLocation, created_at_s: float | None, own_requests: int
    ) -> bool:
        self._recent_runs.update_members(self._peers.live())
        if self._known_state(at).phase is not KeyPhase.FREE:
            return False
        return self._recent_runs.confirm_not_run(at.key, created_at_s, own_requests, BLOCK_S)

    def _query_peer(self, peer: Peer, message: RunCheckRequest) -> bool:
        match self._peers.send(peer, WITNESS_PATH, message, self._settings.witness_timeout_s):
            case Ok(Reply(status=200, body=body)):
                return _parse_reply(body)
            case _:
                return False

    def _serve_check(self, request: Request) -> Response:
        try:
            message = RunCheckRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400)
        is_view_covered = all(peer.id in message.asked for peer in self._peers.live())
        can_exclude = is_view_covered and self._is_certainly_not_run(
            message.at, message.created_at_s, 0
        )
        return Response.of(RunCheckReply(can_exclude=can_exclude))


def _parse_reply(body: bytes) -> bool:
    try:
        return RunCheckReply.model_validate_json(body).can_exclude
    except ValidationError:
        return False
