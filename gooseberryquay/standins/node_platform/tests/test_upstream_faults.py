"""Upstreams that run a request and then answer against the protocol, and their broken links."""

import random

import pytest

from gooseberryquay.standins.node_platform.call_result import CallEnd
from gooseberryquay.standins.node_platform.caller_connection import CallerConnection
from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_server import (
    AnswerFaults,
    ModelEngine,
    PlainService,
    UpstreamFaults,
)
from gooseberryquay.standins.proxy_messages import CutConnections

TIMEOUT_S = 3.0
TOKENS = {"X-Token-Usage": "100,80"}


def _service(record):
    return PlainService("i-1", record, random.Random(1))


def _engine(record):
    return ModelEngine("i-1", record, random.Random(1), {})


def _call(port, request="r"):
    connection = CallerConnection(port, TIMEOUT_S)
    result = connection.exchange(
        f"/post/{request}", {"Host": "h", "X-Attempt-Id": request, **TOKENS}, b""
    )
    connection.close()
    return result


@pytest.fixture(params=[_service, _engine], ids=["service", "engine"])
def upstream(request):
    made = request.param(RunRecord())
    made.start()
    yield made
    made.stop()


def test_unmarked_refusal_comes_after_a_run_with_each_status_that_promises_none(upstream):
    upstream.answer_faults = AnswerFaults(unmarked_refusal_share=1.0)
    requests = [f"r-{number}" for number in range(40)]
    results = [_call(upstream.port, each) for each in requests]
    assert {each.status for each in results} == {408, 421, 429, 503}
    assert all("x-not-executed" not in each.headers for each in results)
    assert all(upstream.record.runs_of(each) == ["i-1"] for each in requests)
    assert [upstream.record.sealed_statuses_of(each) for each in requests] == [
        [each.status] for each in results
    ]


@pytest.mark.parametrize("shed_share", [0.0, 1.0])
def test_response_that_stops_within_its_head_is_never_complete(upstream, shed_share):
    upstream.answer_faults = AnswerFaults(head_cut_share=1.0)
    upstream.faults = UpstreamFaults(shed_share=shed_share)
    assert {_call(upstream.port).end for _ in range(20)} == {CallEnd.CLOSED}
    assert bool(upstream.record.runs_of("r")) == (not shed_share)


def test_operation_lasts_as_long_at_each_service_and_stays_in_its_range():
    first, second = _service(RunRecord()), _service(RunRecord())
    first.work_range_s = second.work_range_s = (0.03, 2.4)
    requests = [f"r-{number}" for number in range(200)]
    lasts_s = [first._work_s(each) for each in requests]
    assert lasts_s == [second._work_s(each) for each in requests]
    assert min(lasts_s) < 0.06 and 1.2 < max(lasts_s) <= 2.4


def test_stream_on_a_link_that_breaks_counts_as_broken_off_and_a_later_one_does_not():
    site = Site(random.Random(1), has_proxies=True)
    site.start(engines=1, services=0)
    try:
        (engine,) = site.upstreams()
        assert _call(site.proxies[engine.id].port, "before").status == 200
        engine.record_broken_link()
        site.proxies[engine.id].apply_fault(CutConnections())
        assert _call(site.proxies[engine.id].port, "after").status == 200
        assert site.record.was_broken_off("before")
        assert not site.record.was_broken_off("after")
    finally:
        site.stop()


def test_stream_that_ended_on_the_link_of_an_upstream_that_is_removed_counts_as_broken_off():
    site = Site(random.Random(1), has_proxies=True)
    site.start(engines=1, services=0)
    try:
        (engine,) = site.upstreams()
        assert _call(site.proxies[engine.id].port, "before").status == 200
        site.remove(engine.id)
        assert site.record.was_broken_off("before")
    finally:
        site.stop()


def test_proxy_of_an_upstream_that_is_removed_refuses_connections():
    site = Site(random.Random(1), has_proxies=True)
    site.start(engines=1, services=1)
    try:
        for id in [each.id for each in site.upstreams()]:
            port = site.proxies[id].port
            assert _call(port).status == 200
            site.remove(id)
            assert _call(port).end is CallEnd.NOT_SENT
    finally:
        site.stop()
