"""Upstreams that run a request, then answer with a status that promises the contrary."""

import random
import threading
import time
import uuid

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries, send_request
from gooseberryquay.standins.node_platform.site import Site

GUARANTEEING = {
    408: "408 Request Timeout",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}
RUN_S = 0.02
REQUESTS_PER_CALLER = 30
# The first routes may run once; the others may be repeated.
ROUTES = ["note", "post", "check", "read"]
RUN_ONCE_ROUTES = {"note", "post"}


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=3, services=3)
    yield site
    site.stop()


def _run_then_refuse(upstream, status):
    """Let an upstream answer every third request with a sealed status, after a run."""
    run, rng = upstream._run, random.Random(upstream.id)

    def act(received):
        if rng.random() >= 1 / 3:
            run(received)
            return
        upstream.record.add_run(received.id, upstream.id)
        time.sleep(RUN_S)
        received.respond(GUARANTEEING[status], [("X-Response-Seal", f"{received.id}.e")])

    upstream._run = act


@pytest.mark.parametrize("status", GUARANTEEING)
def test_request_that_ran_is_neither_refused_nor_run_twice(site, tmp_path, status):
    """Streams that ran got the engine's 503; a status 421 after a run made it run again."""
    for each in [*site.engines.values(), *site.services.values()]:
        _run_then_refuse(each, status)
    results = []

    def call(route, port):
        for _ in range(REQUESTS_PER_CALLER):
            id = uuid.uuid4().hex
            answer = send_request(port, f"/{route}/{id}", b"{}", X_Attempt_Id=id)
            results.append((route, id, answer.status))

    with running_entries(site, tmp_path, count=2) as entries:
        ports = [each.ports.callers for each in entries]
        callers = [
            threading.Thread(target=call, args=(route, port)) for route in ROUTES for port in ports
        ]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
    assert len(results) == len(ROUTES) * len(ports) * REQUESTS_PER_CALLER
    runs = {id: len(site.record.runs_of(id)) for _, id, _ in results}
    assert [each for each in results if each[2] in GUARANTEEING and runs[each[1]]] == []
    assert [each for each in results if each[0] in RUN_ONCE_ROUTES and runs[each[1]] > 1] == []
    assert any(runs[id] and status == 502 for _, id, status in results)
