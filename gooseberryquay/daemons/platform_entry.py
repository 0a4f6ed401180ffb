"""Composition root of an entry on the node platform."""

import math
import random
import time
from collections.abc import Callable

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.node_settings import NodeSettings
from gooseberryquay.daemons.caller_limits import build_caller_budget
from gooseberryquay.daemons.own_peer import build_own_peer
from gooseberryquay.daemons.store_watches import OUTAGE_GRACE_S, StoreWatches
from gooseberryquay.ids import ServiceId
from gooseberryquay.links.caller_budget import CallerBudget
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.forwarding_server import ForwardingServer
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.links.work_pace import SpareWork
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.rendezvous import first_owners
from gooseberryquay.machines.retry_budget import RetryBudget, SharedAllowance
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.platform.documents import read_rollout, read_routing, read_upstream
from gooseberryquay.platform.frontend import Frontend
from gooseberryquay.platform.http_upstream_client import HttpUpstreamClient
from gooseberryquay.platform.readiness import readiness_router
from gooseberryquay.platform.store import (
    ANSWER_TIME_S,
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
    ROLLOUT_KIND,
    UPSTREAM_KIND,
    StoreClient,
    StoreObjectSource,
)
from gooseberryquay.platform.store_era import StoreEra, StorePosition
from gooseberryquay.reports.metrics_api import metrics_router
from gooseberryquay.rollouts.assembly import EntryRollouts, RolloutPlatform
from gooseberryquay.serving.active_generation import ActiveGenerations
from gooseberryquay.serving.call_handler import CallHandler
from gooseberryquay.serving.call_placer import CallPlacer
from gooseberryquay.serving.crash_guard import CrashGuard
from gooseberryquay.serving.crash_verdict import CRASHES_MAX
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.engine_pace import EnginePaces
from gooseberryquay.serving.entry_counter import EntryCounter
from gooseberryquay.serving.generation_handler import GenerationHandler
from gooseberryquay.serving.generation_placer import GenerationPlacer
from gooseberryquay.serving.generation_queue import GenerationQueue
from gooseberryquay.serving.hubs import HubSelector
from gooseberryquay.serving.leave_probe import LeaveProbe
from gooseberryquay.serving.list_readers import UpstreamListReader, ZoneListReader
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.migration import Migration
from gooseberryquay.serving.object_relay import RelayOptions
from gooseberryquay.serving.peer_loads import PeerLoadExchange
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.rate_gate import RateGate
from gooseberryquay.serving.reaching_client import ReachingClient
from gooseberryquay.serving.relay_peers import RelayPeers
from gooseberryquay.serving.request_counters import RequestCounters
from gooseberryquay.serving.request_handler import RequestHandler
from gooseberryquay.serving.response_buffer_budget import ResponseBufferBudget
from gooseberryquay.serving.room_gate import RoomGate
from gooseberryquay.serving.route import RoutingTable
from gooseberryquay.serving.routing_table_reader import RoutingTableReader
from gooseberryquay.serving.shared_admission import SharedAdmission
from gooseberryquay.serving.shared_rate import RateTolerance
from gooseberryquay.serving.stream_versions import StreamVersions, StreamVersionsOptions
from gooseberryquay.serving.stream_witnesses import StreamWitnesses, add_witness_routes
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_reach import UpstreamReach
from gooseberryquay.serving.upstream_registry import LimitNotice, UpstreamRegistry
from gooseberryquay.serving.upstream_relay import UpstreamRelay
from gooseberryquay.serving.upstream_signals import UpstreamSignals, log_limit

__all__ = ["PlatformEntry"]

