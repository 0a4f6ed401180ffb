"""Requests suspected of crashing upstreams, shared among all entries."""

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
from gooseberryquay.machines.suspect_gossip import UPDATE_PATH, SuspectGossip, shard_owners
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
DEATH_WINDOW_S = 15.0
RETENTION_S = 6 * 3600.0
WRITE_PERIOD_S = 1.0
RELOAD_PERIOD_S = 600.0
# Deaths come in bursts; one read of all records serves the whole burst.
RELOAD_INTERVAL_MIN_S = 1.0
# Failed reads and writes of the platform are retried after this time.
RETRY_PERIOD_S = 3.0
# Refused requests are resent for a while, so that entries that were paused or partitioned
# receive them on return.
RESEND_PERIOD_S = 2.0
RESEND_SPAN_S = 60.0
PULL_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class SuspectList:
    """Count the upstreams that died while running each request, over all entries.

    Reports of one upstream's death within `death_window_s` count once; the wall clocks of entries
    must agree to well within that. Records with fewer deaths than `share_min_deaths` are known to
    this entry and to the entries that write them to the platform. Deaths do not count against the
    `finished_max` requests that finished most recently.
    """

    def __init__(
        self,
        peers: Peers,
        platform: SuspectObjects,
        *,
        crash_count_max: int,
        share_min_deaths: int = 1,
        finished_max: int = 0,
        death_window_s: float = DEATH_WINDOW_S,
        retention_s: float = RETENTION_S,
        clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._peers = peers
        self._crash_count_max = crash_count_max
        self._clock = clock
        self._rng = rng or random.Random()
        self._table = SuspectTable(death_window_s, retention_s, clock, finished_max)
        self._store = SuspectStore(platform, self._table)
        self._gossip = SuspectGossip(peers, self._rng, share_min_deaths, self._merge_records)
        self._has_pulled = False
        self._load_at_s = float("-inf")
        self._loaded_at_s = float("-inf")
        self._write_at_s = float("-inf")
        self._resend_at_s = float("-inf")
        self._wake = threading.Event()
        self._slots = SuspectSlots(peers)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="suspects", daemon=True)

    def add_routes(self, router: Router) -> None:
        """Register the routes for updates, full lists and slots."""
        router.add("POST", UPDATE_PATH, self._handle_update)
        router.add("POST", ALL_RECORDS_PATH, self._handle_read_all)
        router.add("POST", SLOT_PATH, self._slots.handle_slot_request)

    def start(self) -> None:
        """Read the records of a peer, then synchronize with peers and the platform."""
        self._pull_from_peer()
        self._gossip.start()
        self._thread.start()

    def stop(self) -> None:
        """Send and write pending records a last time and stop the threads."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()
        self._gossip.stop()
        self._store.write_pending()

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may be run."""
        record = self._table.get(fingerprint)
        crashes = 0 if record is None else record.crash_count()
        if crashes == 0:
            return Verdict.NORMAL
        return Verdict.REFUSED if crashes >= self._crash_count_max else Verdict.ALONE

    def upstream_died(self, upstream: UpstreamId, fingerprints: Iterable[str]) -> None:
        """Count a death against every request that was in flight, and send it to other entries.

        Blocks until the first peers have received it, so that a caller that retries the failed
        request at one of them finds it suspected.
        """
        self.record_death(upstream, fingerprints)
        self.send_updates()

    def record_death(
        self, upstream: UpstreamId, fingerprints: Iterable[str], is_certain: bool = True
    ) -> None:
        """Count a death, and send it to other entries in the background."""
        death = Death(upstream=upstream, at_s=self._clock(), is_certain=is_certain)
        records = [SuspectRecord(fingerprint=each, deaths=(death,)) for each in fingerprints]
        self._merge_records(records)
        for record in records:
            self._slots.release(record.fingerprint)

    def send_updates(self) -> None:
        """Send pending records; block until the first peers have received them."""
        self._gossip.send_pending()

    def record(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request, or None if there is none."""
        return self._table.get(fingerprint)

    def claim_trial(self, fingerprint: str, name: UpstreamId) -> bool:
        """Record a trial run as a death in the platform before it starts.

        The record is cleared when the run finishes. Return False if another entry was first.
        """
        death = Death(upstream=name, at_s=self._clock())
        record = SuspectRecord(fingerprint=fingerprint, deaths=(death,))
        return self._store.write_if_unchanged(record)

    def request_reload(self) -> None:
        """Request a read of the platform's records, unless they were read just now."""
        if time.monotonic() - self._loaded_at_s > RELOAD_INTERVAL_MIN_S:
            self._load_at_s = float("-inf")
            self._wake.set()

    def has_at_most_one_death(self, fingerprint: str) -> bool:
        """Return whether at most one death counts against a request."""
        record = self._table.get(fingerprint)
        return record is None or record.crash_count() <= 1

    def death_ages_s(self) -> dict[UpstreamId, float]:
        """Return the time in seconds since the last reported death of each upstream."""
        return self._table.death_ages_s()

    def finished(self, fingerprint: str) -> None:
        """Clear a request that ran to completion."""
        self._table.record_finished(fingerprint)
        record = self._table.get(fingerprint)
        if record is None:
            return
        self._slots.release(fingerprint)
        if not record.is_cleared():
            self._merge_records([record.cleared()])

    def ran_well(self, fingerprints: Iterable[str], span_s: float) -> None:
        """Clear deaths up to `span_s` from now of what has just been part of a good run."""
        until_s = self._clock() + span_s
        for fingerprint in fingerprints:
            self._table.record_good_run(fingerprint, until_s)
            record = self._table.get(fingerprint)
            if record is not None and not record.is_cleared():
                self._merge_records([record.cleared_up_to(until_s)])

    def records(self) -> tuple[SuspectRecord, ...]:
        """Return all records."""
        return self._table.records()

    def take_slot(self, fingerprint: str, upstream: UpstreamId) -> bool:
        """Take the single slot for suspected requests at an upstream; return False if taken."""
        return self._slots.take(fingerprint, upstream)

    def release_slot(self, fingerprint: str) -> None:
        """Release the slot after a run that neither finished nor ended with a death."""
        self._slots.release(fingerprint)

    def store_lost_writes(self) -> None:
        """Let the records that the store may have lost be written again."""
        records = [each for each in self._table.records() if not each.is_cleared()]
        self._write_again(records)
        self._gossip.report_lost(records)

    def _write_again(self, records: Iterable[SuspectRecord]) -> None:
        self._store.add(self._owned(records))
        self._wake.set()

    def _owned(self, records: Iterable[SuspectRecord]) -> list[SuspectRecord]:
        own_id = self._peers.this_entry().id
        return [
            record
            for record in records
            if own_id in {owner.id for owner in shard_owners(record, self._peers)}
        ]

    def _merge_records(self, records: Iterable[SuspectRecord]) -> None:
        changed = self._table.merge(records)
        self._gossip.add(changed)
        self._store.add(self._owned(changed))

    def _handle_update(self, request: Request) -> Response:
        try:
            update = SuspectUpdate.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        self._merge_records(update.records)
        if update.is_lost_in_store:
            self._write_again(update.records)
        held = [self._table.get(each.fingerprint) for each in update.records]
        return Response.of(SuspectUpdate(records=tuple(each for each in held if each is not None)))

    def _handle_read_all(self, _request: Request) -> Response:
        return Response.of(SuspectUpdate(records=self._table.records()))

    def _pull_from_peer(self) -> None:
        own_id = self._peers.this_entry().id
        others = [peer for peer in self._peers.live() if peer.id != own_id]
        if not others:
            return
        self._has_pulled = True
        chosen = self._rng.choice(others)
        match self._peers.send(chosen, ALL_RECORDS_PATH, SuspectUpdate(), PULL_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                with contextlib.suppress(ValidationError):
                    self._table.merge(SuspectUpdate.model_validate_json(body).records)
            case _:
                pass

    def _run(self) -> None:
        """Reload records from the platform, write pending ones and resend refused ones."""
        while not self._stopping.is_set():
            now_s = time.monotonic()
            if now_s >= self._load_at_s:
                self._load(now_s)
            if not self._has_pulled:
                self._pull_from_peer()
            if now_s >= self._write_at_s and not self._store.write_pending():
                self._write_at_s = now_s + RETRY_PERIOD_S
            if now_s >= self._resend_at_s:
                self._resend_at_s = now_s + RESEND_PERIOD_S
                self._gossip.add(self._recently_refused())
            self._wake.wait(WRITE_PERIOD_S)
            self._wake.clear()

    def _load(self, now_s: float) -> None:
        self._loaded_at_s = now_s
        pause_s = RELOAD_PERIOD_S if self._store.load() else RETRY_PERIOD_S
        self._load_at_s = now_s + pause_s * self._rng.uniform(0.5, 1.5)

    def _recently_refused(self) -> list[SuspectRecord]:
        since_s = self._clock() - RESEND_SPAN_S
        return [
            each
            for each in self._table.records()
            if each.crash_count() >= self._crash_count_max and each.last_death_s() >= since_s
        ]
