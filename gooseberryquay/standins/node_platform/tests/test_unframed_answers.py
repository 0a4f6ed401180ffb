"""Answers that end with their connection, and how their upstreams and links break them off."""

import random
import threading

import pytest

from gooseberryquay.standins.node_platform.call_result import CallEnd, CallKind
from gooseberryquay.standins.node_platform.caller_connection import CallerConnection
from gooseberryquay.standins.node_platform.end_faults import EndFaults
from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.soak_callers import call_once
from gooseberryquay.standins.node_platform.upstream_crash import CrashMode
from gooseberryquay.standins.node_platform.upstream_server import (
    ModelEngine,
    PlainService,
    UpstreamFaults,
)
from gooseberryquay.standins.proxy_messages import CutConnections, SilenceConnections

TIMEOUT_S = 3.0
LAST = 20
TOKENS = {"X-Token-Usage": f"100,{LAST * 4}"}
EVENTS = b"".join(b"id: %d\ndata: r v1\n\n" % number for number in range(1, LAST + 1))


def _call(port, path="/note/r", body=b""):
    connection = CallerConnection(port, TIMEOUT_S)
    result = connection.exchange(path, {"Host": "h", "X-Attempt-Id": "r", **TOKENS}, body)
    connection.close()
    return result


def _call_while(port, act, after_s=0.1):
    timer = threading.Timer(after_s, act)
    timer.start()
    result = _call(port)
    timer.join()
    return result


def _is_seen_as_broken(result):
    return result.end is CallEnd.CLOSED or not result.body.endswith(b"\n\n")


@pytest.fixture
def engine():
    made = ModelEngine("i-1", RunRecord(), random.Random(1), {})
    made.is_unframed = True
    made.start()
    yield made
    made.stop()


@pytest.fixture
def service():
    made = PlainService("i-1", RunRecord(), random.Random(1))
    made.is_unframed = True
    made.start()
    yield made
    made.stop()


@pytest.fixture
def site():
    made = Site(random.Random(1), has_proxies=True)
    made.on_added = lambda upstream: setattr(upstream, "is_unframed", True)
    made.start(engines=1, services=1)
    yield made
    made.stop()


def test_unframed_answers_end_with_their_connection(engine, service):
    stream, plain = _call(engine.port), _call(service.port, "/post/r")
    for each in (stream, plain):
        assert not {"content-length", "transfer-encoding"} & set(each.headers)
        assert each.headers["connection"] == "close"
    assert (stream.end, stream.body) == (CallEnd.COMPLETE, EVENTS)
    assert (plain.end, plain.body) == (CallEnd.COMPLETE, b"done r")
    assert engine.record.last_event_of("r") == LAST


def test_unframed_stream_that_its_engine_cuts_is_seen_as_broken(engine):
    engine.faults = UpstreamFaults(cut_share=1.0)
    results = [_call(engine.port) for _ in range(20)]
    assert all(map(_is_seen_as_broken, results))
    assert {each.end for each in results} == {CallEnd.CLOSED, CallEnd.COMPLETE}


@pytest.mark.parametrize("mode", [CrashMode.AT_ARRIVAL, CrashMode.MIDWAY])
def test_unframed_stream_of_an_engine_that_crashes_is_seen_as_broken(engine, mode):
    assert _is_seen_as_broken(_call_while(engine.port, lambda: engine.crash(mode)))


def test_unframed_stream_of_an_engine_that_stops_is_seen_as_broken(engine):
    assert _is_seen_as_broken(_call_while(engine.port, engine.stop))


def test_unframed_stream_of_bytes_without_end_is_seen_as_broken(engine):
    engine.endless_piece = b"\n\n"
    result = _call_while(engine.port, lambda: setattr(engine, "endless_piece", None))
    assert result.end is CallEnd.CLOSED


def test_unframed_answer_that_its_service_loses_is_seen_as_broken(service):
    service.faults = UpstreamFaults(lose_answer_share=1.0)
    assert [_call(service.port, "/post/r").end for _ in range(5)] == [CallEnd.CLOSED] * 5


@pytest.mark.parametrize("fault", [CutConnections(), SilenceConnections()])
def test_unframed_stream_on_a_link_that_breaks_is_seen_as_broken(site, fault):
    (engine,) = site.engines.values()
    proxy = site.proxies[engine.id]

    def break_link():
        proxy.apply_fault(fault)
        proxy.apply_fault(CutConnections())

    assert _is_seen_as_broken(_call_while(proxy.port, break_link))


def test_unframed_stream_of_an_engine_that_is_removed_is_seen_as_broken(site):
    (engine,) = site.engines.values()
    port = site.proxies[engine.id].port
    assert _is_seen_as_broken(_call_while(port, lambda: site.remove(engine.id)))


def test_reset_of_an_engine_passes_its_link_and_its_orderly_close_does_too(site):
    (engine,) = site.engines.values()
    port = site.proxies[engine.id].port
    whole = _call(port)
    assert (whole.end, whole.body) == (CallEnd.COMPLETE, EVENTS)
    assert _is_seen_as_broken(_call_while(port, lambda: engine.crash(CrashMode.MIDWAY)))


@pytest.mark.parametrize("is_unframed", [False, True])
def test_caller_of_a_soak_counts_the_events_of_a_stream_that_looks_complete(engine, is_unframed):
    engine.is_unframed = is_unframed
    result = call_once(engine.port, CallKind.CHECK, random.Random(1))
    assert result.events == (1, 2)


def test_seed_draws_the_same_ends_again_whatever_the_order_of_upstreams():
    engines = [
        ModelEngine(f"i-{number}", RunRecord(), random.Random(1), {}) for number in range(40)
    ]

    def drawn(faults):
        for each in engines:
            faults.prepare(each)
        return {each.id: (each.is_unframed, each.final_copy_answer) for each in engines}

    first = drawn(EndFaults(1, Site(random.Random(1)), lambda _wait_s, _act: None))
    engines.reverse()
    assert drawn(EndFaults(1, Site(random.Random(1)), lambda _wait_s, _act: None)) == first
    assert len({is_unframed for is_unframed, _ in first.values()}) == 2
    assert len({answer for _, answer in first.values()}) > 5