# Callers allow one second to establish a connection.
CONNECT_TIMEOUT_S = 0.6
# Shorter than the idle timeouts that upstreams announce.
IDLE_TIMEOUT_S = 4.0
STORE_CONNECT_TIMEOUT_S = 1.0
STORE_IDLE_TIMEOUT_S = 4.0
# In force until the first configuration sets the limits.
HEADER_BYTES_MAX = 64 * 1024
BODY_BYTES_MAX = 4 * 1024 * 1024
# Upstreams leave at short notice, so their changes are read almost immediately. Configuration
# changes that arrive in quick succession are read together.
UPSTREAM_WATCH_PAUSE_S = 0.03
CONFIGURATION_WATCH_PAUSE_S = 0.25
# The short polls for upstreams detect an unresponsive hub and end the polls for the other kinds.
LONG_POLL_S = 10.0
# Share of the configuration bound that a hub may spend on relaying to its whole cell; the other
# steps need the rest.
RELAY_TIME_SHARE = 0.2
BITS_PER_MBIT = 1_000_000
BITS_PER_BYTE = 8
# The load balancer checks readiness once per second and stops routing after two failed checks.
LEAVE_NOTICE_S = 2.5
# Time to close connections and write the last log lines before the process is killed.
EXIT_MARGIN_S = 0.5
CLOSE_TIMEOUT_S = 0.35
KILL_MARGIN_S = 0.1
# Heartbeat periods without a heartbeat after which an upstream is removed from the list.
MISSED_HEARTBEATS_MAX = 3
# Covers several minutes of an entry's requests in half a MB of memory.
FINISHED_REQUESTS_MAX = 4096
# Enough that one of them lives when all others have restarted.
VERSION_RECORDERS = 3
MEMBERSHIP_SETTLED_S = 2.0


