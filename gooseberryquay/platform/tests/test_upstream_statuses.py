"""Engines, services and a store that answer with a status that is none of HTTP's."""

import contextlib
import http.client
import re
import time

import pytest
from result import Err

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import RequestId
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.forwarding_server import ForwardingServer
from gooseberryquay.links.platform_client import OutcomeUnknown, PlatformUnreachable
from gooseberryquay.links.tests.status_builders import (
    FRAMINGS,
    ODD_STATUSES,
    AnsweringServer,
    build_answer,
)
from gooseberryquay.links.upstream_connection import UpstreamConnection
from gooseberryquay.platform.frontend import Frontend
from gooseberryquay.platform.http_upstream_client import HttpUpstreamClient
from gooseberryquay.platform.store import StoreClient, StoreObjectSource
from gooseberryquay.platform.store_era import StoreEra
from gooseberryquay.serving.object_source import SourceFailure
from gooseberryquay.serving.ports import MoveFailure, MoveRefusal
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    KEY,
    LEDGER,
    build_path,
    build_record,
    build_request_handler,
    build_route,
    build_routing,
    events,
)

TIMEOUT_S = 5.0
ATTEMPT_ID = re.compile(rb"\r\nx-attempt-id: ([^\r]+)", re.IGNORECASE)
ROUTES = {
    "idempotent": build_route(RouteKind.IDEMPOTENT),
    "non-idempotent": build_route(RouteKind.NON_IDEMPOTENT),
    "stream once": build_route(RouteKind.STREAMING),
    "stream resumable": build_route(RouteKind.STREAMING, is_resumable=True),
}
ONCE = {"non-idempotent", "stream once"}

ODD = pytest.mark.parametrize("status", ODD_STATUSES)
FRAMED = pytest.mark.parametrize("framing", FRAMINGS)
ROUTED = pytest.mark.parametrize("route", ROUTES)


def _runs(upstream):
    """Return the requests of callers, without moves and reports."""
    return [each for each in upstream.requests if ATTEMPT_ID.search(each)]


def _sealed(request, status, framing):
    found = ATTEMPT_ID.search(request)
    if found is None:
        return build_answer(404)
    id = found[1]
    headers = [b"X-Attempt-Id: " + id, b"X-Response-Seal: " + id + b".s", b"Retry-After: 1"]
    return build_answer(status, framing, events(1, 3), headers)


def _call(address, route):
    """Send one request through the serving path; return the status and the body."""
    service = {} if route.kind is RouteKind.STREAMING else {"service": LEDGER}
    records = [build_record(f"i-{n}", address=address, **service) for n in range(2)]
    path = build_path(records, HttpUpstreamClient(ConnectionPool(1.0, 4.0)))
    handler = build_request_handler(path, build_routing(route))
    forward = Frontend(handler.serve, contextlib.nullcontext).forward
    server = ForwardingServer("127.0.0.1", 0, forward, 16384, 100_000)
    server.start()
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=TIMEOUT_S)
    headers = {"Host": "a.example", "X-Attempt-Id": "r-1", "Authorization": f"Bearer {KEY}"}
    headers |= {"X-Deadline-Ms": "2000", "X-Model": "m", "X-Token-Usage": "100,40"}
    try:
        connection.request("POST", "/x/1", b"{}", headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
        server.stop()


@ODD
@FRAMED
@ROUTED
def test_odd_status_is_never_passed_on(status, framing, route):
    with AnsweringServer(lambda request: _sealed(request, status, framing)) as upstream:
        answered, body = _call(upstream.address, ROUTES[route])
    assert answered == http.client.BAD_GATEWAY
    assert events(1, 1) not in body
    runs = len(_runs(upstream))
    assert runs == 1 if route in ONCE else 1 <= runs <= ROUTES[route].attempts_max


@ODD
@ROUTED
def test_request_with_an_odd_answer_runs_elsewhere_only_if_it_may_run_again(status, route):
    def answer(request):
        is_first = len(_runs(upstream)) == 1
        return _sealed(request, status if is_first else 200, "length")

    with AnsweringServer(answer) as upstream:
        answered, body = _call(upstream.address, ROUTES[route])
    if route in ONCE:
        assert (answered, len(_runs(upstream))) == (http.client.BAD_GATEWAY, 1)
    else:
        assert (answered, body, len(_runs(upstream))) == (200, events(1, 3), 2)


@ODD
@FRAMED
def test_move_with_an_odd_answer_may_have_stopped_its_run(status, framing):
    reply = build_answer(status, framing, b'{"handle": "h-1", "created": 3}')
    with AnsweringServer(lambda _request: reply) as engine:
        source = build_record("i-0", address=engine.address)
        target = Address("127.0.0.1", 1)
        client = HttpUpstreamClient(ConnectionPool(1.0, 4.0))
        until_s = time.monotonic() + TIMEOUT_S
        moved = client.move(source, RequestId("r-1"), target, True, until_s)
    match moved:
        case Err(MoveFailure(MoveRefusal.FAILED)):
            pass
        case other:
            raise AssertionError(other)


@ODD
@FRAMED
def test_report_with_an_odd_status_is_no_report(status, framing):
    reply = build_answer(status, framing, b'{"state": "draining"}', [b"Server-Leaving: 1"])
    with AnsweringServer(lambda _request: reply) as engine:
        record = build_record("i-0", address=engine.address)
        client = HttpUpstreamClient(ConnectionPool(1.0, 4.0))
        assert client.is_leaving(record, time.monotonic() + TIMEOUT_S) is None


@ODD
def test_head_with_an_odd_status_that_is_carried_for_a_peer_tells_nothing(status):
    record = build_record("i-0", address=Address("127.0.0.1", 1))
    connection = UpstreamConnection(record.address, 1.0, 4.0)
    head = build_answer(status, headers=[b"Server-Leaving: 1"])
    client = HttpUpstreamClient(ConnectionPool(1.0, 4.0))
    assert client.parse_head(record, head, connection) is None


@ODD
@FRAMED
def test_store_that_answers_with_an_odd_status_may_have_written(status, framing):
    reply = build_answer(status, framing, b"{}", [b"Store-Era: 9"])
    with AnsweringServer(lambda _request: reply) as store:
        era = StoreEra()
        client = StoreClient(ConnectionPool(1.0, 4.0), store.address, era)
        for version in (0, 1):
            match client.write("kind/name", "{}", version):
                case Err(OutcomeUnknown()):
                    pass
                case other:
                    raise AssertionError(other)
        assert isinstance(client.read("kind/name").unwrap_err(), PlatformUnreachable)
    assert era.current == 0


@ODD
def test_list_with_an_odd_status_is_not_read(status):
    reply = build_answer(status, body=b'{"items": [], "at": 1}')
    with AnsweringServer(lambda _request: reply) as store:
        source = StoreObjectSource(ConnectionPool(1.0, 4.0), store.address, "servers", StoreEra())
        assert source.list() == Err(SourceFailure.UNREACHABLE)
        assert source.watch(0, 0.0) == Err(SourceFailure.UNREACHABLE)


@pytest.mark.parametrize("route", ["idempotent", "non-idempotent"])
@pytest.mark.parametrize("status", [299, 499, 599])
def test_rare_status_of_a_known_class_is_passed_on(status, route):
    with AnsweringServer(lambda request: _sealed(request, status, "length")) as upstream:
        assert _call(upstream.address, ROUTES[route]) == (status, events(1, 3))
