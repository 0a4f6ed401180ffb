"""Faults of a schedule: kills, pauses, network faults, outages and wrong liveness views."""

import threading
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.later import call_later
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults
from gooseberryquay.standins.posting_fleet.fleet import PostingFleet
from gooseberryquay.standins.proxy_messages import (
    CutConnections,
    HealLink,
    LoseAnswers,
    ProxyFault,
    RefuseConnections,
    ResetConnections,
    SilenceConnections,
    StallBytes,
)
from gooseberryquay.standins.service import ServiceStandIn
from gooseberryquay.standins.service_messages import (
    BreakAfterRun,
    CrossAnswers,
    DelayAnswers,
    RefuseBeforeRun,
    ServiceFault,
    TruncateAnswers,
)

__all__ = ["FleetDependencies", "PostingFaults"]

PAUSE_BETWEEN_S = (0.1, 0.5)
FAULT_DURATION_S = (0.3, 3.0)
LATE_RESPONSE_S = 2.5
SERVICE_CONNECTION_FAULT_S = 0.3


@dataclass(frozen=True)
class FleetDependencies:
    """Services that the nodes of a fleet use, and the fault proxies in front of them."""

    platform: PlatformControl
    platform_proxies: Sequence[FaultProxy]
    service: ServiceStandIn
    service_proxy: FaultProxy


class PostingFaults:
    """Inject seeded faults into a fleet until stopped; `heal` removes them."""

    def __init__(self, rng: Random, fleet: PostingFleet, dependencies: FleetDependencies) -> None:
        self._rng = rng
        self._fleet = fleet
        self._platform = dependencies.platform
        self._platform_proxies = dependencies.platform_proxies
        self._service = dependencies.service
        self._service_proxy = dependencies.service_proxy
        self._stopped = threading.Event()
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Inject one fault after another until stopped."""
        kinds: dict[str, Callable[[], None]] = {
            "kill": self._kill,
            "pause": self._pause,
            "cut": self._fault_platform_connection,
            "outage": self._outage,
            "lost_platform_answer": self._lose_platform_responses,
            "service_fault": self._fault_service,
            "service_cut": self._fault_service_connection,
            "view": self._skew_view,
        }
        while not self._stopped.wait(self._rng.uniform(*PAUSE_BETWEEN_S)):
            kind = self._rng.choice(list(kinds))
            self.counts[kind] += 1
            kinds[kind]()

    def stop(self) -> None:
        """Inject no more faults."""
        self._stopped.set()

    def heal(self) -> None:
        """Remove all faults: all nodes run and consider each other alive."""
        self._platform.set_faults(PlatformFaults())
        for proxy in (*self._platform_proxies, self._service_proxy):
            proxy.apply_fault(HealLink())
        all_nodes = tuple(range(len(self._fleet)))
        for number in all_nodes:
            self._fleet.resume(number)
            self._fleet.set_view(number, all_nodes)

    def _random_node(self) -> int:
        return self._rng.randrange(len(self._fleet))

    def _random_duration_s(self) -> float:
        return self._rng.uniform(*FAULT_DURATION_S)

    def _kill(self) -> None:
        number = self._random_node()
        self._fleet.kill(number)
        self._fleet.restart(number)

    def _pause(self) -> None:
        number, duration_s = self._random_node(), self._random_duration_s()
        self._fleet.pause(number)
        call_later(duration_s, lambda: self._fleet.resume(number))

    def _fault_platform_connection(self) -> None:
        proxy = self._rng.choice(self._platform_proxies)
        kinds: list[ProxyFault] = [
            CutConnections(),
            StallBytes(),
            RefuseConnections(),
            LoseAnswers(),
        ]
        proxy.apply_fault(self._rng.choice(kinds))
        call_later(self._random_duration_s(), lambda: proxy.apply_fault(HealLink()))

    def _outage(self) -> None:
        outage = self._rng.choice([Outage.REFUSE, Outage.DROP, Outage.HANG])
        self._platform.set_faults(PlatformFaults(outage=outage))
        call_later(self._random_duration_s(), lambda: self._platform.set_faults(PlatformFaults()))

    def _lose_platform_responses(self) -> None:
        lost = LostAnswers(count=self._rng.randint(1, 6), is_applied=self._rng.random() < 0.8)
        self._platform.set_faults(PlatformFaults(lost_answers=lost))

    def _fault_service(self) -> None:
        count = self._rng.randint(1, 3)
        kinds: list[ServiceFault] = [
            CrossAnswers(count=count),
            DelayAnswers(delay_s=LATE_RESPONSE_S, count=count),
            BreakAfterRun(count=count),
            TruncateAnswers(count=count),
            RefuseBeforeRun(count=count),
        ]
        self._service.apply_fault(self._rng.choice(kinds))

    def _fault_service_connection(self) -> None:
        kinds: list[ProxyFault] = [
            CutConnections(),
            ResetConnections(),
            SilenceConnections(),
            StallBytes(),
            RefuseConnections(),
            LoseAnswers(),
        ]
        self._service_proxy.apply_fault(self._rng.choice(kinds))
        call_later(SERVICE_CONNECTION_FAULT_S, lambda: self._service_proxy.apply_fault(HealLink()))

    def _skew_view(self) -> None:
        number = self._random_node()
        others = [other for other in range(len(self._fleet)) if other != number]
        seen = self._rng.sample(others, self._rng.randrange(len(others) + 1))
        self._fleet.set_view(number, (number, *seen))
