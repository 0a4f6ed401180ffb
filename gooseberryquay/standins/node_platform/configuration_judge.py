"""Judge from the callers' side when each version of the configuration is in force."""

import http.client
import itertools
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from gooseberryquay.standins.node_platform.caller_connection import CallerConnection
from gooseberryquay.standins.node_platform.entry_history import Disruption
from gooseberryquay.standins.node_platform.site import HOST, KEY, build_route
from gooseberryquay.standins.node_platform.soak_entry import SoakEntry
from gooseberryquay.standins.node_platform.soak_judges import Rule, Violation

__all__ = ["IN_FORCE_S", "STABLE_WINDOW_S", "ConfigurationJudge"]

# `bounds.config_apply_ms` and `bounds.stable_window_ms`.
IN_FORCE_S = 2.0
STABLE_WINDOW_S = 3.0
CALL_PAUSE_S = 0.1
CALL_TIMEOUT_S = 4.0


@dataclass
class _AddedRoute:
    prefix: str
    added_at_s: float = float("inf")


@dataclass
class ConfigurationJudge:
    """Call the routes that changes have added, at each entry, while faults last.

    A call is judged if the entry ran, reached the store and the store was available for the whole
    stable window before it. In one process of an entry, a route that was served is never missing.
    """

    entries: Sequence[SoakEntry]
    report: Callable[[Violation], None]
    # Times at which the store, or the link of an entry to it, was faulted.
    store_disruptions: list[Disruption] = field(default_factory=list)
    link_disruptions: dict[str, list[Disruption]] = field(default_factory=dict)
    calls: int = 0
    judged_calls: int = 0
    _routes: list[_AddedRoute] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _numbers: Any = field(default_factory=itertools.count)

    def start(self) -> None:
        """Start a caller for each entry."""
        for each in self.entries:
            thread = threading.Thread(target=self._run, args=(each,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Wait until the calls in progress have ended."""
        self._stopped.set()
        for each in self._threads:
            each.join(2 * CALL_TIMEOUT_S)

    def change(self, configure: Callable[..., object]) -> None:
        """Write a configuration with one more route through `configure`."""
        with self._lock:
            added = _AddedRoute(f"/added-{len(self._routes)}/")
            self._routes.append(added)
            configure(*self.routes())
            added.added_at_s = time.monotonic()

    def routes(self) -> list[dict[str, Any]]:
        """Return the definitions of all added routes."""
        return [build_route(each.prefix, "idempotent", "ledger", 2) for each in self._routes]

    def begin_store_disruption(self) -> Disruption:
        """Record that the store is faulted from now on."""
        disruption = Disruption(time.monotonic())
        self.store_disruptions.append(disruption)
        return disruption

    def begin_link_disruption(self, entry: SoakEntry) -> Disruption:
        """Record that an entry's link to the store is faulted from now on."""
        disruption = Disruption(time.monotonic())
        self.link_disruptions.setdefault(entry.ports.name, []).append(disruption)
        return disruption

    def _run(self, entry: SoakEntry) -> None:
        newest_served = -1
        process = entry.process
        while not self._stopped.wait(CALL_PAUSE_S):
            if entry.process is not process:
                process, newest_served = entry.process, -1
            number = len(self._routes) - 1
            if number < 0:
                continue
            sent_at_s = time.monotonic()
            status = self._call(entry, self._routes[number].prefix)
            self.calls += 1
            if status == http.client.NOT_FOUND:
                is_same_process = entry.process is process
                self._judge_missing(entry, number, sent_at_s, newest_served, is_same_process)
            elif status == http.client.OK:
                newest_served = max(newest_served, number)
                self.judged_calls += not self._is_excused(entry, sent_at_s)

    def _judge_missing(
        self,
        entry: SoakEntry,
        number: int,
        sent_at_s: float,
        newest_served: int,
        is_same_process: bool,
    ) -> None:
        age_s = sent_at_s - self._routes[number].added_at_s
        if number <= newest_served and is_same_process:
            self._report(entry, f"went back behind route {number}, which it had served", sent_at_s)
        elif age_s > IN_FORCE_S and not self._is_excused(entry, sent_at_s):
            self._report(entry, f"lacks route {number} {age_s:.2f} s after it was added", sent_at_s)

    def _is_excused(self, entry: SoakEntry, sent_at_s: float) -> bool:
        since_s, now_s = sent_at_s - STABLE_WINDOW_S, time.monotonic()
        if entry.history.is_disrupted(since_s, now_s, entry.ports.callers):
            return True
        if entry.history.has_stopped_since(since_s - entry.history.grace_s):
            return True
        faults = [*self.store_disruptions, *self.link_disruptions.get(entry.ports.name, [])]
        return any(each.from_s <= now_s and since_s <= each.until_s for each in faults)

    def _report(self, entry: SoakEntry, text: str, sent_at_s: float) -> None:
        name, port = entry.ports.name, entry.ports.callers
        self.report(
            Violation(
                Rule.CONFIG,
                f"{name} {text}",
                port=port,
                began_at_s=sent_at_s,
                ended_at_s=time.monotonic(),
            )
        )

    def _call(self, entry: SoakEntry, prefix: str) -> int | None:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"judge-{next(self._numbers)}",
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        connection = CallerConnection(entry.ports.callers, CALL_TIMEOUT_S)
        try:
            return connection.exchange(f"{prefix}1", headers, b"{}").status
        finally:
            connection.close()
