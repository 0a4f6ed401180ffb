"""Experiment: cost and propagation time of configuration changes at several fleet sizes."""

import resource
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from hdrh.histogram import HdrHistogram

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address, FrozenModel
from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.contracts.site import Site
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import Revision, ServiceId, SiteId, UpstreamId, ZoneId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.standins.keeper_fleet import KeeperFleet
from gooseberryquay.standins.keeper_node import HEARTBEAT_PATH, KeeperNode
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import Outage, PlatformFaults
from gooseberryquay.standins.process import CommandProcess
from gooseberryquay.zones.configuration_change import SetZoneState
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.zone_state import ZoneState

__all__ = ["ConfigurationFigures", "measure_configuration"]

HOST = "127.0.0.1"
ZONE = ZoneId("zone-1")
UPSTREAM_COUNT = 24
HEARTBEAT_INTERVAL_S = 1.0
# All keepers share one interpreter, so larger fleets need more time for each change.
CHANGE_INTERVAL_S_PER_KEEPER = 0.025
START_TIMEOUT_S = 120.0
SETTLE_S = 3.0
SAMPLE_INTERVAL_S = 0.05
MAX_PROPAGATION_US = 60_000_000
OUTAGE_S = 8.0


class Load(FrozenModel):
    """Rates over one phase; bytes per entry count both directions, including headers."""

    duration_s: float
    platform_calls_per_s: float
    platform_bytes_per_s: float
    config_bytes_per_entry_s: float
    heartbeat_bytes_per_entry_s: float
    cpu_percent_per_entry: float


class ConfigurationFigures(FrozenModel):
    """Measurements of one fleet size."""

    keepers: int
    changes: int
    freshness_bound_s: float
    seed: int
    idle: Load
    changing: Load
    outage: Load
    config_bytes_per_entry_change: float
    propagation_p50_ms: float
    propagation_p99_ms: float
    propagation_max_ms: float
    not_fresh_share_in_outage: float
    peak_memory_mb: float


class _Meter:
    """Measure the increase of all counters over one phase."""

    def __init__(self, fleet: KeeperFleet, control: PlatformControl) -> None:
        self._fleet = fleet
        self._control = control

    @contextmanager
    def phase(self, loads: list[Load]) -> Iterator[None]:
        """Append the load of the enclosed block to `loads`."""
        started_at_s, cpu_s = time.monotonic(), time.process_time()
        calls, platform_bytes = self._platform()
        config, heartbeat = self._peer_bytes()
        yield
        duration_s = time.monotonic() - started_at_s
        count = len(self._fleet.nodes)
        calls_after, platform_bytes_after = self._platform()
        config_after, heartbeat_after = self._peer_bytes()
        cpu_share = (time.process_time() - cpu_s) / duration_s / count
        # Each exchange counts as traffic at both of its endpoints.
        per_entry_s = 2 / count / duration_s
        loads.append(
            Load(
                duration_s=duration_s,
                platform_calls_per_s=(calls_after - calls) / duration_s,
                platform_bytes_per_s=(platform_bytes_after - platform_bytes) / duration_s,
                config_bytes_per_entry_s=(config_after - config) * per_entry_s,
                heartbeat_bytes_per_entry_s=(heartbeat_after - heartbeat) * per_entry_s,
                cpu_percent_per_entry=100 * cpu_share,
            )
        )

    def _platform(self) -> tuple[int, int]:
        counts = self._control.counts()
        return counts.calls(), counts.body_bytes()

    def _peer_bytes(self) -> tuple[int, int]:
        config = heartbeat = 0
        for node in self._fleet.nodes.values():
            for path, count in list(node.peers.exchanged_bytes.items()):
                if path == HEARTBEAT_PATH:
                    heartbeat += count
                else:
                    config += count
        return config, heartbeat


class _RevisionRecorder:
    """Record the time at which each revision comes into force at each keeper."""

    def __init__(self, nodes: tuple[KeeperNode, ...]) -> None:
        self._is_done = threading.Event()
        self.in_force_at_s: list[tuple[Revision, float]] = []
        self._threads = [threading.Thread(target=self._follow, args=(node,)) for node in nodes]

    def start(self) -> None:
        """Watch every keeper in a background thread."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop watching and join the threads."""
        self._is_done.set()
        for thread in self._threads:
            thread.join()

    def _follow(self, node: KeeperNode) -> None:
        seen = node.keeper.revision()
        while not self._is_done.is_set():
            if not node.keeper.wait_for_newer(seen, 0.5):
                continue
            now_s, newest = time.monotonic(), node.keeper.revision()
            for revision in range(seen + 1, newest + 1):
                self.in_force_at_s.append((Revision(revision), now_s))
            seen = newest


