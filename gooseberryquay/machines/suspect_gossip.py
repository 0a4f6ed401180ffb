"""Spreading of suspected requests from entry to entry."""

import contextlib
import random
import threading
from collections.abc import Callable, Iterable

from pydantic import ValidationError
from result import Ok

from gooseberryquay.links.http_client import Reply
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.machines.rendezvous import first_owners
from gooseberryquay.machines.suspect_messages import SuspectRecord, SuspectUpdate
from gooseberryquay.machines.suspect_store import shard_of

__all__ = ["UPDATE_PATH", "SuspectSpread", "shard_owners"]

UPDATE_PATH = "/suspects"
FANOUT = 5
OWNERS = 2
MAX_RECORDS_PER_MESSAGE = 64
MAX_PENDING = 1024
SEND_TIMEOUT_S = 0.5
REST_S = 1.0
HTTP_OK = 200


def shard_owners(record: SuspectRecord, peers: Peers) -> tuple[Peer, ...]:
    """Give the entries that write a record to the platform."""
    return first_owners(f"suspects/{shard_of(record.fingerprint)}", peers.live(), OWNERS)


class SuspectSpread:
    """Send news to a few peers and to those that write them; what peers told, once a second.

    Records with fewer deaths than `shared_from` go only to those that write them, who answer with
    what they know.
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
        self._shared_from = share_min_deaths
        self._on_reply = on_reply
        self._pending: dict[str, SuspectRecord] = {}
        self._changed = threading.Condition()
        self._sending = threading.Lock()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="suspect spread", daemon=True)

    def start(self) -> None:
        """Send in the background."""
        self._thread.start()

    def stop(self) -> None:
        """End the background thread after what is pending was sent."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()
        self._thread.join()

    def add(self, records: Iterable[SuspectRecord]) -> None:
        """Note records that are to be sent."""
        with self._changed:
            for record in records:
                if len(self._pending) < MAX_PENDING:
                    self._pending[record.fingerprint] = record
            self._changed.notify_all()

    def send_pending(self) -> None:
        """Send what is pending now, in this thread; many callers at once share a message."""
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
                self._changed.wait_for(lambda: self._is_stopping, REST_S)

    def _send(self, batch: list[SuspectRecord]) -> None:
        update = SuspectUpdate(records=tuple(batch))
        senders = [
            threading.Thread(target=self._tell, args=(peer, update))
            for peer in self._receivers(batch)
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def _tell(self, peer: Peer, update: SuspectUpdate) -> None:
        match self._peers.send(peer, UPDATE_PATH, update, SEND_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                with contextlib.suppress(ValidationError):
                    self._on_reply(SuspectUpdate.model_validate_json(body).records)
            case _:
                pass

    def _receivers(self, batch: list[SuspectRecord]) -> tuple[Peer, ...]:
        this_entry = self._peers.this_entry()
        others = [peer for peer in self._peers.live() if peer.id != this_entry.id]
        is_shared = any(len(each.deaths) >= self._shared_from for each in batch)
        fanout = min(FANOUT, len(others)) if is_shared else 0
        chosen = {peer.id: peer for peer in self._rng.sample(others, fanout)}
        for record in batch:
            owners = shard_owners(record, self._peers)
            chosen.update({owner.id: owner for owner in owners if owner.id != this_entry.id})
        return tuple(chosen.values())
