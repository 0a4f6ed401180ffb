"""Requests that were in flight at upstreams that died, known to all entries."""

import contextlib
import random
import threading
import time
from collections.abc import Callable, Iterable

from pydantic import ValidationError
from result import Ok

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.peer import Peers
from gooseberryquay.machines.suspect_gossip import UPDATE_PATH, SuspectSpread, shard_owners
from gooseberryquay.machines.suspect_messages import (
    Death,
    SuspectRecord,
    SuspectUpdate,
    Verdict,
)
from gooseberryquay.machines.suspect_slots import SLOT_PATH, SuspectSlots
from gooseberryquay.machines.suspect_store import SuspectObjects, SuspectStore
from gooseberryquay.machines.suspect_table import SuspectTable

__all__ = ["SuspectList"]

ALL_RECORDS_PATH = "/suspects/all"
SAME_DEATH_S = 15.0
KEPT_S = 6 * 3600.0
WRITE_PERIOD_S = 1.0
RELOAD_PERIOD_S = 600.0
# Deaths come in numbers; one list answers for all of them.
RELOAD_GAP_S = 1.0
# What the platform refuses is asked for again after a while.
RETRY_PERIOD_S = 3.0
# Entries that were frozen or cut off learn of refused requests when they are back.
RETELL_PERIOD_S = 2.0
RETELL_SPAN_S = 60.0
PULL_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class SuspectList:
    """Count the upstreams that died under each request, whichever entry it ran through.

    Reports of one upstream's death within `same_death_s` count once; wall clocks of entries must
    agree to well within that. Records with fewer deaths than `shared_from` are known to this entry
    and to those that write them. Deaths are not counted against the `finished_max` requests
    that finished last.
    """

    def __init__(
        self,
        peers: Peers,
        platform: SuspectObjects,
        *,
        crash_count_max: int,
        share_min_deaths: int = 1,
        finished_max: int = 0,
        same_death_s: float = SAME_DEATH_S,
        kept_s: float = KEPT_S,
        clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._peers = peers
        self._crash_count_max = crash_count_max
        self._clock = clock
        self._rng = rng or random.Random()
        self._table = SuspectTable(same_death_s, kept_s, clock, finished_max)
        self._store = SuspectStore(platform, self._table)
        self._spread = SuspectSpread(peers, self._rng, share_min_deaths, self._take_in)
        self._has_pulled = False
        self._load_at_s = float("-inf")
        self._loaded_at_s = float("-inf")
        self._write_at_s = float("-inf")
        self._retell_at_s = float("-inf")
        self._woken = threading.Event()
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
        self._woken.set()
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
        self.record_death(upstream, fingerprints)
        self.send_updates()

    def record_death(
        self, upstream: UpstreamId, fingerprints: Iterable[str], is_certain: bool = True
    ) -> None:
        """Count a death, and tell other entries in the background."""
        death = Death(upstream=upstream, at_s=self._clock(), is_certain=is_certain)
        records = [SuspectRecord(fingerprint=each, deaths=(death,)) for each in fingerprints]
        self._take_in(records)
        for record in records:
            self._slots.release(record.fingerprint)

    def send_updates(self) -> None:
        """Return after the first peers were told what they are to be told."""
        self._spread.send_pending()

    def record(self, fingerprint: str) -> SuspectRecord | None:
        """Give what is known of a request."""
        return self._table.get(fingerprint)

    def claim_trial(self, fingerprint: str, name: UpstreamId) -> bool:
        """Count a run as a death beforehand, in the platform; False where another entry was first.

        The run clears it when it finishes.
        """
        death = Death(upstream=name, at_s=self._clock())
        record = SuspectRecord(fingerprint=fingerprint, deaths=(death,))
        return self._store.write_if_unchanged(record)

    def request_reload(self) -> None:
        """Read the platform's records, unless that was done just now."""
        if time.monotonic() - self._loaded_at_s > RELOAD_GAP_S:
            self._load_at_s = float("-inf")
            self._woken.set()

    def is_hit_once(self, fingerprint: str) -> bool:
        """Tell whether a request was in flight at no more than one death that counts."""
        record = self._table.get(fingerprint)
        return record is None or record.crash_count() <= 1

    def death_ages_s(self) -> dict[UpstreamId, float]:
        """Give how long ago each upstream died last, as any entry reported it."""
        return self._table.death_ages_s()

    def finished(self, fingerprint: str) -> None:
        """Clear a request that ran to its end."""
        self._table.record_finished(fingerprint)
        record = self._table.get(fingerprint)
        if record is None:
            return
        self._slots.release(fingerprint)
        if not record.is_cleared():
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
        mine = self._peers.this_entry().id
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
        held = [self._table.get(each.fingerprint) for each in update.records]
        return Response.of(SuspectUpdate(records=tuple(each for each in held if each is not None)))

    def _answer_all(self, _request: Request) -> Response:
        return Response.of(SuspectUpdate(records=self._table.records()))

    def _pull_from_peer(self) -> None:
        mine = self._peers.this_entry().id
        others = [peer for peer in self._peers.live() if peer.id != mine]
        if not others:
            return
        self._has_pulled = True
        asked = self._rng.choice(others)
        match self._peers.send(asked, ALL_RECORDS_PATH, SuspectUpdate(), PULL_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                with contextlib.suppress(ValidationError):
                    self._table.merge(SuspectUpdate.model_validate_json(body).records)
            case _:
                pass

    def _run(self) -> None:
        """Read the platform's records now and then, write pending ones and tell peers again."""
        while not self._stopping.is_set():
            now_s = time.monotonic()
            if now_s >= self._load_at_s:
                self._load(now_s)
            if not self._has_pulled:
                self._pull_from_peer()
            if now_s >= self._write_at_s and not self._store.write_pending():
                self._write_at_s = now_s + RETRY_PERIOD_S
            if now_s >= self._retell_at_s:
                self._retell_at_s = now_s + RETELL_PERIOD_S
                self._spread.add(self._refused_lately())
            self._woken.wait(WRITE_PERIOD_S)
            self._woken.clear()

    def _load(self, now_s: float) -> None:
        self._loaded_at_s = now_s
        pause_s = RELOAD_PERIOD_S if self._store.load() else RETRY_PERIOD_S
        self._load_at_s = now_s + pause_s * self._rng.uniform(0.5, 1.5)

    def _refused_lately(self) -> list[SuspectRecord]:
        since_s = self._clock() - RETELL_SPAN_S
        return [
            each
            for each in self._table.records()
            if each.crash_count() >= self._crash_count_max and each.last_death_s() >= since_s
        ]
