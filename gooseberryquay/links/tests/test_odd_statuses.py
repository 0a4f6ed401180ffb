"""A status that is none of HTTP's is no answer, and proves nothing of its request."""

import time

import pytest
from result import Ok

from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import BufferedRequest, exchange
from gooseberryquay.links.relayed_connection import RelayedConnection
from gooseberryquay.links.tests.status_builders import (
    FRAMINGS,
    ODD_STATUSES,
    AnsweringServer,
    build_answer,
)
from gooseberryquay.links.transport_failure import ConnectionBroken
from gooseberryquay.links.upstream_connection import UpstreamConnection

TIMEOUT_S = 2.0
PROPER_STATUSES = [200, 204, 299, 304, 421, 499, 500, 503, 599]
HEADERS = [("host", "a.example"), ("content-length", "2")]

ODD = pytest.mark.parametrize("status", ODD_STATUSES)
FRAMED = pytest.mark.parametrize("framing", FRAMINGS)


def _read_head(connection):
    until_s = time.monotonic() + TIMEOUT_S
    assert connection.connect(TIMEOUT_S) is None
    assert connection.send("POST", "/x", HEADERS, b"{}", until_s) is None
    try:
        return connection.read_head(NullCallerWatch(), until_s)
    finally:
        connection.close()


def _direct(answer):
    with AnsweringServer(lambda _request: answer) as server:
        return _read_head(UpstreamConnection(server.address, TIMEOUT_S, TIMEOUT_S))


def _through_peer(peer_answer):
    with AnsweringServer(lambda _request: peer_answer) as server:
        connection = RelayedConnection(server.address, TIMEOUT_S, 0.0, upstream="i-1")
        return _read_head(connection)


@ODD
@FRAMED
def test_upstream_that_answers_with_an_odd_status_may_have_run_the_request(status, framing):
    failure = _direct(build_answer(status, framing)).unwrap_err()
    assert isinstance(failure, ConnectionBroken) and failure.was_sent


@ODD
@FRAMED
def test_odd_status_that_a_peer_passes_on_is_no_answer(status, framing):
    carried = build_answer(200, "chunks", body=build_answer(status, framing))
    failure = _through_peer(carried).unwrap_err()
    assert isinstance(failure, ConnectionBroken) and failure.was_sent


@ODD
@FRAMED
def test_peer_that_answers_with_an_odd_status_may_have_sent_the_request(status, framing):
    assert _through_peer(build_answer(status, framing)).unwrap_err().was_sent


@ODD
@FRAMED
def test_exchange_that_is_answered_with_an_odd_status_may_have_taken_effect(status, framing):
    with AnsweringServer(lambda _request: build_answer(status, framing)) as server:
        replied = exchange(
            ConnectionPool(TIMEOUT_S, TIMEOUT_S),
            server.address,
            BufferedRequest("POST", "/x", b"{}"),
            time.monotonic() + TIMEOUT_S,
        )
    assert replied.unwrap_err().was_sent


@pytest.mark.parametrize("status", PROPER_STATUSES)
def test_proper_status_is_read_as_it_is(status):
    match _direct(build_answer(status, body=b"")):
        case Ok(head):
            assert head.status == status
        case other:
            raise AssertionError(other)


@pytest.mark.parametrize("interim", ["100", "102", "103", "199"])
def test_interim_answers_are_skipped(interim):
    answer = f"HTTP/1.1 {interim} Wait\r\nX-A: 1\r\n\r\n".encode() + build_answer(200)
    assert _direct(answer).unwrap().status == 200
