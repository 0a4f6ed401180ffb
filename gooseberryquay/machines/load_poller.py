"""Ask upstreams for their load within a byte budget, the oldest report first."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_client import HttpClient, Reply, TransportFailure
from gooseberryquay.machines.byte_budget import ByteBudget
from gooseberryquay.machines.control_budget import ControlBudget, TrafficClass
from gooseberryquay.machines.load_report import LoadReport, parse_load_report
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.upstream_table import UpstreamTable

__all__ = ["LoadPoller", "ReportSink"]

POLLER_THREADS = 4
FRESH_ENOUGH_S = 0.5
IDLE_WAIT_S = 0.1
READ_TIMEOUT_S = 1.0
# One poll in this time is about 0.5 KB/s.
LONGEST_GAP_S = 0.7
SILENT_AFTER_FAILURES = 2
REQUEST_BYTES = 140
HEADER_OVERHEAD_BYTES = 4
HTTP_OK = 200


@dataclass(frozen=True)
class ReportSink:
    """Name what the poller calls with what it learns."""

    record_report: Callable[[UpstreamId, LoadReport], None]
    record_unresponsive: Callable[[UpstreamId, bool], None]


class _Link:
    """Hold the connection to one upstream and its failures in a row."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.asked_at_s = 0.0
        self.failures = 0
        self.is_busy = False
        self.client = self._connect()

    def replace_connection(self) -> None:
        self.client.close()
        self.client = self._connect()

    def _connect(self) -> HttpClient:
        return HttpClient(self.address.host, self.address.port, read_timeout_s=READ_TIMEOUT_S)


class LoadPoller:
    """Poll the upstreams of one entry; reports that ride on answers save polls.

    Polls give way to the other control traffic that shares `control`, but each upstream is asked
    once at first, those that are not known to be warm give way last, and a few always go on.
    """

    def __init__(
        self,
        table: UpstreamTable,
        sink: ReportSink,
        bytes_per_s: float,
        control: ControlBudget | None = None,
    ) -> None:
        self._table = table
        self._sink = sink
        self._budget = ByteBudget(bytes_per_s)
        self._control = control or ControlBudget()
        self._links: dict[UpstreamId, _Link] = {}
        self._asked_at_s = 0.0
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Poll in the background."""
        for _ in range(POLLER_THREADS):
            threading.Thread(target=self._run, name="load-poller", daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def poll_now(self, upstream: UpstreamDeclaration) -> LoadReport | None:
        """Ask one upstream at once, or give None where it doesn't report."""
        state = self._table.find(upstream.id)
        if state is None:
            return None
        with self._lock:
            link = self._link_to(state)
        match link.client.send("GET", "/load"):
            case Ok(reply):
                return self._take_reply(upstream.id, link, reply)
            case Err(failure):
                self._take_failure(upstream.id, link, failure)
                return None

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait_s = self._budget.wait_s(time.monotonic())
            upstream = self._pick() if wait_s <= 0 else None
            if upstream is None:
                self._stopped.wait(max(IDLE_WAIT_S, wait_s))
                continue
            self._ask(upstream)

    def _pick(self) -> Upstream | None:
        usable = self._table.all_usable()
        now_s = time.monotonic()
        with self._lock:
            due = [each for each in usable if self._is_due(each, now_s)]
            due = self._allowed(due, now_s)
            if not due:
                return None
            oldest = min(due, key=self._last_heard_at_s)
            link = self._links[oldest.declaration.id]
            link.is_busy = True
            link.asked_at_s = self._asked_at_s = now_s
            return oldest

    def _allowed(self, due: list[Upstream], now_s: float) -> list[Upstream]:
        """Give those that may be asked while other control traffic needs its bytes."""
        is_any_allowed = self._control.allows(TrafficClass.POLL)
        if is_any_allowed or now_s - self._asked_at_s >= LONGEST_GAP_S:
            return due
        has_room = self._control.allows(TrafficClass.POLL_NEEDED)
        return [each for each in due if self._is_first(each) or (has_room and _is_needed(each))]

    def _is_first(self, upstream: Upstream) -> bool:
        return self._links[upstream.declaration.id].asked_at_s == 0.0

    def _is_due(self, upstream: Upstream, now_s: float) -> bool:
        link = self._link_to(upstream)
        return not link.is_busy and now_s - self._last_heard_at_s(upstream) > FRESH_ENOUGH_S

    def _last_heard_at_s(self, upstream: Upstream) -> float:
        return max(upstream.received_at_s, self._links[upstream.declaration.id].asked_at_s)

    def _link_to(self, upstream: Upstream) -> _Link:
        declaration = upstream.declaration
        link = self._links.get(declaration.id)
        if link is None or link.address != declaration.address:
            link = self._links[declaration.id] = _Link(declaration.address)
        return link

    def _ask(self, upstream: Upstream) -> None:
        upstream_id = upstream.declaration.id
        link = self._links[upstream_id]
        try:
            match link.client.send("GET", "/load"):
                case Ok(reply):
                    self._take_reply(upstream_id, link, reply)
                case Err(failure):
                    self._take_failure(upstream_id, link, failure)
        finally:
            link.is_busy = False

    def _take_reply(self, upstream_id: UpstreamId, link: _Link, reply: Reply) -> LoadReport | None:
        self._spend(REQUEST_BYTES + _reply_bytes(reply))
        report = parse_load_report(reply.body) if reply.status == HTTP_OK else None
        if report is not None:
            link.failures = 0
            self._sink.record_report(upstream_id, report)
        return report

    def _take_failure(
        self, upstream_id: UpstreamId, link: _Link, failure: TransportFailure
    ) -> None:
        self._spend(REQUEST_BYTES)
        link.replace_connection()
        link.failures += 1
        is_gone = not failure.was_sent
        if is_gone or link.failures >= SILENT_AFTER_FAILURES:
            self._sink.record_unresponsive(upstream_id, is_gone)

    def _spend(self, spent_bytes: int) -> None:
        self._budget.spend(spent_bytes, time.monotonic())
        self._control.spend(spent_bytes)


def _is_needed(upstream: Upstream) -> bool:
    return upstream.is_silent or upstream.view is not UpstreamView.WARM


def _reply_bytes(reply: Reply) -> int:
    header_bytes = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in reply.headers.items()
    )
    return header_bytes + len(reply.body)
