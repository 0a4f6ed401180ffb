"""Randomized soak: entry processes under injected faults, with their guarantees checked."""

import functools
import http.client
import math
import random
import signal
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from gooseberryquay.contracts.fields import Address
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.call_result import CallKind
from gooseberryquay.standins.node_platform.configuration_judge import (
    IN_FORCE_S,
    STABLE_WINDOW_S,
    ConfigurationJudge,
)
from gooseberryquay.standins.node_platform.cut_faults import CutFaults, find_unserved_cuts
from gooseberryquay.standins.node_platform.end_faults import EndFaults
from gooseberryquay.standins.node_platform.entry_history import Disruption, EntryHistory
from gooseberryquay.standins.node_platform.entry_view import EntryView
from gooseberryquay.standins.node_platform.lag_meter import LagMeter
from gooseberryquay.standins.node_platform.odd_bytes import MEMORY_MB_MAX, OddBytes
from gooseberryquay.standins.node_platform.rollout_faults import (
    ROLLOUT_SETTINGS,
    RolloutFaults,
)
from gooseberryquay.standins.node_platform.site import GOAL_MS, KEY, EntryPorts, Site
from gooseberryquay.standins.node_platform.soak_callers import Callers, CallerStyle, call_once
from gooseberryquay.standins.node_platform.soak_entry import SoakEntry
from gooseberryquay.standins.node_platform.soak_judges import Rule, Violation, find_violations
from gooseberryquay.standins.node_platform.store import StoreAvailability
from gooseberryquay.standins.node_platform.upstream_server import (
    ModelEngine,
    PlainService,
    UpstreamFaults,
)
from gooseberryquay.standins.node_platform.wide_faults import LINK_FAULTS, WideFaults
from gooseberryquay.standins.process import ListeningProcess
from gooseberryquay.standins.proxy_messages import HealLink

__all__ = ["CALLERS", "WIDE_CALLERS", "Soak", "SoakReport"]

FAULTS = 14
FAULT_GAP_S = 0.6
RECOVERY_S = 8.0
# Changes that come at once as the store is back.
RETURN_CHANGES = 3
RETURN_CHANGE_GAP_S = 0.045
DRAIN_S = 2.0
CALLERS = 8
WIDE_CALLERS = 24
# From a tenth to eight times the latency goal of plain services.
WORK_RANGE_S = (0.1 * GOAL_MS / 1000.0, 8.0 * GOAL_MS / 1000.0)
# Faults and upstreams grow with the number of entries.
ENTRIES_PER_UPSTREAM = 4
LOG_LINES_MAX = 8
UPSTREAMS_MIN = 2
SHED_PAUSE_S = 0.8
# Requests to an upstream that states a rate, in a window after all entries have been told.
RATE_WINDOW_S = 4.0
RATE_OVERAGE, RATE_ALLOWANCE = 1.5, 5.0
RATE_LIMIT_SHARE = 0.2
RATES_PER_S = (0.0, 0.5, 2.0, 8.0)


@dataclass(frozen=True)
class TracedViolation:
    """A violation, the entry that received the request and its log lines about it."""

    violation: Violation
    entry: str | None = None
    log_lines: tuple[str, ...] = ()

    def __str__(self) -> str:
        where = f" at {self.entry}" if self.entry is not None else ""
        return "\n    ".join([f"{self.violation}{where}", *self.log_lines])


@dataclass
class SoakReport:
    """Results of a run and the violated guarantees."""

    seed: int
    requests: int
    served: int
    faults: list[str]
    violations: list[TracedViolation]
    # Resident memory of all entries at the end.
    memory_mb: float
    longest_lag_s: float
    # Requests whose run an engine stopped on an order, and those of them with an unframed stream.
    stopped: int
    stopped_unframed: int


