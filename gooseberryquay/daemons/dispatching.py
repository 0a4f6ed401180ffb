"""Upstream selection of one entry: load, queue, cold starts and retries."""

from gooseberryquay.contracts.settings import Settings
from gooseberryquay.daemons.cluster import Cluster
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_server import Router
from gooseberryquay.machines.cold_admission import ColdAdmission, ColdAdmissionCallbacks
from gooseberryquay.machines.cold_notice import ColdNotices
from gooseberryquay.machines.cold_record import SlotHolder
from gooseberryquay.machines.cold_store import SlotStore
from gooseberryquay.machines.dispatcher import WorkDispatcher
from gooseberryquay.machines.first_reports import FirstReports
from gooseberryquay.machines.load_poller import LoadPoller, ReportSink
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.subset import SubsetRule
from gooseberryquay.machines.suspect_reports import SuspectReports
from gooseberryquay.machines.upstream_failures import UpstreamFailures
from gooseberryquay.machines.upstream_table import UpstreamTable
from gooseberryquay.reports.entry_status import UpstreamStatus

__all__ = ["Dispatching"]


class Dispatching:
    """Connect the dispatcher to load reports and to the slots of cold upstreams."""

    def __init__(self, settings: Settings, cluster: Cluster) -> None:
        this_entry = cluster.membership.this_entry()
        subset = SubsetRule(this_entry.id, settings.choice.subset_size)
        self._table = table = UpstreamTable(cluster.configuration, subset)
        self.first_reports = FirstReports(table)
        failures = UpstreamFailures(table, cluster.suspects)
        self.suspect_reports = SuspectReports(cluster.suspects, failures.recent)
        self._cold = ColdAdmission(
            SlotStore(cluster.platform), lambda: _slot_holder(cluster), table
        )
        self.dispatcher = WorkDispatcher(
            table=table,
            settings=settings.choice,
            slots=self._cold,
            entry_count=cluster.entry_count,
            queue_length_max=settings.limits.queue_length_max,
            on_turned_cold=self._announce_cold,
        )
        self._notices = ColdNotices(cluster.membership, self.dispatcher.record_cold)
        sink = ReportSink(self.dispatcher.record_report, self.dispatcher.record_unresponsive)
        self._poller = LoadPoller(table, sink, settings.choice.poll_bytes_per_s, cluster.budget)
        self._cold_callbacks = ColdAdmissionCallbacks(
            fresh_report=self._poller.poll_now,
            entry_count=cluster.entry_count,
            capacity_changed=self.dispatcher.capacity_changed,
        )
        self.retries = RetryBudget(settings.limits.retry_budget_ratio)

    def add_routes(self, router: Router) -> None:
        """Register the paths that other entries call."""
        self._notices.add_routes(router)

    def upstream_statuses(self) -> tuple[UpstreamStatus, ...]:
        """Return this entry's view of each upstream that may get work."""
        return tuple(
            UpstreamStatus(
                id=each.declaration.id,
                service=each.declaration.service,
                zone=each.declaration.zone,
                view=each.view.value,
                is_silent=each.is_silent,
                own_in_flight=each.own_in_flight,
            )
            for each in self._table.all_usable()
        )

    def start(self) -> None:
        """Start polling upstreams for their load."""
        self._notices.start()
        self._poller.start()
        self._cold.start(self._cold_callbacks)
        self.suspect_reports.start()

    def stop(self) -> None:
        """Release cold slots and stop polling."""
        self.suspect_reports.stop()
        self._cold.stop()
        self._notices.stop()
        self._poller.stop()

    def _announce_cold(self, upstream: UpstreamId) -> None:
        self._notices.announce(upstream)


def _slot_holder(cluster: Cluster) -> SlotHolder:
    # Read for each call, as the incarnation may change while the entry joins the cluster.
    this_entry = cluster.membership.this_entry()
    return SlotHolder(entry=this_entry.id, incarnation=this_entry.incarnation)
