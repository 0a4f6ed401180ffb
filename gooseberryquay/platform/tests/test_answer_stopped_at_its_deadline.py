"""Upstreams that stop work at the deadline they were handed, in answers without framing."""

import re
import time

import pytest

from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.tests.scripted_server import ScriptedServer
from gooseberryquay.platform.http_upstream_client import HttpUpstreamClient
from gooseberryquay.platform.tests.answer_builders import UNFRAMED_HEAD
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    LEDGER,
    Recorder,
    build_path,
    build_record,
    build_request,
    build_route,
    event,
)
from gooseberryquay.serving.whole_answer import WholeAnswer

REQUESTS = 30
TIMEOUT_S = 0.1
MS_PER_S = 1000.0


@pytest.fixture
def upstream():
    def answer(connection, _number):
        received = connection.recv(65536)
        if not received:
            return
        stops_at_s = time.monotonic() + _deadline_ms(received) / MS_PER_S
        connection.sendall(UNFRAMED_HEAD + event(1))
        time.sleep(max(0.0, stops_at_s - time.monotonic()))
        connection.close()

    server = ScriptedServer(answer)
    yield server
    server.stop()


def _deadline_ms(received):
    return int(re.search(rb"x-deadline-ms: (\d+)", received, re.IGNORECASE).group(1))


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT])
def test_answer_that_its_upstream_stopped_at_the_deadline_is_not_whole(upstream, kind):
    ends = [_call(upstream, kind) for _ in range(REQUESTS)]
    assert sum(isinstance(each, WholeAnswer) for each in ends) == 0


def _call(upstream, kind):
    path = build_path(
        [build_record("app-1", LEDGER, address=upstream.address)],
        HttpUpstreamClient(ConnectionPool(1.0, 4.0)),
    )
    route = build_route(kind, timeout_s=TIMEOUT_S, goal_s=TIMEOUT_S / 4)
    return path.call_handler.serve(build_request(route))


def test_stream_that_its_engine_stopped_at_the_deadline_is_not_complete(upstream):
    callers = [_read(upstream) for _ in range(REQUESTS)]
    assert sum(each.is_complete for each in callers) == 0


def _read(upstream):
    path = build_path(
        [build_record("engine-0", address=upstream.address)],
        HttpUpstreamClient(ConnectionPool(1.0, 4.0)),
    )
    caller = Recorder()
    route = build_route(RouteKind.STREAMING, timeout_s=TIMEOUT_S)
    path.generation_handler.serve(build_request(route, caller))
    return caller
