"""Components of an entry that carry out roll-outs, or none where these are not in force."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from gooseberryquay.contracts.node_settings import NodeSettings
from gooseberryquay.ids import EntryId, UpstreamId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.rendezvous import member_weight
from gooseberryquay.rollouts.book import BookOptions, RolloutBook
from gooseberryquay.rollouts.conductor import ConductorSources, RolloutConductor, StatusStore
from gooseberryquay.rollouts.list_reader import RolloutListReader
from gooseberryquay.rollouts.operator_view import RolloutMetrics, rollouts_text
from gooseberryquay.rollouts.order import RolloutRecord
from gooseberryquay.rollouts.watching_client import WatchingClient
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.entry_counter import EntryCounter
from gooseberryquay.serving.object_source import StoredObject
from gooseberryquay.serving.object_watch import ObjectWatch
from gooseberryquay.serving.peer_loads import PeerLoadExchange
from gooseberryquay.serving.ports import UpstreamClient
from gooseberryquay.serving.request_counters import RequestCounters
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import UpstreamRegistry
from gooseberryquay.serving.version_gate import ANY_VERSION, VersionGate

__all__ = ["EntryRollouts", "RolloutPlatform"]

ROLLOUTS_PATH = "/rollouts"
TEXT_TYPE = "text/plain; charset=utf-8"
# With less, an entry may be cut off from the others, and is careful.
HEARD_SHARE_MIN = 0.5


@dataclass(frozen=True, slots=True)
class RolloutPlatform:
    """Name the kind of orders, decode one, and tell the store's era of a revision."""

    kind: str
    decode: Callable[[StoredObject], RolloutRecord | None]
    era_of: Callable[[int], int]


class EntryRollouts:
    """Assemble the components of roll-outs; without a book, nothing is gated or watched."""

    def __init__(
        self,
        *,
        book: RolloutBook | None,
        settings: NodeSettings,
        membership: Membership,
        entry_counter: EntryCounter,
        registry: UpstreamRegistry,
        log: DecisionLog,
        platform: RolloutPlatform,
    ) -> None:
        self._book = book
        self._platform = platform
        self._settings = settings
        self._membership = membership
        self._entry_counter = entry_counter
        self._registry = registry
        self._log = log
        self._watch: ObjectWatch | None = None
        self._conductor: RolloutConductor | None = None

    @staticmethod
    def build(
        platform: RolloutPlatform,
        settings: NodeSettings,
        membership: Membership,
        entry_counter: EntryCounter,
        registry: UpstreamRegistry,
        *,
        log: DecisionLog,
    ) -> "EntryRollouts":
        """Build the components, without a book where the settings have no bounds of roll-outs."""
        rollouts = EntryRollouts(
            book=None,
            settings=settings,
            membership=membership,
            entry_counter=entry_counter,
            registry=registry,
            log=log,
            platform=platform,
        )
        if settings.bounds.rollout is not None:
            options = BookOptions(
                bounds=settings.bounds.rollout,
                records=registry.listed_records,
                rank=rollouts.rank,
                era_of=platform.era_of,
                request_reading=rollouts.request_reading,
            )
            rollouts._book = RolloutBook(options, log)
            registry.on_change(rollouts._book.observe_engines)
        return rollouts

    @property
    def gate(self) -> VersionGate:
        """Return the gate of software versions."""
        return self._book or ANY_VERSION

    def rank(self, order: str) -> tuple[int | None, int]:
        """Return this entry's position among all for an order, None while some may be unknown."""
        live = self._membership.live()
        own = member_weight(order, self._settings.id)
        others = [each for each in live if each.id != self._settings.id]
        rank = sum(member_weight(order, each.id) > own for each in others)
        count = max(self._entry_counter.count(), len(others) + 1)
        return (rank if self._entry_counter.is_stable() else None), count

    def request_reading(self) -> None:
        """Read the list of roll-outs again, as a new version may belong to one."""
        if self._watch is not None:
            self._watch.resync()

    def reports_for(self, peer: EntryId, is_hub: bool, is_to_hub: bool) -> list[dict[str, Any]]:
        """Build the reports on roll-outs for a peer."""
        return [] if self._book is None else self._book.reports_for(peer, is_hub, is_to_hub)

    def receive(self, sender: EntryId, is_of_hub: bool, records: list[Any]) -> None:
        """Apply the reports of a peer on roll-outs."""
        if self._book is not None:
            self._book.receive(sender, is_of_hub, records)

    def watching(self, client: UpstreamClient) -> UpstreamClient:
        """Return a client that gates and counts requests."""
        return client if self._book is None else WatchingClient(client, self._book, self._registry)

    def list_readers(self) -> list[RolloutListReader]:
        """Return the reader of the list of roll-outs, or none if it is not to be read."""
        if self._book is None:
            return []
        return [RolloutListReader(self._book, self._platform.decode, self._log)]

    def is_ready(self) -> bool:
        """Return whether it is known which versions may get requests."""
        return self._book is None or self._book.was_read()

    def connect(
        self,
        watches: Sequence[ObjectWatch],
        peers: PeerLoadExchange,
        loads: LoadTable,
        store: StatusStore,
        counters: RequestCounters,
    ) -> None:
        """Connect the components to those that are built later."""
        watch = next((each for each in watches if each.kind == self._platform.kind), None)
        if self._book is None or watch is None:
            return
        self._watch = watch

        def runs_at(upstream: UpstreamId) -> int:
            return len(loads.runs_at(upstream)) + peers.load_at(upstream).runs

        def is_fresh() -> bool:
            is_alone = len(self._membership.live()) <= 1
            return watch.is_current() and (is_alone or peers.heard_share() >= HEARD_SHARE_MIN)

        sources = ConductorSources(
            records=self._registry.listed_records,
            runs_at=runs_at,
            is_fresh=is_fresh,
            rank=self.rank,
            notify=peers.send_soon,
        )
        self._conductor = RolloutConductor(self._book, sources, store, self._log)
        RolloutMetrics(self._book, counters.registry)

    def with_page(self, router: Router) -> Router:
        """Add the page for operators to the routes of a server."""
        book = self._book
        if book is None:
            return router

        def handle(_: Request) -> Response:
            return Response(body=rollouts_text(book.courses()).encode(), content_type=TEXT_TYPE)

        router.add("GET", ROLLOUTS_PATH, handle)
        return router

    def start(self) -> None:
        """Start deciding on roll-outs."""
        if self._conductor is not None:
            self._conductor.start()
