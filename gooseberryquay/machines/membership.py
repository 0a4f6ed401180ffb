"""Membership of entries: failure detection, leaving, and messages between entries."""

import logging
import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from pydantic import BaseModel
from result import Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import Reply, TransportFailure
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.platform_messages import InstanceState
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.member_changes import ChangeQueue
from gooseberryquay.machines.member_directory import InstanceDirectory, MemberDirectory
from gooseberryquay.machines.member_discovery import MemberSeeds
from gooseberryquay.machines.member_exchange import (
    HEARTBEAT_PATH,
    MEMBERS_PATH,
    ExtrasCallbacks,
    MemberExchange,
)
from gooseberryquay.machines.member_messages import HeartbeatExtras, MemberRecord
from gooseberryquay.machines.member_prober import RELAY_PATH, MemberProber
from gooseberryquay.machines.member_table import MemberTable
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.pause_detector import PauseDetector
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.peer_connections import PeerConnections

__all__ = ["Membership"]

LEAVE_FANOUT = 8
PROBE_THREADS = 4
REMOVED_PROBE_STEPS = 5

log = logging.getLogger(__name__)


class Membership:
    """Track the live entries and send messages to them.

    `seeds` are control addresses of entries that may be running. `on_extras` is called with the
    extras of other entries on heartbeat threads, and `on_leave` once for each entry that leaves
    gracefully.
    """

    def __init__(
        self,
        this_entry: Peer,
        *,
        seeds: tuple[Address, ...] = (),
        platform: InstanceDirectory | None = None,
        timing: MembershipTiming | None = None,
        extras: Callable[[], HeartbeatExtras] = HeartbeatExtras,
        on_extras: Callable[[Peer, HeartbeatExtras], None] = lambda _peer, _extras: None,
        rng: random.Random | None = None,
        connections: PeerConnections | None = None,
        budget: ControlBudget | None = None,
        on_leave: Callable[[EntryId], None] = lambda _entry: None,
    ) -> None:
        self._timing = timing or MembershipTiming()
        self._rng = rng or random.Random()
        self._changes = ChangeQueue()
        budget = budget or ControlBudget()
        self._connections = connections or PeerConnections(budget)
        self._pause_detector = PauseDetector(self._timing.pause_s())
        self._table = MemberTable(
            _record_of(this_entry), self._changes, self._timing, on_leave=on_leave
        )
        callbacks = ExtrasCallbacks(extras, on_extras)
        self._exchange = MemberExchange(
            self._table,
            self._changes,
            self._connections,
            timing=self._timing,
            pause_detector=self._pause_detector,
            callbacks=callbacks,
            budget=budget,
        )
        self._prober = MemberProber(
            self._table, self._exchange, self._connections, timing=self._timing, rng=self._rng
        )
        self._directory = MemberDirectory(platform)
        self._seeds = MemberSeeds(seeds, self._directory, self._table, self._exchange, self._rng)
        self._tasks = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="membership")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="membership", daemon=True)

    def add_routes(self, router: Router) -> None:
        """Register the routes for heartbeats, relayed probes and the member list."""
        router.add("POST", HEARTBEAT_PATH, self._exchange.handle_heartbeat)
        router.add("POST", RELAY_PATH, self._prober.handle_relay)
        router.add("GET", MEMBERS_PATH, self._exchange.handle_member_list)

    def start(self) -> None:
        """Join the other entries and start probing them; the control API must be served."""
        self._seeds.join()
        self._table.freeze_incarnation()
        self._directory.set_desired(self._table.this_entry.peer(), InstanceState.LIVE)
        self._pause_detector.tick()
        self._thread.start()

    def announce_leave(self) -> None:
        """Announce to other entries and the platform that this entry takes no new requests."""
        self._table.leave()
        self._directory.set_desired(self._table.this_entry.peer(), InstanceState.LEAVING)
        others = [each for each in self._table.present() if each.is_live()]
        chosen = self._rng.sample(others, min(LEAVE_FANOUT, len(others)))
        threads = [
            threading.Thread(target=self._exchange.probe, args=(each.control_address, each))
            for each in chosen
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def stop(self) -> None:
        """Stop heartbeats, remove this entry from the instance list and close connections."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._tasks.shutdown(wait=True, cancel_futures=True)
        self._prober.close()
        self._directory.remove()
        self._connections.close()

    def this_entry(self) -> Peer:
        """Return the peer record of this entry."""
        return self._table.this_entry.peer()

    def live(self) -> tuple[Peer, ...]:
        """Return every entry believed alive and not leaving.

        This entry is included until it leaves, and afterwards if there is no other.
        """
        return self._table.live()

    def is_superseded(self) -> bool:
        """Return whether a later incarnation of this entry is known, so that this one must end."""
        return self._table.is_superseded()

    def send(
        self, to: Peer, path: str, message: BaseModel, timeout_s: float
    ) -> Result[Reply, TransportFailure]:
        """POST a message as JSON to a peer's control API."""
        body = message.model_dump_json(by_alias=True).encode()
        return self._connections.send(to.control_address, "POST", path, body, timeout_s)

    def _run(self) -> None:
        step = 0
        while not self._stopping.wait(self._timing.period_s * self._rng.uniform(0.9, 1.1)):
            if self._pause_detector.tick():
                self._recover_from_pause()
            self._table.expire()
            if self._table.is_superseded():
                continue
            self._submit(self._prober.probe_next)
            self._submit(self._directory.register)
            if step % REMOVED_PROBE_STEPS == 0:
                self._submit(self._prober.probe_removed)
            if self._should_contact_seeds():
                self._submit(self._seeds.contact_unknown)
            self._connections.close_idle()
            step += 1

    def _should_contact_seeds(self) -> bool:
        members = len(self._table.live())
        is_alone = members <= 1
        interval_s = self._timing.seed_interval_s(members)
        return is_alone or self._rng.random() < self._timing.period_s / interval_s

    def _recover_from_pause(self) -> None:
        """Discard stale changes and pull current state before suspecting any member."""
        log.warning("this process was paused")
        self._changes.clear()
        self._table.restart_suspicions()
        present = self._table.present()
        if present:
            self._submit(self._exchange.pull, self._rng.choice(present).control_address)

    def _submit(self, task: Callable[..., object], *arguments: Address) -> None:
        self._tasks.submit(_run_logged, task, *arguments)


def _run_logged(task: Callable[..., object], *arguments: Address) -> None:
    try:
        task(*arguments)
    except Exception:
        log.exception("membership task failed")


def _record_of(peer: Peer) -> MemberRecord:
    return MemberRecord(
        id=peer.id,
        incarnation=peer.incarnation,
        zone=peer.zone,
        control_address=peer.control_address,
    )
