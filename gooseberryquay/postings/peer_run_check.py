"""Find out from the live entries whether a key may have run, without the platform."""

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
# Every testimony is at most HOLD_S - DELIVERY_S old when the refusal starts on its way.
HOLD_S = 2.0
DELIVERY_S = 1.0
OBSERVE_INTERVAL_S = 0.5


class WitnessQuestion(BaseModel):
    """Ask whether an entry can exclude that a key has run; `asked` are all that are asked."""

    at: KeyLocation
    created_at_s: float | None
    asked: frozenset[EntryId]


class WitnessAnswer(BaseModel):
    """Tell whether the asked entry can exclude that the key has run."""

    can_exclude: bool


class PeerRunCheck:
    """Ask every live entry about a key; a fleet over the bound is not asked."""

    def __init__(
        self,
        peers: Peers,
        memory: RecentRuns,
        known_state: Callable[[KeyLocation], KeyState],
        settings: PostingSettings,
    ) -> None:
        self._peers = peers
        self._memory = memory
        self._known_state = known_state
        self._settings = settings
        self._stopped = threading.Event()

    def start(self) -> None:
        """Follow the membership in the background, so that no absence is missed."""
        self._memory.observe(self._peers.live())
        threading.Thread(target=self._follow_members, daemon=True).start()

    def stop(self) -> None:
        """End the following."""
        self._stopped.set()

    def _follow_members(self) -> None:
        while not self._stopped.wait(OBSERVE_INTERVAL_S):
            self._memory.observe(self._peers.live())

    def add_routes(self, router: Router) -> None:
        """Serve other entries' questions."""
        router.add("POST", WITNESS_PATH, self._serve)

    def ran_before(self, at: KeyLocation, created_at_s: float | None) -> Ran:
        """Give NO only where every entry that may have sent the key says that it did not."""
        live = self._peers.live()
        others = [peer for peer in live if peer.id != self._peers.this_entry().id]
        if len(live) > self._settings.witness_peers_max:
            return Ran.MAYBE
        started_at_s = time.monotonic()
        if not self._can_exclude(at, created_at_s, OWN_REQUEST):
            return Ran.MAYBE
        asked = frozenset(peer.id for peer in live)
        question = WitnessQuestion(at=at, created_at_s=created_at_s, asked=asked)
        is_excluded = all(self._ask(peer, question) for peer in others)
        is_in_time = time.monotonic() - started_at_s <= HOLD_S - DELIVERY_S
        return Ran.NO if is_excluded and is_in_time else Ran.MAYBE

    def _can_exclude(self, at: KeyLocation, created_at_s: float | None, own_open: int) -> bool:
        self._memory.observe(self._peers.live())
        if self._known_state(at).phase is not KeyPhase.FREE:
            return False
        return self._memory.exclude_run(at.key, created_at_s, own_open, HOLD_S)

    def _ask(self, peer: Peer, question: WitnessQuestion) -> bool:
        match self._peers.send(peer, WITNESS_PATH, question, self._settings.witness_timeout_s):
            case Ok(Reply(status=200, body=body)):
                return _read_answer(body)
            case _:
                return False

    def _serve(self, request: Request) -> Response:
        try:
            question = WitnessQuestion.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400)
        is_everybody_asked = all(peer.id in question.asked for peer in self._peers.live())
        can_exclude = is_everybody_asked and self._can_exclude(
            question.at, question.created_at_s, 0
        )
        return Response.of(WitnessAnswer(can_exclude=can_exclude))


def _read_answer(body: bytes) -> bool:
    try:
        return WitnessAnswer.model_validate_json(body).can_exclude
    except ValidationError:
        return False
