"""Gossip of suspected requests between entries."""

import contextlib
import random
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable

from pydantic import ValidationError
from result import Ok

from gooseberryquay.links.http_client import Reply
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.machines.rendezvous import first_owners
from gooseberryquay.machines.suspect_messages import SuspectRecord, SuspectUpdate
from gooseberryquay.machines.suspect_store import shard_of

__all__ = ["UPDATE_PATH", "SuspectGossip", "shard_owners"]

UPDATE_PATH = "/suspects"
FANOUT = 5
OWNERS = 2
MAX_RECORDS_PER_MESSAGE = 64
MAX_PENDING = 1024
SEND_TIMEOUT_S = 0.5
SEND_INTERVAL_S = 1.0
HTTP_OK = 200


def shard_owners(record: SuspectRecord, peers: Peers) -> tuple[Peer, ...]:
    """Return the entries that write a record to the platform."""
    return first_owners(f"suspects/{shard_of(record.fingerprint)}", peers.live(), OWNERS)


class SuspectGossip:
    """Send changed records to a few peers and to the entries that write them.

    In the background, records are sent at most once per `SEND_INTERVAL_S`. Records with fewer
    deaths than `share_min_deaths` go only to the entries that write them, which respond with what
    they know.
    """

    def __init__(
        self,
        peers: Peers,
        rng: random.Random,
        share_min_deaths: int,
        on_reply: Callable[[Iterable[SuspectRecord]], None],
    ) -> None:
        self._peers = peers
        self._rng = rng
        self._share_min_deaths = share_min_deaths
        self._on_reply = on_reply
        self._pending: dict[str, SuspectRecord] = {}
        self._changed = threading.Condition()
        self._sending = threading.Lock()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="suspect spread", daemon=True)

    def start(self) -> None:
        """Start sending in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread after pending records were sent."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()
        self._thread.join()

    def add(self, records: Iterable[SuspectRecord]) -> None:
        """Queue records for sending; drop new ones while `MAX_PENDING` are queued."""
        with self._changed:
            for record in records:
                if len(self._pending) < MAX_PENDING:
                    self._pending[record.fingerprint] = record
            self._changed.notify_all()

    def report_lost(self, records: Iterable[SuspectRecord]) -> None:
        """Ask the entries that write records to write them again, in the background."""
        by_owner: dict[Peer, list[SuspectRecord]] = defaultdict(list)
        own_id = self._peers.this_entry().id
        for record in records:
            for owner in shard_owners(record, self._peers):
                if owner.id != own_id:
                    by_owner[owner].append(record)
        for owner, lost in by_owner.items():
            update = SuspectUpdate(
                records=tuple(lost[:MAX_RECORDS_PER_MESSAGE]), is_lost_in_store=True
            )
            threading.Thread(target=self._send_to, args=(owner, update), daemon=True).start()

    def send_pending(self) -> None:
        """Send pending records in this thread; concurrent callers share one message."""
        with self._sending:
            batch = self._take_batch()
            if batch:
                self._send(batch)

    def _take_batch(self) -> list[SuspectRecord]:
        with self._changed:
            chosen = list(self._pending)[:MAX_RECORDS_PER_MESSAGE]
            return [self._pending.pop(each) for each in chosen]

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._pending or self._is_stopping)
                if not self._pending:
                    return
            self.send_pending()
            with self._changed:
                self._changed.wait_for(lambda: self._is_stopping, SEND_INTERVAL_S)

    def _send(self, batch: list[SuspectRecord]) -> None:
        update = SuspectUpdate(records=tuple(batch))
        senders = [
            threading.Thread(target=self._send_to, args=(peer, update))
            for peer in self._recipients(batch)
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def _send_to(self, peer: Peer, update: SuspectUpdate) -> None:
        match self._peers.send(peer, UPDATE_PATH, update, SEND_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                with contextlib.suppress(ValidationError):
                    self._on_reply(SuspectUpdate.model_validate_json(body).records)
            case _:
                pass

    def _recipients(self, batch: list[SuspectRecord]) -> tuple[Peer, ...]:
        this_entry = self._peers.this_entry()
        others = [peer for peer in self._peers.live() if peer.id != this_entry.id]
        is_shared = any(
            len(each.deaths) >= self._share_min_deaths or each.cleared_until_s > 0.0
            for each in batch
        )
        fanout = min(FANOUT, len(others)) if is_shared else 0
        chosen = {peer.id: peer for peer in self._rng.sample(others, fanout)}
        for record in batch:
            owners = shard_owners(record, self._peers)
            chosen.update({owner.id: owner for owner in owners if owner.id != this_entry.id})
        return tuple(chosen.values())
