import time

from gooseberryquay.machines.first_reports import KNOWN_PER_SERVICE, FirstReports
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.tests.choice_builders import (
    SERVICE,
    MutableConfiguration,
    build_configuration,
    build_table,
    build_upstream,
)


def _table(count):
    declared = [build_upstream(number) for number in range(count)]
    return build_table(MutableConfiguration(build_configuration(declared)))


def test_one_report_of_many_is_not_enough():
    table = _table(9)
    first = FirstReports(table)
    upstreams = table.usable(SERVICE)
    for known, upstream in enumerate(upstreams[:KNOWN_PER_SERVICE]):
        assert not first.has_enough(), known
        upstream.update_report(LoadReport(), time.monotonic())
    assert first.has_enough()


def test_silent_upstreams_are_not_waited_for():
    table = _table(2)
    for upstream in table.usable(SERVICE):
        upstream.is_silent = True
    assert FirstReports(table).has_enough()


def test_missing_reports_are_waited_for_a_bounded_time():
    first = FirstReports(_table(2), timeout_s=0.05)
    assert not first.has_enough()
    time.sleep(0.1)
    assert first.has_enough()
