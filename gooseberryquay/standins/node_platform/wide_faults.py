"""Faults of the links of callers and upstreams, of responses after a run, and series of stops."""

import functools
import random
import signal
import threading
import time
from collections.abc import Callable

from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.entry_history import Disruption
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.soak_entry import SoakEntry
from gooseberryquay.standins.node_platform.upstream_server import (
    AnswerFaults,
    ModelEngine,
    PlainService,
)
from gooseberryquay.standins.proxy_messages import (
    CutConnections,
    DelayBytes,
    HealLink,
    ProxyFault,
    RefuseConnections,
    ResetConnections,
    SilenceConnections,
    StallBytes,
)

__all__ = ["LINK_FAULTS", "WideFaults"]

LINK_FAULTS: tuple[ProxyFault, ...] = (
    CutConnections(),
    ResetConnections(),
    SilenceConnections(),
    StallBytes(),
    RefuseConnections(),
    DelayBytes(delay_s=0.3),
)
# Bytes that were delayed arrive this long after the link was healed, at the latest.
LINK_SETTLED_S = 0.5
FAULT_SHARE = 0.7
ANSWER_FAULT_SHARES = (0.0, 0.3)
SERIES_MAX = 6
SERIES_GAPS_S = (0.2, 1.5)


class WideFaults:
    """Inject faults with random draws of their own.

    `schedule` runs an action after a time in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        site: Site,
        entries: list[SoakEntry],
        schedule: Callable[[float, Callable[[], object]], None],
    ) -> None:
        self._rng = rng
        self._site = site
        self._entries = entries
        self._schedule = schedule
        self._faulted: set[FaultProxy] = set()
        self._lock = threading.Lock()

    def inject(self) -> str | None:
        """Inject a fault and return its name, or None if none was drawn."""
        if self._rng.random() >= FAULT_SHARE:
            return None
        fault = self._rng.choice(
            [
                self._fault_caller_link,
                self._fault_upstream_link,
                self._fault_upstream_link,
                self._fault_answers,
                self._stop_in_series,
            ]
        )
        return f"{fault.__name__.strip('_')}{fault()}"

    def heal(self) -> None:
        """Heal all links and let upstreams respond by the protocol."""
        for entry in self._entries:
            entry.caller_proxy.apply_fault(HealLink())
        for proxy in list(self._site.proxies.values()):
            proxy.apply_fault(HealLink())
        for upstream in self._site.upstreams():
            upstream.answer_faults = AnswerFaults()

    def _fault_caller_link(self) -> str:
        entry = self._rng.choice(self._entries)
        fault = self._rng.choice(LINK_FAULTS)
        lasts_s = self._rng.uniform(0.5, 3.0)
        proxy = entry.caller_proxy
        if not self._claim(proxy):
            return ""
        disruption = entry.history.begin_disruption(proxy.port)
        proxy.apply_fault(fault)
        self._schedule(lasts_s, lambda: self._heal_caller_link(proxy, fault, disruption))
        return f"({entry.ports.name}, {fault.kind})"

    def _heal_caller_link(
        self, proxy: FaultProxy, fault: ProxyFault, disruption: Disruption
    ) -> None:
        _heal_link(proxy, fault)
        time.sleep(LINK_SETTLED_S)
        disruption.until_s = time.monotonic()
        self._release(proxy)

    def _fault_upstream_link(self) -> str:
        upstreams = self._site.upstreams()
        upstream = self._rng.choice(upstreams)
        fault = self._rng.choice(LINK_FAULTS)
        lasts_s = self._rng.uniform(0.5, 3.0)
        proxy = self._site.proxies[upstream.id]
        if not self._claim(proxy):
            return ""

        def heal() -> None:
            if isinstance(fault, SilenceConnections):
                upstream.record_broken_link()
            _heal_link(proxy, fault)
            self._release(proxy)

        if isinstance(fault, CutConnections | ResetConnections | SilenceConnections):
            upstream.record_broken_link()
        proxy.apply_fault(fault)
        self._schedule(lasts_s, heal)
        return f"({upstream.id}, {fault.kind})"

    def _fault_answers(self) -> str:
        upstreams = self._site.upstreams()
        faulty = self._rng.sample(upstreams, self._rng.randint(1, len(upstreams)))
        faults = AnswerFaults(*(self._rng.choice(ANSWER_FAULT_SHARES) for _ in range(2)))
        for each in faulty:
            each.answer_faults = faults
        self._schedule(self._rng.uniform(1.0, 4.0), lambda: _end_answer_faults(faulty))
        return f"({', '.join(each.id for each in faulty)})"

    def _stop_in_series(self) -> str:
        count = min(len(self._entries), SERIES_MAX)
        wait_s = 0.0
        stopped = self._rng.sample(self._entries, count)
        for entry in stopped:
            self._schedule(wait_s, functools.partial(entry.restart, signal.SIGTERM))
            wait_s += self._rng.uniform(*SERIES_GAPS_S)
        return f"({', '.join(each.ports.name for each in stopped)})"

    def _claim(self, proxy: FaultProxy) -> bool:
        """Return whether no other fault of the link is in progress, and begin one."""
        with self._lock:
            is_free = proxy not in self._faulted
            self._faulted.add(proxy)
            return is_free

    def _release(self, proxy: FaultProxy) -> None:
        with self._lock:
            self._faulted.discard(proxy)


def _heal_link(proxy: FaultProxy, fault: ProxyFault) -> None:
    # A silenced connection never recovers, so it ends with the fault.
    if isinstance(fault, SilenceConnections):
        proxy.apply_fault(CutConnections())
    proxy.apply_fault(HealLink())


def _end_answer_faults(upstreams: list[PlainService | ModelEngine]) -> None:
    for each in upstreams:
        each.answer_faults = AnswerFaults()