@dataclass
class Soak:
    """Run the fault schedule of one seed.

    A wide soak has `callers` instead of 8, slow operations and the faults of `WideFaults` as well.
    With `has_cuts`, some entries are at times cut off from all upstreams. With `has_unframed`,
    some answers end with their connection, and engines that leave answer final copies oddly. With
    `has_rollouts`, good and bad versions of the engines are rolled out.
    """

    seed: int
    entry_count: int
    folder: Path
    has_rate_limits: bool = False
    is_wide: bool = False
    callers: int = WIDE_CALLERS
    has_cuts: bool = False
    has_unframed: bool = False
    has_rollouts: bool = False
    faults: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        # Draws of its own keep the faults of a seed the same with and without rate limits.
        self._rate_rng = random.Random(self.seed + 2)
        self._site = Site(random.Random(self.seed + 1), has_proxies=self.is_wide)
        self._entries: list[SoakEntry] = []
        self._lag_meter = LagMeter()
        self._pending: list[threading.Thread] = []
        self.memory_mb = 0.0
        self._judge = ConfigurationJudge(self._entries, self.violations.append)
        self._wide_faults = WideFaults(
            random.Random(f"wide {self.seed}"), self._site, self._entries, self._schedule
        )
        self._odd_bytes = OddBytes(random.Random(f"odd {self.seed}"), self._site, self._schedule)
        self._cut_faults = CutFaults(
            random.Random(f"cuts {self.seed}"), self._site, self._entries, self._schedule
        )

        self._end_faults = EndFaults(self.seed, self._site, self._schedule)
        if self.has_unframed:
            self._site.on_added = self._end_faults.prepare

        self._rollout_faults = RolloutFaults(
            random.Random(f"rollouts {self.seed}"),
            self._site,
            self._schedule,
            self.violations.append,
        )

    def run(self) -> SoakReport:
        """Start the site and entries, inject overlapping faults and check the guarantees."""
        if self.is_wide:
            self._site.set_work_range(WORK_RANGE_S)
        more = self.entry_count // ENTRIES_PER_UPSTREAM
        self._site.start(engines=max(4, more), services=max(3, more))
        groups: list[Callers] = []
        self._lag_meter.start()
        try:
            self._start_entries()
            groups = self._start_callers()
            self._judge.start()
            for _ in range(max(FAULTS, self.entry_count)):
                self._inject()
                if self.is_wide:
                    self._inject_wide()
                if self.has_cuts:
                    self._inject_cut()
                if self.has_unframed:
                    self._inject_leave()
                if self.has_rate_limits and self._rate_rng.random() < RATE_LIMIT_SHARE:
                    self._limit_upstreams()
                time.sleep(FAULT_GAP_S * self._rng.uniform(0.2, 1.8))
            self._heal()
            self._judge.stop()
            if self.has_rate_limits:
                self._check_rate_limit()
            self._check_recovery()
            running = [each.process for each in self._entries if each.process.is_running()]
            self.memory_mb = sum(each.resident_mb() for each in running)
            for each in running:
                if each.peak_memory_mb() > MEMORY_MB_MAX:
                    text = f"process {each.pid} used {each.peak_memory_mb():.0f} MB"
                    self.violations.append(Violation(Rule.FAULT, text))
            for group in groups:
                group.stop()
        finally:
            for entry in self._entries:
                entry.process.kill()
                entry.stop_links()
            self._site.stop()
            self._lag_meter.stop()
        results = [each for group in groups for each in group.results]
        histories = self._histories()
        self.violations += find_violations(results, self._site.record, histories)
        self.violations += find_unserved_cuts(self._cut_faults.cuts, results, histories)
        served = sum(each.status == http.client.OK for each in results)
        return SoakReport(
            self.seed,
            len(results),
            served,
            self.faults,
            [self._trace(each) for each in self.violations],
            self.memory_mb,
            self._lag_meter.longest_s(0.0, math.inf),
            len(self._site.record.stopped),
            len(self._site.record.stopped & self._site.record.unframed),
        )

    def _start_callers(self) -> list[Callers]:
        groups = [Callers([each.ports.callers for each in self._entries], self.seed)]
        if self.is_wide:
            proxied = [each.caller_proxy.port for each in self._entries]
            more = self.callers - CALLERS
            count = more // 3
            groups += [
                Callers(groups[0].ports, f"{self.seed}/direct", more - count, tuple(CallerStyle)),
                Callers(proxied, f"{self.seed}/proxied", count, tuple(CallerStyle)),
            ]
        for each in groups:
            each.start()
        return groups

    def _histories(self) -> dict[int, EntryHistory]:
        return {port: each.history for each in self._entries for port in each.caller_ports}

    def _trace(self, violation: Violation) -> TracedViolation:
        """Return a violation with its entry and the log lines that name the request."""
        entry = next(
            (
                each
                for each in self._entries
                if violation.port in {each.ports.callers, each.caller_proxy.port}
            ),
            None,
        )
        if entry is None:
            return TracedViolation(violation)
        lines = entry.log_path.read_text(errors="replace").splitlines()
        named = [each for each in lines if violation.request and violation.request in each]
        is_proxied = violation.port == entry.caller_proxy.port
        name = f"{entry.ports.name}{' through a proxy' if is_proxied else ''}"
        if violation.request is not None:
            lag_s = self._lag_meter.longest_s(violation.began_at_s, violation.ended_at_s)
            name += f", the soak itself lagged by up to {lag_s:.2f} s"
        return TracedViolation(violation, name, tuple(named[:LOG_LINES_MAX]))

    def _start_entries(self) -> None:
        ports = [EntryPorts(f"entry-{number}") for number in range(self.entry_count)]
        seeds = [each.control for each in ports[:3]]
        for each in ports:
            view = EntryView(self._site.store) if self.has_cuts else None
            if view is not None:
                view.start()
            store_port = view.port if view is not None else self._site.store.port
            proxy = FaultProxy(Address("127.0.0.1", store_port))
            proxy.start()
            more = ROLLOUT_SETTINGS if self.has_rollouts else ()
            settings = each.write_settings(self.folder, proxy.port, seeds, more)
            log_path = self.folder / f"{each.name}-{self.seed}.log"
            entry = SoakEntry(each, settings, proxy, log_path, self.violations, view=view)
            entry.start_caller_link()
            self._entries.append(entry)
        starters = [threading.Thread(target=each.start) for each in self._entries]
        for starter in starters:
            starter.start()
        for starter in starters:
            starter.join()

    def _inject(self) -> None:
        fault = self._rng.choice(
            [
                self._stop_entry,
                self._kill_entry,
                self._pause_entry,
                self._reload_entry,
                self._harm_store_link,
                self._harm_store,
                self._forget_history,
                self._drain_upstream,
                self._crash_upstream,
                self._harm_upstream,
                self._change_configuration,
                self._take_zone_out,
            ]
        )
        self.faults.append(fault.__name__.strip("_"))
        fault()
        if self.has_rollouts:
            self._inject_rollout()

    def _inject_wide(self) -> None:
        for name in (self._wide_faults.inject(), self._odd_bytes.inject()):
            if name is not None:
                self.faults.append(name)

    def _inject_cut(self) -> None:
        name = self._cut_faults.inject()
        if name is not None:
            self.faults.append(name)

    def _inject_rollout(self) -> None:
        name = self._rollout_faults.inject()
        if name is not None:
            self.faults.append(name)

    def _inject_leave(self) -> None:
        name = self._end_faults.inject()
        if name is not None:
            self.faults.append(name)

    def _schedule(self, wait_s: float, action: Callable[[], object]) -> None:
        def act() -> None:
            time.sleep(wait_s)
            action()

        thread = threading.Thread(target=act, daemon=True)
        self._pending.append(thread)
        thread.start()

    def _stop_entry(self) -> None:
        entry = self._rng.choice(self._entries)
        self._schedule(0.0, lambda: entry.restart(signal.SIGTERM))

    def _kill_entry(self) -> None:
        entry = self._rng.choice(self._entries)
        self._schedule(0.0, lambda: entry.restart(signal.SIGKILL))

    def _pause_entry(self) -> None:
        entry = self._rng.choice(self._entries)
        process = entry.process
        if process.is_running():
            disruption = entry.history.begin_disruption()
            process.send_signal(signal.SIGSTOP)
            self._schedule(self._rng.uniform(0.5, 3.0), lambda: _resume(process, disruption))

    def _reload_entry(self) -> None:
        process = self._rng.choice(self._entries).process
        if process.is_running():
            process.send_signal(signal.SIGHUP)

    def _harm_store_link(self) -> None:
        entry = self._rng.choice(self._entries)
        disruption = self._judge.begin_link_disruption(entry)
        entry.store_proxy.apply_fault(self._rng.choice(LINK_FAULTS))
        self._schedule(
            self._rng.uniform(0.5, 3.0), lambda: _heal_link(entry.store_proxy, disruption)
        )

    def _harm_store(self) -> None:
        disruption = self._judge.begin_store_disruption()
        self._site.store.availability = self._rng.choice(
            [StoreAvailability.REFUSING, StoreAvailability.UNRESPONSIVE]
        )
        self._schedule(self._rng.uniform(0.5, 3.0), lambda: self._return_store(disruption))

    def _return_store(self, disruption: Disruption) -> None:
        """Make the store available, and change the configuration in quick succession."""
        self._site.store.availability = StoreAvailability.AVAILABLE
        disruption.until_s = time.monotonic()
        for _ in range(RETURN_CHANGES):
            self._judge.change(self._site.configure)
            time.sleep(RETURN_CHANGE_GAP_S)

    def _forget_history(self) -> None:
        self._site.store.forget_history()

    def _upstream(self) -> str | None:
        names = [
            each
            for group in (self._site.engines, self._site.services)
            for each in (list(group) if len(group) > UPSTREAMS_MIN else [])
        ]
        return self._rng.choice(names) if names else None

    def _replace(self, id: str) -> None:
        if id in self._site.engines:
            self._site.add_engine()
        else:
            self._site.add_service()

    def _drain_upstream(self) -> None:
        id = self._upstream()
        if id is not None:
            self._replace(id)
            self._site.announce_leave(id)
            self._schedule(DRAIN_S, lambda: self._remove(id))

    def _crash_upstream(self) -> None:
        id = self._upstream()
        if id is not None:
            self._replace(id)
            self._remove(id)

    def _remove(self, id: str) -> None:
        if id in self._site.engines or id in self._site.services:
            self._site.remove(id)

    def _harm_upstream(self) -> None:
        upstream = self._rng.choice(self._site.upstreams())
        faults = UpstreamFaults(*(self._rng.choice([0.0, 0.3]) for _ in range(4)))
        faults.pause_s = SHED_PAUSE_S if faults.shed_share else None
        upstream.faults = faults
        self._schedule(2.0, lambda: setattr(upstream, "faults", UpstreamFaults()))

    def _limit_upstreams(self) -> None:
        """Let some or all upstreams of one kind state a rate for a while."""
        groups: list[list[ModelEngine | PlainService]] = [
            [*self._site.engines.values()],
            [*self._site.services.values()],
        ]
        upstreams = self._rate_rng.choice(groups)
        rate_per_s = self._rate_rng.choice(RATES_PER_S)
        limited = self._rate_rng.sample(upstreams, self._rate_rng.randint(1, len(upstreams)))
        for each in limited:
            each.faults.rate_limit_per_s = rate_per_s
        self._schedule(self._rate_rng.uniform(1.0, 5.0), lambda: _end_limits(limited))

    def _change_configuration(self) -> None:
        keys = (KEY, f"key-{self._rng.randrange(9)}")
        self._judge.change(functools.partial(self._site.configure, keys=keys))

    def _take_zone_out(self) -> None:
        self._site.store.put("evacuations", "zone-b", {})
        self._schedule(1.5, lambda: self._site.store.delete("evacuations", "zone-b"))

    def _heal(self) -> None:
        for thread in self._pending:
            thread.join(40.0)
        self._site.store.availability = StoreAvailability.AVAILABLE
        for entry in self._entries:
            entry.store_proxy.apply_fault(HealLink())
        if self.is_wide:
            self._wide_faults.heal()
            self._odd_bytes.heal()
            self._site.set_work_range(None)

    def _report(self, rule: Rule, description: str) -> None:
        self.violations.append(Violation(rule, description))

    def _check_recovery(self) -> None:
        """Check that each entry serves, applies the newest configuration and honors a drain."""
        for entry in self._entries:
            if not self._serves(entry, CallKind.POST, RECOVERY_S):
                self._report(Rule.RECOVER, f"{entry.ports.name} does not serve after the faults")
        time.sleep(STABLE_WINDOW_S)
        drained = next(iter(self._site.services))
        self._replace(drained)
        self._site.announce_leave(drained)
        self._site.configure(keys=("another key",))
        time.sleep(IN_FORCE_S)
        arrivals_at_bound = len(self._site.record.arrivals[drained])
        rng = random.Random(self.seed)
        for entry in self._entries:
            status = call_once(entry.ports.callers, CallKind.READ, rng).status
            if status != http.client.UNAUTHORIZED:
                self._report(Rule.CONFIG, f"{entry.ports.name} responds {status} to a removed key")
        self._site.configure()
        time.sleep(IN_FORCE_S)
        for entry in self._entries:
            if not self._serves(entry, CallKind.READ, 0.0):
                self._report(Rule.CONFIG, f"{entry.ports.name} rejects an added key")
        if len(self._site.record.arrivals[drained]) > arrivals_at_bound:
            self._report(Rule.DRAIN, f"{drained} received requests after its drain limit")

    def _check_rate_limit(self) -> None:
        """Check that all entries together keep to the rate that an upstream states."""
        limited = next(iter(self._site.services.values()))
        limited.faults.rate_limit_per_s = rate_per_s = self._rate_rng.choice(RATES_PER_S)
        time.sleep(STABLE_WINDOW_S)
        arrivals_before = len(self._site.record.arrivals[limited.id])
        time.sleep(RATE_WINDOW_S)
        arrivals = len(self._site.record.arrivals[limited.id]) - arrivals_before
        allowed = RATE_OVERAGE * RATE_WINDOW_S * rate_per_s + RATE_ALLOWANCE
        if arrivals > allowed:
            self._report(
                Rule.RATE,
                f"{limited.id} received {arrivals} requests at {rate_per_s} per second, "
                f"allowed {allowed:.0f}",
            )
        _end_limits([limited])

    def _serves(self, entry: SoakEntry, kind: CallKind, within_s: float) -> bool:
        rng = random.Random(self.seed)
        deadline_s = time.monotonic() + within_s
        while True:
            if call_once(entry.ports.callers, kind, rng).status == http.client.OK:
                return True
            if time.monotonic() >= deadline_s:
                return False
            time.sleep(0.2)


def _end_limits(upstreams: Iterable[PlainService | ModelEngine]) -> None:
    for each in upstreams:
        each.faults.rate_limit_per_s = None


def _heal_link(proxy: FaultProxy, disruption: Disruption) -> None:
    proxy.apply_fault(HealLink())
    disruption.until_s = time.monotonic()


def _resume(process: ListeningProcess, disruption: Disruption) -> None:
    if process.is_running():
        process.send_signal(signal.SIGCONT)
    disruption.until_s = time.monotonic()
