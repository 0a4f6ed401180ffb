"""Faults of one schedule: kills, pauses, cuts, outages, lost answers and wrong views."""

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

__all__ = ["PostingFaults", "Surroundings"]

PAUSE_BETWEEN_S = (0.1, 0.5)
LONG_FAULT_S = (0.3, 3.0)
LATE_ANSWER_S = 2.5
SERVICE_CUT_S = 0.3


@dataclass(frozen=True)
class Surroundings:
    """Hold what a fleet's nodes talk to, and the links on the way."""

    platform: PlatformControl
    platform_links: Sequence[FaultProxy]
    service: ServiceStandIn
    service_link: FaultProxy


class PostingFaults:
    """Cause seeded faults in a fleet until stopped, then heal everything."""

    def __init__(self, random: Random, fleet: PostingFleet, around: Surroundings) -> None:
        self._random = random
        self._fleet = fleet
        self._platform = around.platform
        self._platform_links = around.platform_links
        self._service = around.service
        self._service_link = around.service_link
        self._stopped = threading.Event()
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Cause one fault after another."""
        kinds: dict[str, Callable[[], None]] = {
            "kill": self._kill,
            "pause": self._pause,
            "cut": self._cut,
            "outage": self._outage,
            "lost_platform_answer": self._lose_platform_answers,
            "service_fault": self._misbehave,
            "service_cut": self._cut_service,
            "view": self._skew_view,
        }
        while not self._stopped.wait(self._random.uniform(*PAUSE_BETWEEN_S)):
            kind = self._random.choice(list(kinds))
            self.counts[kind] += 1
            kinds[kind]()

    def stop(self) -> None:
        """Cause no more faults."""
        self._stopped.set()

    def heal(self) -> None:
        """End every fault; all nodes run and see each other."""
        self._platform.set_faults(PlatformFaults())
        for link in (*self._platform_links, self._service_link):
            link.apply_fault(HealLink())
        everybody = tuple(range(len(self._fleet)))
        for number in everybody:
            self._fleet.resume(number)
            self._fleet.set_view(number, everybody)

    def _any_node(self) -> int:
        return self._random.randrange(len(self._fleet))

    def _long_s(self) -> float:
        return self._random.uniform(*LONG_FAULT_S)

    def _kill(self) -> None:
        number = self._any_node()
        self._fleet.kill(number)
        self._fleet.restart(number)

    def _pause(self) -> None:
        number, duration_s = self._any_node(), self._long_s()
        self._fleet.pause(number)
        call_later(duration_s, lambda: self._fleet.resume(number))

    def _cut(self) -> None:
        link = self._random.choice(self._platform_links)
        kinds: list[ProxyFault] = [
            CutConnections(),
            StallBytes(),
            RefuseConnections(),
            LoseAnswers(),
        ]
        link.apply_fault(self._random.choice(kinds))
        call_later(self._long_s(), lambda: link.apply_fault(HealLink()))

    def _outage(self) -> None:
        outage = self._random.choice([Outage.REFUSE, Outage.DROP, Outage.HANG])
        self._platform.set_faults(PlatformFaults(outage=outage))
        call_later(self._long_s(), lambda: self._platform.set_faults(PlatformFaults()))

    def _lose_platform_answers(self) -> None:
        lost = LostAnswers(count=self._random.randint(1, 6), is_applied=self._random.random() < 0.8)
        self._platform.set_faults(PlatformFaults(lost_answers=lost))

    def _misbehave(self) -> None:
        count = self._random.randint(1, 3)
        kinds: list[ServiceFault] = [
            CrossAnswers(count=count),
            DelayAnswers(delay_s=LATE_ANSWER_S, count=count),
            BreakAfterRun(count=count),
            TruncateAnswers(count=count),
            RefuseBeforeRun(count=count),
        ]
        self._service.apply_fault(self._random.choice(kinds))

    def _cut_service(self) -> None:
        kinds: list[ProxyFault] = [
            CutConnections(),
            ResetConnections(),
            SilenceConnections(),
            StallBytes(),
            RefuseConnections(),
            LoseAnswers(),
        ]
        self._service_link.apply_fault(self._random.choice(kinds))
        call_later(SERVICE_CUT_S, lambda: self._service_link.apply_fault(HealLink()))

    def _skew_view(self) -> None:
        number = self._any_node()
        others = [other for other in range(len(self._fleet)) if other != number]
        seen = self._random.sample(others, self._random.randrange(len(others) + 1))
        self._fleet.set_view(number, (number, *seen))