class _Experiment:
    """Run the phases of the experiment for one fleet size."""

    def __init__(self, fleet: KeeperFleet, platform: Address, changes: int) -> None:
        self._fleet = fleet
        self._store = ConfigurationStore(PlatformClient(platform))
        self._control = PlatformControl(platform)
        self._meter = _Meter(fleet, self._control)
        self._changes = changes
        self.propagation = HdrHistogram(1, MAX_PROPAGATION_US, 3)

    def idle(self, duration_s: float) -> Load:
        """Measure the load without any configuration change."""
        loads: list[Load] = []
        with self._meter.phase(loads):
            time.sleep(duration_s)
        return loads[0]

    def change(self) -> Load:
        """Switch a zone out and in, timing each change from before the operator's call."""
        loads: list[Load] = []
        recorder = _RevisionRecorder(tuple(self._fleet.nodes.values()))
        recorder.start()
        began_at_s: dict[Revision, float] = {}
        with self._meter.phase(loads):
            for index in range(self._changes):
                state = ZoneState.OUT if index % 2 == 0 else ZoneState.IN
                called_at_s = time.monotonic()
                change = SetZoneState(zones=(ZONE,), state=state)
                accepted = self._store.apply(change, "experiment").unwrap()
                began_at_s[accepted.revision] = called_at_s
                time.sleep(CHANGE_INTERVAL_S_PER_KEEPER * len(self._fleet.nodes))
            if not self._fleet.wait_for_revision(Revision(self._changes + 1), START_TIMEOUT_S):
                raise RuntimeError("a configuration change did not come into force")
        recorder.stop()
        for revision, in_force_at_s in recorder.in_force_at_s:
            self.propagation.record_value(max(1, int(1e6 * (in_force_at_s - began_at_s[revision]))))
        return loads[0]

    def outage(self) -> tuple[Load, float]:
        """Refuse all platform calls; return the load and the share of samples not fresh."""
        loads: list[Load] = []
        samples = stale = 0
        self._control.set_faults(PlatformFaults(outage=Outage.REFUSE))
        ends_at_s = time.monotonic() + OUTAGE_S
        with self._meter.phase(loads):
            while time.monotonic() < ends_at_s:
                for node in self._fleet.nodes.values():
                    samples += 1
                    stale += not node.keeper.is_fresh()
                time.sleep(SAMPLE_INTERVAL_S)
        self._control.set_faults(PlatformFaults())
        return loads[0], stale / samples

    def propagation_ms(self, percentile: float) -> float:
        """Return a percentile of the propagation times, in milliseconds."""
        return float(self.propagation.get_value_at_percentile(percentile)) / 1000


def measure_configuration(
    keepers: int, *, changes: int, idle_s: float, freshness_bound_s: float, seed: int
) -> ConfigurationFigures:
    """Measure one fleet, run as threads of this process, against a platform stand-in process."""
    with CommandProcess("standin", "platform") as platform:
        address = Address(HOST, platform.port)
        timing = ConfigurationSyncTiming(freshness_bound_s=freshness_bound_s)
        fleet = KeeperFleet(address, _declaration(), timing, HEARTBEAT_INTERVAL_S, seed)
        try:
            fleet.add(*[f"entry-{index}" for index in range(keepers)])
            if not fleet.wait_for(fleet.is_fresh, START_TIMEOUT_S):
                raise RuntimeError("the keepers did not become fresh")
            time.sleep(SETTLE_S)
            experiment = _Experiment(fleet, address, changes)
            idle, changing = experiment.idle(idle_s), experiment.change()
            time.sleep(SETTLE_S)
            outage, not_fresh_share = experiment.outage()
        finally:
            fleet.stop()
    config_bytes = changing.config_bytes_per_entry_s * changing.duration_s
    return ConfigurationFigures(
        keepers=keepers,
        changes=changes,
        freshness_bound_s=freshness_bound_s,
        seed=seed,
        idle=idle,
        changing=changing,
        outage=outage,
        config_bytes_per_entry_change=config_bytes / changes,
        propagation_p50_ms=experiment.propagation_ms(50),
        propagation_p99_ms=experiment.propagation_ms(99),
        propagation_max_ms=experiment.propagation_ms(100),
        not_fresh_share_in_outage=not_fresh_share,
        peak_memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )


def _declaration() -> Declaration:
    service = Service(id=ServiceId("model"), kind=ServiceKind.MODEL)
    site = Site(id=SiteId("site"), zones=(ZONE,))
    upstreams = [
        UpstreamDeclaration(
            id=UpstreamId(f"engine-{index}"),
            service=service.id,
            zone=ZONE,
            address=Address(HOST, 9000 + index),
        )
        for index in range(UPSTREAM_COUNT)
    ]
    return Declaration(
        services={service.id: service},
        sites={site.id: site},
        upstreams={each.id: each for each in upstreams},
    )
