import time

import pytest

from gooseberryquay.machines.suspect_messages import Verdict
from gooseberryquay.machines.suspect_reports import ZONE_FAILURE_SPAN_S, SuspectReports
from gooseberryquay.machines.tests.choice_builders import (
    SERVICE,
    MutableConfiguration,
    build_configuration,
    build_dispatcher,
    build_table,
    build_upstream,
)
from gooseberryquay.machines.tests.member_builders import wait_until
from gooseberryquay.machines.upstream_failures import UpstreamFailures

HIT, SAME_ZONE, OTHER_ZONE = build_upstream(0), build_upstream(3), build_upstream(1)


class ReportingEntry:
    """Suspects and failed upstreams as known to one entry."""

    def __init__(self, suspects):
        configuration = MutableConfiguration(build_configuration([HIT, SAME_ZONE, OTHER_ZONE]))
        self.table = build_table(configuration)
        self.table.usable(SERVICE)
        self.dispatcher = build_dispatcher(configuration, table=self.table)
        self.suspects = suspects
        self.reports = SuspectReports(suspects, UpstreamFailures(self.table, suspects).recent)

    def withdraw(self):
        self.reports.withdraw(time.monotonic() + ZONE_FAILURE_SPAN_S)


@pytest.fixture
def entry(fleet, platform):
    return ReportingEntry(fleet("entry-0").add_suspects(platform))


def test_request_hit_by_the_only_death_stays_a_suspect(entry):
    entry.reports.upstream_died(HIT, "request")
    entry.withdraw()
    assert entry.suspects.verdict("request") is Verdict.ALONE


def test_zone_failure_that_hit_requests_at_one_upstream_only_is_seen_by_refused_polls(entry):
    entry.reports.upstream_died(HIT, "request")
    entry.dispatcher.record_unresponsive(SAME_ZONE.id, True)
    entry.withdraw()
    assert entry.suspects.verdict("request") is Verdict.NORMAL


def test_upstream_gone_in_another_zone_explains_nothing(entry):
    entry.reports.upstream_died(HIT, "request")
    entry.dispatcher.record_unresponsive(OTHER_ZONE.id, True)
    entry.withdraw()
    assert entry.suspects.verdict("request") is Verdict.ALONE


def test_upstream_that_was_gone_before_explains_nothing(entry):
    entry.dispatcher.record_unresponsive(SAME_ZONE.id, True)
    entry.table.find(SAME_ZONE.id).unreachable_since_s -= 60.0
    entry.dispatcher.record_unresponsive(SAME_ZONE.id, True)
    entry.reports.upstream_died(HIT, "request")
    entry.withdraw()
    assert entry.suspects.verdict("request") is Verdict.ALONE


def test_zone_failure_is_seen_by_a_death_that_another_entry_reports(fleet, platform):
    members = [fleet("entry-0")]
    members.append(fleet("entry-1", members[0]))
    wait_until(lambda: all(len(member.names()) == len(members) for member in members))
    entry, other = [ReportingEntry(member.add_suspects(platform)) for member in members]
    entry.reports.upstream_died(HIT, "request")
    other.reports.upstream_died(SAME_ZONE, "request of another entry")
    wait_until(lambda: SAME_ZONE.id in entry.suspects.death_ages_s())
    entry.withdraw()
    assert entry.suspects.verdict("request") is Verdict.NORMAL


def test_request_hit_at_two_upstreams_of_a_zone_is_not_withdrawn(entry):
    entry.reports.upstream_died(HIT, "poison")
    entry.reports.upstream_died(SAME_ZONE, "poison")
    entry.withdraw()
    assert entry.suspects.verdict("poison") is Verdict.REFUSED
