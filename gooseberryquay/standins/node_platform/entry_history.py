"""What a soak did to an entry and to the links of its callers."""

import math
import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from gooseberryquay.standins.node_platform.call_result import CallResult
from gooseberryquay.standins.proxy_messages import Direction

__all__ = ["Disruption", "EntryHistory"]

REQUEST_LINE = re.compile(rb"POST /\w+/(\w+) HTTP/1\.1\r\n")


@dataclass
class Disruption:
    """Time in which an entry was killed or frozen, or the link to one of its ports faulted.

    `port` is None for a disruption of the process itself.
    """

    from_s: float
    until_s: float = math.inf
    port: int | None = None


@dataclass
class EntryHistory:
    """Disruptions and planned stops of one entry, in seconds of the monotonic clock."""

    grace_s: float = 0.0
    disruptions: list[Disruption] = field(default_factory=list)
    stops: list[float] = field(default_factory=list)
    # Ports whose connections run through a proxy, and when it passed on each request.
    proxied_ports: set[int] = field(default_factory=set)
    passed_on: dict[str, float] = field(default_factory=dict)

    @contextmanager
    def disrupted(self, port: int | None = None) -> Iterator[Disruption]:
        """Record a disruption that lasts as long as the context."""
        disruption = self.begin_disruption(port)
        try:
            yield disruption
        finally:
            disruption.until_s = time.monotonic()

    def begin_disruption(self, port: int | None = None) -> Disruption:
        """Record a disruption without an end."""
        disruption = Disruption(time.monotonic(), port=port)
        self.disruptions.append(disruption)
        return disruption

    def add_stop(self) -> None:
        """Record a planned stop."""
        self.stops.append(time.monotonic())

    def add_passed_on(self, direction: Direction, content: bytes) -> None:
        """Record a request that a proxy has passed on to the entry."""
        if direction is Direction.TO_TARGET:
            for id in REQUEST_LINE.findall(content):
                self.passed_on[id.decode()] = time.monotonic()

    def sent_at_s(self, result: CallResult) -> float | None:
        """Return when a request had been sent to the entry, or None if it was not."""
        if result.port in self.proxied_ports:
            return self.passed_on.get(result.id)
        return result.sent_at_s

    def has_stopped_since(self, since_s: float) -> bool:
        """Return whether the process was stopped or disrupted at or after a time."""
        disrupted = [each.from_s for each in list(self.disruptions) if each.port is None]
        return any(each >= since_s for each in [*self.stops, *disrupted])

    def is_disrupted(self, from_s: float, until_s: float, port: int) -> bool:
        """Return whether a disruption overlaps an exchange on a port."""
        return any(
            each.from_s <= until_s and from_s <= each.until_s and each.port in {None, port}
            for each in list(self.disruptions)
        )

    def is_link_disrupted(self, from_s: float, until_s: float, port: int) -> bool:
        """Return whether a fault of the callers' link overlaps an exchange on a port."""
        return any(
            each.from_s <= until_s and from_s <= each.until_s and each.port == port
            for each in list(self.disruptions)
        )
