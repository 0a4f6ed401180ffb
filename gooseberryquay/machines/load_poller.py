"""Poll upstreams for their load within a byte budget, oldest report first."""

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
POLL_INTERVAL_MIN_S = 0.5
IDLE_WAIT_S = 0.1
READ_TIMEOUT_S = 1.0
# One poll per gap of this length uses about 0.5 KB/s.
POLL_GAP_MAX_S = 0.7
UNRESPONSIVE_AFTER_FAILURES = 2
REQUEST_BYTES = 140
HEADER_OVERHEAD_BYTES = 4
HTTP_OK = 200


@dataclass(frozen=True)
class ReportSink:
    """Callbacks for load reports and for unresponsive upstreams.

    The second argument of `on_unresponsive` is true if the connection failed before sending.
    """

    on_report: Callable[[UpstreamId, LoadReport], None]
    on_unresponsive: Callable[[UpstreamId, bool], None]


class _PollTarget:
    """Connection to one upstream and its count of consecutive failures."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.polled_at_s = 0.0
        self.failures = 0
        self.is_busy = False
        self.client = self._connect()

    def replace_connection(self) -> None:
        self.client.close()
        self.client = self._connect()

    def _connect(self) -> HttpClient:
        return HttpClient(self.address.host, self.address.port, read_timeout_s=READ_TIMEOUT_S)


class LoadPoller:
    """Poll the upstreams of one entry; reports piggybacked on responses replace polls.

    Polls have lower priority than other control traffic in `control`, with three exceptions: the
    first poll of each upstream is always sent, polls of upstreams not known to be warm yield
    last, and one poll is sent at least every `POLL_GAP_MAX_S`.
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
        self._poll_targets: dict[UpstreamId, _PollTarget] = {}
        self._last_poll_at_s = 0.0
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
        """Poll one upstream immediately; return None if it sends no report."""
        state = self._table.find(upstream.id)
        if state is None:
            return None
        with self._lock:
            poll_target = self._poll_target_for(state)
        match poll_target.client.send("GET", "/load"):
            case Ok(reply):
                return self._handle_reply(upstream.id, poll_target, reply)
            case Err(failure):
                self._handle_failure(upstream.id, poll_target, failure)
                return None

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait_s = self._budget.wait_s(time.monotonic())
            upstream = self._pick() if wait_s <= 0 else None
            if upstream is None:
                self._stopped.wait(max(IDLE_WAIT_S, wait_s))
                continue
            self._poll(upstream)

    def _pick(self) -> Upstream | None:
        usable = self._table.all_usable()
        now_s = time.monotonic()
        with self._lock:
            due = [each for each in usable if self._is_due(each, now_s)]
            due = self._within_control_budget(due, now_s)
            if not due:
                return None
            oldest = min(due, key=self._last_contact_at_s)
            poll_target = self._poll_targets[oldest.declaration.id]
            poll_target.is_busy = True
            poll_target.polled_at_s = self._last_poll_at_s = now_s
            return oldest

    def _within_control_budget(self, due: list[Upstream], now_s: float) -> list[Upstream]:
        """Return the upstreams that may be polled within the budget for control traffic."""
        is_any_allowed = self._control.allows(TrafficClass.POLL)
        if is_any_allowed or now_s - self._last_poll_at_s >= POLL_GAP_MAX_S:
            return due
        has_room = self._control.allows(TrafficClass.POLL_NEEDED)
        return [each for each in due if self._is_unpolled(each) or (has_room and _is_needed(each))]

    def _is_unpolled(self, upstream: Upstream) -> bool:
        return self._poll_targets[upstream.declaration.id].polled_at_s == 0.0

    def _is_due(self, upstream: Upstream, now_s: float) -> bool:
        poll_target = self._poll_target_for(upstream)
        return (
            not poll_target.is_busy
            and now_s - self._last_contact_at_s(upstream) > POLL_INTERVAL_MIN_S
        )

    def _last_contact_at_s(self, upstream: Upstream) -> float:
        return max(upstream.received_at_s, self._poll_targets[upstream.declaration.id].polled_at_s)

    def _poll_target_for(self, upstream: Upstream) -> _PollTarget:
        declaration = upstream.declaration
        poll_target = self._poll_targets.get(declaration.id)
        if poll_target is None or poll_target.address != declaration.address:
            poll_target = self._poll_targets[declaration.id] = _PollTarget(declaration.address)
        return poll_target

    def _poll(self, upstream: Upstream) -> None:
        upstream_id = upstream.declaration.id
        poll_target = self._poll_targets[upstream_id]
        try:
            match poll_target.client.send("GET", "/load"):
                case Ok(reply):
                    self._handle_reply(upstream_id, poll_target, reply)
                case Err(failure):
                    self._handle_failure(upstream_id, poll_target, failure)
        finally:
            poll_target.is_busy = False

    def _handle_reply(
        self, upstream_id: UpstreamId, poll_target: _PollTarget, reply: Reply
    ) -> LoadReport | None:
        self._spend(REQUEST_BYTES + _reply_bytes(reply))
        report = parse_load_report(reply.body) if reply.status == HTTP_OK else None
        if report is not None:
            poll_target.failures = 0
            self._sink.on_report(upstream_id, report)
        return report

    def _handle_failure(
        self, upstream_id: UpstreamId, poll_target: _PollTarget, failure: TransportFailure
    ) -> None:
        self._spend(REQUEST_BYTES)
        poll_target.replace_connection()
        poll_target.failures += 1
        is_unreachable = not failure.was_sent
        if is_unreachable or poll_target.failures >= UNRESPONSIVE_AFTER_FAILURES:
            self._sink.on_unresponsive(upstream_id, is_unreachable)

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
