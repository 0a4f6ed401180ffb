"""What upstreams ran, so that promises can be checked from their side."""

import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ["RunRecord"]


@dataclass
class RunRecord:
    """Count runs by request and note when requests reached upstreams."""

    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    unasked: list[str] = field(default_factory=list)
    # When requests that end upstreams reached one, and when upstreams ended by them.
    crasher_arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def saw_arrival(self, upstream: str) -> None:
        """Note that a request reached an upstream."""
        with self._lock:
            self.arrivals[upstream].append(time.monotonic())

    def saw_crasher(self, _upstream: str) -> None:
        """Note that a request that ends its upstream reached one."""
        with self._lock:
            self.crasher_arrivals.append(time.monotonic())

    def saw_crash(self, _upstream: str) -> None:
        """Note that an upstream was ended by a request."""
        with self._lock:
            self.crashes.append(time.monotonic())

    def saw_run(self, request: str, upstream: str) -> None:
        """Note that an upstream began to work on a request."""
        with self._lock:
            self.runs[request].append(upstream)

    def saw_unasked(self, what: str) -> None:
        """Note a request that no caller can have sent so."""
        with self._lock:
            self.unasked.append(what)

    def runs_of(self, request: str) -> list[str]:
        """Give where a request ran."""
        with self._lock:
            return list(self.runs.get(request, ()))
