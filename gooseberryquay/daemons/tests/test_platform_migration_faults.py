"""Migrations whose link to the source fails while the source goes on generating."""

import random
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.stream_builders import StreamCaller
from gooseberryquay.daemons.tests.stubborn_engine_builders import StubbornSite
from gooseberryquay.standins.proxy_messages import CutConnections, ResetConnections

STREAMS = 6
EVENTS = 300
# Longer than a copy that an entry makes final at once.
SLOW_COPY_S = 0.2
# Long enough for a migration to end before the first event.
LATE_EVENT_S = 1.5


@pytest.fixture
def site():
    site = StubbornSite(random.Random(1))
    site.start(engines=3, services=1)
    yield site
    site.stop()


@pytest.mark.parametrize("fault", [ResetConnections(), CutConnections()], ids=["reset", "cut"])
@pytest.mark.parametrize("change", ["missing", "leaving"])
def test_generation_does_not_go_on_elsewhere_while_its_source_works_on_it(
    site, tmp_path, change, fault
):
    _break_streams(site, tmp_path, "/note/1", change, fault)


@pytest.mark.parametrize("fault", [ResetConnections(), CutConnections()], ids=["reset", "cut"])
def test_resumable_stream_does_not_go_on_elsewhere_while_its_engine_works_on_it(
    site, tmp_path, fault
):
    _break_streams(site, tmp_path, "/check/1", "none", fault)


def _break_streams(site, tmp_path, path, change, fault):
    callers = [StreamCaller(path=path, event_count=EVENTS) for _ in range(STREAMS)]
    with running_entries(site, tmp_path, 1) as entries:
        port = entries[0].ports.callers
        threads = [threading.Thread(target=each.read, args=(port,)) for each in callers]
        for each in threads:
            each.start()
        time.sleep(0.5)
        source = max(site.engines.values(), key=lambda engine: len(engine.spans))
        source.copy_s = SLOW_COPY_S
        if change == "missing":
            site.store.delete("servers", source.id)
        elif change == "leaving":
            site.announce_leave(source.id)
        time.sleep(2 * SLOW_COPY_S)
        site.proxies[source.id].apply_fault(fault)
        for each in threads:
            each.join()
        time.sleep(EVENTS * source.event_s)
    assert sum(len(engine.spans) for engine in site.engines.values()) > STREAMS
    assert site.overlaps() == []
    assert all(each.is_complete for each in callers)


@pytest.mark.parametrize(
    "refusal", ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"]
)
def test_refused_copy_is_not_answered_as_a_request_that_has_not_run(site, tmp_path, refusal):
    """The source had run the request, and stopped before its first event."""
    for engine in site.engines.values():
        engine.copy_refusal, engine.first_event_s = refusal, LATE_EVENT_S
    callers = [StreamCaller(path="/note/1", event_count=10) for _ in range(STREAMS)]
    with running_entries(site, tmp_path, 1) as entries:
        port = entries[0].ports.callers
        threads = [threading.Thread(target=each.read, args=(port,)) for each in callers]
        for each in threads:
            each.start()
        time.sleep(0.5)
        source = max(site.engines.values(), key=lambda engine: len(engine.spans))
        moved = set(source.spans)
        site.announce_leave(source.id)
        for each in threads:
            each.join()
    assert moved
    of_moved = [each for each in callers if each.id in moved]
    assert [each.statuses for each in of_moved] == [[502]] * len(of_moved)
