"""Requests that were in flight at upstreams that died, known to all entries."""

import random
import threading
import time
from collections.abc import Callable, Iterable

from pydantic import ValidationError
from result import Ok

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.links.platform_link import PlatformLink
from gooseberryquay.machines.peer import Peers
from gooseberryquay.machines.suspect_messages import (
    Death,
    SuspectRecord,
    SuspectUpdate,
    Verdict,
)
from gooseberryquay.machines.suspect_slots import SLOT_PATH, SuspectSlots
from gooseberryquay.machines.suspect_spread import UPDATE_PATH, SuspectSpread, shard_owners
from gooseberryquay.machines.suspect_store import SuspectStore
from gooseberryquay.machines.suspect_table import SuspectTable

__all__ = ["SuspectList"]

ALL_RECORDS_PATH = "/suspects/all"
SAME_DEATH_S = 15.0
KEPT_S = 6 * 3600.0
WRITE_PERIOD_S = 1.0
RELOAD_PERIOD_S = 600.0
PULL_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class SuspectList:
    """Count the upstreams that died under each request, whichever entry it ran through.

    Reports of one upstream's death within `same_death_s` count once; wall clocks of entries must
    agree to well within that.
    """

    def __init__(
        self,
        peers: Peers,
        platform: PlatformLink,
        *,
        crash_count_max: int,
        same_death_s: float = SAME_DEATH_S,
        kept_s: float = KEPT_S,
        clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._peers = peers
        self._crash_count_max = crash_count_max
        self._clock = clock
        self._rng = rng or random.Random()
        self._table = SuspectTable(same_death_s, kept_s, clock)
        self._store = SuspectStore(platform, self._table)
        self._spread = SuspectSpread(peers, self._rng)
        self._slots = SuspectSlots(peers)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="suspects", daemon=True)

    def add_routes(self, router: Router) -> None:
        """Serve updates, whole lists and places to other entries."""
        router.add("POST", UPDATE_PATH, self._answer_update)
        router.add("POST", ALL_RECORDS_PATH, self._answer_all)
        router.add("POST", SLOT_PATH, self._slots.answer)

    def start(self) -> None:
        """Learn what is known, then keep up with peers and the platform."""
        self._pull_from_peer()
        self._spread.start()
        self._thread.start()

    def stop(self) -> None:
        """Send and write what is pending once more, and end the threads."""
        self._stopping.set()
        self._thread.join()
        self._spread.stop()
        self._store.write_pending()

    def verdict(self, fingerprint: str) -> Verdict:
        """Say how a request may be run."""
        record = self._table.get(fingerprint)
        crashes = 0 if record is None else record.crash_count()
        if crashes == 0:
            return Verdict.NORMAL
        return Verdict.REFUSED if crashes >= self._crash_count_max else Verdict.ALONE

    def upstream_died(self, upstream: UpstreamId, fingerprints: Iterable[str]) -> None:
        """Count a death against every request that was in flight there, and tell other entries.

        Returns after the first peers were told, so that a caller who gets the failure and sends
        its request to one of them again is met by the suspicion.
        """
        death = Death(upstream=upstream, at_s=self._clock())
        records = [SuspectRecord(fingerprint=each, deaths=(death,)) for each in fingerprints]
        self._take_in(records)
        for record in records:
            self._slots.release(record.fingerprint)
        self._spread.send_pending()

    def is_hit_once(self, fingerprint: str) -> bool:
        """Tell whether a request was in flight at no more than one death that counts."""
        record = self._table.get(fingerprint)
        return record is None or record.crash_count() <= 1

    def death_ages_s(self) -> dict[UpstreamId, float]:
        """Give how long ago each upstream died last, as any entry reported it."""
        return self._table.death_ages_s()

    def finished(self, fingerprint: str) -> None:
        """Clear a request that ran to its end."""
        record = self._table.get(fingerprint)
        if record is None:
            return
        self._slots.release(fingerprint)
        if record.crash_count():
            self._take_in([record.cleared()])

    def take_slot(self, fingerprint: str, upstream: UpstreamId) -> bool:
        """Take the one place for a suspected request at an upstream; False while it is taken."""
        return self._slots.take(fingerprint, upstream)

    def release_slot(self, fingerprint: str) -> None:
        """Give the place back after a run that neither finished nor ended with a death."""
        self._slots.release(fingerprint)

    def _take_in(self, records: Iterable[SuspectRecord]) -> None:
        news = self._table.merge(records)
        self._spread.add(news)
        mine = self._peers.myself().id
        self._store.add(
            record
            for record in news
            if mine in {owner.id for owner in shard_owners(record, self._peers)}
        )

    def _answer_update(self, request: Request) -> Response:
        try:
            update = SuspectUpdate.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        self._take_in(update.records)
        return Response(body=b"{}")

    def _answer_all(self, _request: Request) -> Response:
        return Response.of(SuspectUpdate(records=self._table.records()))

    def _pull_from_peer(self) -> None:
        mine = self._peers.myself().id
        others = [peer for peer in self._peers.live() if peer.id != mine]
        if not others:
            return
        asked = self._rng.choice(others)
        match self._peers.send(asked, ALL_RECORDS_PATH, SuspectUpdate(), PULL_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                self._table.merge(SuspectUpdate.model_validate_json(body).records)
            case _:
                pass

    def _run(self) -> None:
        """Read the platform's records now and then, and write pending ones."""
        next_load_s = 0.0
        while True:
            if time.monotonic() >= next_load_s and self._store.load():
                next_load_s = time.monotonic() + RELOAD_PERIOD_S * self._rng.uniform(0.5, 1.5)
            self._store.write_pending()
            if self._stopping.wait(WRITE_PERIOD_S):
                return
