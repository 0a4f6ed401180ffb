"""Callers that end only their sending side and wait, and callers that leave."""

import http.client
import random
import socket
import time

import pytest

from gooseberryquay.daemons.tests.limit_builders import encode_request
from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.standins.node_platform.site import Site

WORK_S = 0.6
EVENT_S = 0.05
EVENTS = 100
TIMEOUT_S = 5.0
PROMISES = {408, 421, 429, 503}
# Work for a caller that has left ends within this time.
CANCEL_WITHIN_S = 0.5


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=2, services=2)
    for each in site.services.values():
        each.work_s = WORK_S
    for each in site.engines.values():
        each.event_s = EVENT_S
    yield site
    site.stop()


@pytest.fixture
def port(site, tmp_path):
    with running_entries(site, tmp_path, 1) as entries:
        yield entries[0].ports.callers


def _open(port, kind, id):
    connection = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
    connection.sendall(encode_request(kind, id, EVENTS))
    return connection


def _wait_for_run(site, id):
    until_s = time.monotonic() + TIMEOUT_S
    while not site.record.runs_of(id):
        assert time.monotonic() < until_s, f"{id} has not run"
        time.sleep(0.005)


@pytest.mark.parametrize("kind", ["post", "read"])
def test_half_closed_caller_of_a_running_call_gets_a_final_answer(site, port, kind):
    for number in range(5):
        with _open(port, kind, number) as connection:
            _wait_for_run(site, f"{kind}-{number}")
            connection.shutdown(socket.SHUT_WR)
            response = http.client.HTTPResponse(connection)
            response.begin()
            response.read()
            assert response.status not in PROMISES


@pytest.mark.parametrize("kind", ["post", "read", "note", "check"])
def test_caller_that_half_closes_with_its_request_gets_a_final_answer(site, port, kind):
    for number in range(5):
        with _open(port, kind, number) as connection:
            connection.shutdown(socket.SHUT_WR)
            response = http.client.HTTPResponse(connection)
            response.begin()
            response.read()
            has_run = bool(site.record.runs_of(f"{kind}-{number}"))
            assert not (has_run and response.status in PROMISES)


@pytest.mark.parametrize("kind", ["note", "check"])
def test_stream_of_a_caller_that_leaves_is_cancelled(site, port, kind):
    with _open(port, kind, 1):
        _wait_for_run(site, f"{kind}-1")
    time.sleep(CANCEL_WITHIN_S)
    assert not any(each._running for each in site.engines.values())