class PlatformEntry:
    """Assemble the components of one entry, start them and drain them."""

    def __init__(self, settings: NodeSettings, log: DecisionLog) -> None:
        self._settings = settings
        self._log = log
        self._started_at_s = time.monotonic()
        rng = random.Random()
        self._registry = UpstreamRegistry()
        self._loads = LoadTable()
        self._slowdowns = MachineSlowdowns()
        self._paces = EnginePaces(self._slowdowns)
        self._routing = RoutingTableReader(CONFIGURATION_NAME, read_routing, log)
        self._membership = Membership(build_own_peer(settings), seeds=settings.seeds)
        self._entry_counter = EntryCounter(settings.id)
        self._hubs = HubSelector(
            self._membership, settings.zone, on_refresh=self._entry_counter.record_live
        )
        self._spare_work = SpareWork()
        self._store_pool = ConnectionPool(
            STORE_CONNECT_TIMEOUT_S, STORE_IDLE_TIMEOUT_S, self._spare_work
        )
        self._watches = StoreWatches(
            hubs=self._hubs,
            pool=self._store_pool,
            log=log,
            config_apply_s=settings.bounds.config_apply_s,
            answer_time_s=ANSWER_TIME_S,
        )
        self._rollouts = EntryRollouts.build(
            RolloutPlatform(
                ROLLOUT_KIND, read_rollout, lambda each: StorePosition.decode(each).era
            ),
            settings,
            self._membership,
            self._entry_counter,
            self._registry,
            log=log,
        )
        self._peers = PeerLoadExchange(
            loads=self._loads,
            membership=self._membership,
            hubs=self._hubs,
            revisions=self._watches.revisions,
            on_revisions=self._watches.record_peer_revisions,
            leaving=self._registry.leaving_notices,
            on_leaving=self._registry.announce_leave,
            limits=self._registry.limit_notices,
            on_limit=self._record_peer_limit,
            paces=self._paces,
            slowdowns=self._slowdowns,
            rollouts=self._rollouts.reports_for,
            on_rollouts=self._rollouts.receive,
        )
        self._rooms = RoomGate(self._registry, self._entry_counter)
        placement = Placement(
            registry=self._registry,
            loads=self._loads,
            peers=self._peers,
            rates=self._build_rate_gate(),
            rooms=self._rooms,
            routing=self._routing.current,
            zone=settings.zone,
            rng=rng,
            entry_count=self._entry_counter.count,
            slowdowns=self._slowdowns,
            paces=self._paces,
            versions=self._rollouts.gate,
        )
        self._counters = RequestCounters()
        self._caller_budget = build_caller_budget(settings, self._counters, log)
        self._drain_state = DrainState()
        self._store_era = StoreEra()
        store = StoreClient(self._store_pool, settings.store_address, self._store_era)
        self._suspects = SuspectList(
            self._membership,
            store,
            crash_count_max=CRASHES_MAX,
            share_min_deaths=CRASHES_MAX - 1,
            finished_max=FINISHED_REQUESTS_MAX,
        )
        self._stream_versions = StreamVersions(
            StreamVersionsOptions(
                settings.id,
                self._records_versions,
                self._is_list_behind,
                on_begun=self._counters.record_begun,
                on_taken_up=self._counters.record_taken_up,
            ),
            self._registry,
            store,
            log,
            witnesses=StreamWitnesses(self._membership, self._entry_counter.known),
        )
        self._store_era.on_rise(self._suspects.store_lost_writes)
        self._store_era.on_rise(self._stream_versions.store_lost_writes)
        self._request_handler = self._build_request_handler(placement, rng)
        frontend = Frontend(self._request_handler.serve, self._counters.in_flight)
        self._caller_server = ForwardingServer(
            *settings.caller_address,
            frontend.forward,
            HEADER_BYTES_MAX,
            BODY_BYTES_MAX,
            log_error=self._log_server_error,
            budget=self._caller_budget,
            descriptors_max=settings.descriptors_max,
        )
        self._readiness_server = self._build_server(
            settings.readiness_address, readiness_router(self.is_ready), min_threads=1
        )
        self._metrics_server = self._build_server(
            settings.metrics_address,
            self._rollouts.with_page(metrics_router(self._counters.text)),
            min_threads=1,
        )
        self._add_watches()
        self._store_era.on_rise(self._watches.resync)
        self._rollouts.connect(self._watches.all(), self._peers, self._loads, store, self._counters)
        self._control_server = self._build_server(
            settings.control_address,
            self._control_router(),
            min_threads=2,
            budget=self._caller_budget,
        )

    def _build_server(
        self,
        address: Address,
        router: Router,
        min_threads: int,
        budget: CallerBudget | None = None,
    ) -> HttpServer:
        return HttpServer(
            *address,
            router,
            min_threads=min_threads,
            max_body_bytes=BODY_BYTES_MAX,
            log_error=self._log_server_error,
            budget=budget,
        )

    def _log_server_error(self, message: str, error: BaseException | None) -> None:
        self._log.error("http server error", error, detail=message)

    def _build_reach(self, client: HttpUpstreamClient, rng: random.Random) -> UpstreamReach:
        return UpstreamReach(
            upstreams=self._registry.listed_records,
            probe=client.probe,
            log=self._log,
            rng=rng,
            on_change=self._counters.record_cut_off,
        )

    def _build_request_handler(self, placement: Placement, rng: random.Random) -> RequestHandler:
        pool = ConnectionPool(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, self._spare_work)
        direct_client = HttpUpstreamClient(pool)
        self._reach = self._build_reach(direct_client, rng)
        relay_peers = RelayPeers(self._membership, self._settings.zone, self._log, rng)
        upstream_client = self._rollouts.watching(
            ReachingClient(direct_client, self._reach, relay_peers)
        )
        bounds = self._settings.bounds
        allowance = SharedAllowance(
            bounds.retry_allowance, bounds.retry_window_s, self._entry_counter.stable_count
        )
        retries = RetryBudget(bounds.retry_ratio, allowance=allowance)
        active = ActiveGenerations()
        migration = Migration(
            upstream_client=upstream_client,
            placement=placement,
            loads=self._loads,
            active=active,
            log=self._log,
            drain_s=bounds.drain_s,
            slowdowns=self._slowdowns,
            on_outcome=self._counters.record_move,
            evacuation_s=bounds.evacuation_s,
            zone_out_for_s=self._registry.zone_out_for_s,
        )
        self._leave_probe = LeaveProbe(
            upstream_client=upstream_client,
            registry=self._registry,
            engine_services=self._engine_services,
            is_list_current=self._watches.is_current,
            owns_engine=lambda upstream: (self._hubs.is_hub() and self._hubs.owns_engine(upstream)),
            has_runs=lambda upstream: bool(self._loads.runs_at(upstream)),
            log=self._log,
        )
        admission = SharedAdmission(
            placement=placement,
            slowdowns=self._slowdowns,
            demand=self._peers.demand,
            log=self._log,
            metrics=self._counters.registry,
        )
        queue = GenerationQueue(
            placement, self._loads, self._peers.refresh, self._peers.send_soon, admission=admission
        )
        self._registry.on_leaving(migration.upstream_leaving)
        self._registry.on_missing(migration.upstream_missing)
        self._registry.on_missing(self._leave_probe.probe_missing)
        self._registry.on_change(queue.changed)
        self._registry.on_change(self._drop_unlisted_loads)
        guard = CrashGuard(
            suspects=self._suspects,
            upstream_client=upstream_client,
            log=self._log,
            list_expiry_s=MISSED_HEARTBEATS_MAX * self._settings.heartbeat_s,
        )
        self._registry.on_removed(guard.upstream_removed)
        self._registry.on_replaced(
            lambda known: guard.upstream_ended(known, "replaced by a newer incarnation")
        )
        signals = UpstreamSignals(
            self._registry, self._loads, self._rooms, guard, self._log, slowdowns=self._slowdowns
        )
        self._upstream_relay = UpstreamRelay(
            registry=self._registry,
            links=direct_client,
            signals=signals,
            reach=self._reach,
            drain_state=self._drain_state,
            counters=self._counters,
            memory=self._caller_budget,
        )
        generation_handler = GenerationHandler(
            upstream_client=upstream_client,
            placement=placement,
            placer=GenerationPlacer(
                queue=queue, placement=placement, loads=self._loads, guard=guard
            ),
            queue=queue,
            loads=self._loads,
            retries=retries,
            active=active,
            migration=migration,
            signals=signals,
            guard=guard,
            versions=self._stream_versions,
            log=self._log,
            on_forecast=lambda expected: self._counters.record_forecast(expected.lateness),
        )
        call_handler = CallHandler(
            upstream_client=upstream_client,
            placement=placement,
            placer=CallPlacer(placement, self._loads),
            loads=self._loads,
            retries=retries,
            signals=signals,
            guard=guard,
            memory=ResponseBufferBudget(self._settings.memory_mb, self._caller_budget),
            log=self._log,
            on_early_refusal=self._counters.record_early_refusal,
            on_late=self._counters.record_late_call,
        )
        return RequestHandler(
            routing=self._routing,
            drain_state=self._drain_state,
            call_handler=call_handler,
            generation_handler=generation_handler,
            counters=self._counters,
            log=self._log,
            rng=rng,
        )

    def _build_rate_gate(self) -> RateGate:
        bounds = self._settings.bounds
        tolerance = RateTolerance(overage=bounds.cold_overage, allowance=bounds.cold_allowance)
        return RateGate(self._entry_counter, tolerance, self._cold_rate_of)

    def _cold_rate_of(self, service: ServiceId) -> float:
        routing = self._routing.current()
        terms = routing.services.get(service) if routing is not None else None
        if terms is None or terms.cold_requests_per_s <= 0.0:
            return math.inf
        return terms.cold_requests_per_s

    def _record_peer_limit(self, notice: LimitNotice) -> None:
        upstream, born_ms, limit, statement = notice
        if self._registry.state_limit(upstream, born_ms, limit, statement):
            log_limit(self._log, upstream, limit, statement.per_s, told_by="peer")

    def _records_versions(self) -> bool:
        """Return whether this entry is one of those that record the only version of a service.

        An entry that has just started does not know the others yet.
        """
        if time.monotonic() - self._started_at_s < MEMBERSHIP_SETTLED_S:
            return False
        owners = first_owners("stream versions", self._membership.live(), VERSION_RECORDERS)
        return self._settings.id in {each.id for each in owners}

    def _is_list_behind(self) -> bool:
        """Return whether others know, or may know, a newer list than this entry has read.

        An entry that does not hear from all others cannot tell.
        """
        if self._watches.is_behind_peers(UPSTREAM_KIND):
            return True
        live_count = len(self._membership.live())
        if live_count <= 1:
            return any(each != self._settings.control_address for each in self._settings.seeds)
        has_lost_others = live_count < self._entry_counter.count()
        return has_lost_others or not self._peers.has_heard_from_all()

    def _engine_services(self) -> list[ServiceId]:
        routing = self._routing.current()
        if routing is None:
            return []
        return [each.id for each in routing.services.values() if each.engine is not None]

    def _control_router(self) -> Router:
        router = Router()
        self._membership.add_routes(router)
        self._peers.add_routes(router)
        self._suspects.add_routes(router)
        add_witness_routes(router, self._stream_versions)
        self._upstream_relay.add_routes(router)
        self._watches.add_routes(router)
        return router

    def _drop_unlisted_loads(self) -> None:
        listed = self._registry.listed()
        self._loads.forget(listed)
        self._rooms.forget(listed)
        self._slowdowns.forget(listed)
        self._paces.forget(listed)

    def _add_watches(self) -> None:
        settings = self._settings
        upstreams = UpstreamListReader(self._registry, read_upstream, self._log, OUTAGE_GRACE_S)
        zones = ZoneListReader(self._registry, self._log)
        self._routing.on_change(self._apply_limits)
        link_bytes_per_s = settings.link_mbps * BITS_PER_MBIT / BITS_PER_BYTE
        relay_bytes_max = int(RELAY_TIME_SHARE * settings.bounds.config_apply_s * link_bytes_per_s)
        configuration = RelayOptions(CONFIGURATION_KIND, LONG_POLL_S, relay_bytes_max)
        evacuations = RelayOptions(EVACUATION_KIND, LONG_POLL_S)
        build = self._build_source
        pause_s = CONFIGURATION_WATCH_PAUSE_S
        self._watches.add(configuration, self._routing, build, pause_s, is_probe=True)
        self._watches.add(evacuations, zones, build, pause_s)
        self._watches.add(RelayOptions(UPSTREAM_KIND), upstreams, build, UPSTREAM_WATCH_PAUSE_S)
        rollouts = RelayOptions(ROLLOUT_KIND, LONG_POLL_S)
        for reader in self._rollouts.list_readers():
            self._watches.add(rollouts, reader, build, UPSTREAM_WATCH_PAUSE_S, is_optional=True)

    def _build_source(self, kind: str, on_silence: Callable[[], None]) -> StoreObjectSource:
        address = self._settings.store_address
        return StoreObjectSource(self._store_pool, address, kind, self._store_era, on_silence)

    def _apply_limits(self, table: RoutingTable) -> None:
        limits = table.limits
        self._caller_server.set_limits(limits.header_bytes_max, limits.body_bytes_max)
        self._caller_budget.set_times(limits.header_timeout_s, limits.idle_timeout_s)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections."""
        is_configured = self._routing.current() is not None and self._rollouts.is_ready()
        return is_configured and not self._drain_state.is_leaving

    def start(self) -> None:
        """Start watching the store and serving callers."""
        self._caller_budget.start()
        self._watches.start()
        self._control_server.start()
        self._membership.start()
        self._peers.start()
        self._suspects.start()
        self._stream_versions.start()
        self._leave_probe.start()
        self._rollouts.start()
        self._reach.start()
        self._readiness_server.start()
        self._metrics_server.start()
        self._caller_server.start()
        self._log.lifecycle("started", zone=self._settings.zone)

    def drain(self) -> None:
        """Report not ready, let open requests complete, then return."""
        began_at_s = time.monotonic()
        self._log.lifecycle("draining")
        grace_s = self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._drain_state.begin(grace_s)
        self._caller_server.close_connections_after_responses()
        self._request_handler.refuse_unsent()
        self._membership.announce_leave()
        # Peers that are down delay the announcement, which must not shorten the rest of the grace.
        time.sleep(max(0.0, began_at_s + LEAVE_NOTICE_S - time.monotonic()))
        is_idle = self._counters.wait_until_idle(max(0.0, began_at_s + grace_s - time.monotonic()))
        # Requests accepted in the meantime must end before the process exits.
        self._drain_state.close()
        self._counters.wait_until_idle(max(0.0, began_at_s + grace_s - time.monotonic()))
        unfinished = self._request_handler.end_open()
        exit_at_s = began_at_s + self._settings.bounds.grace_s - KILL_MARGIN_S
        close_s = min(CLOSE_TIMEOUT_S, max(0.0, exit_at_s - time.monotonic()))
        are_closed = self._caller_server.finish(close_s)
        took_s = time.monotonic() - began_at_s
        self._log.lifecycle(
            "stopped",
            took_s=round(took_s, 2),
            is_idle=is_idle,
            unfinished=unfinished,
            are_connections_closed=are_closed,
        )

    @property
    def port(self) -> int:
        """Return the bound TCP port for callers."""
        return self._caller_server.port
