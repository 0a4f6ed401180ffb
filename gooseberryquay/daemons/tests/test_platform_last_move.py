"""Streams that end with their connection, and whose run an entry stops to move it."""

import http.client
import random
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.stream_builders import StreamCaller
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_server import FinalCopyAnswer

STREAMS = 12
EVENTS = 80
# While events are still to come.
LEAVE_AFTER_S = 0.25
NO_ROOM = "503 Service Unavailable"
# An order that was not heeded is known by its answer.
ANSWERS = {
    "handle": FinalCopyAnswer(),
    "handle-late": FinalCopyAnswer(delay_s=0.5),
    "no-room": FinalCopyAnswer(NO_ROOM),
    "no-room-late": FinalCopyAnswer(NO_ROOM, delay_s=0.5),
    "no-handle": FinalCopyAnswer(NO_ROOM, has_handle=False),
    "lost": FinalCopyAnswer(None),
    "lost-late": FinalCopyAnswer(None, delay_s=0.5),
    "unreadable": FinalCopyAnswer(is_readable=False),
    "failed": FinalCopyAnswer("500 Internal Server Error"),
    "not-stopped-unknown": FinalCopyAnswer("404 Not Found", stops_run=False),
    "not-stopped-in-progress": FinalCopyAnswer("409 Conflict", stops_run=False),
    "not-stopped-no-handle": FinalCopyAnswer(NO_ROOM, stops_run=False),
    "not-stopped-lost": FinalCopyAnswer(None, stops_run=False),
}


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=4, services=1)
    yield site
    site.stop()


@pytest.mark.parametrize("is_unframed", [True, False], ids=["unframed", "chunks"])
@pytest.mark.parametrize("path", ["/note/1", "/check/1"], ids=["once", "resumable"])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_stream_whose_run_was_stopped_goes_on_to_its_last_event(
    site, tmp_path, answer, path, is_unframed
):
    callers = _read_while_engines_leave(site, tmp_path, answer, path, is_unframed)
    assert bool(site.record.stopped) is answer.stops_run
    assert [each.numbers for each in callers if not each.is_complete] == []
    runs = [site.record.runs_of(each.id) for each in callers]
    assert path != "/note/1" or [len(each) for each in runs] == [1] * STREAMS


def _read_while_engines_leave(site, tmp_path, answer, path, is_unframed):
    for engine in site.engines.values():
        engine.final_copy_answer, engine.is_unframed = answer, is_unframed
    callers = [StreamCaller(path=path, event_count=EVENTS) for _ in range(STREAMS)]
    with running_entries(site, tmp_path, 1) as entries:
        port = entries[0].ports.callers
        threads = [threading.Thread(target=each.read, args=(port,)) for each in callers]
        for each in threads:
            each.start()
        time.sleep(LEAVE_AFTER_S)
        for id in list(site.engines)[:2]:
            site.announce_leave(id)
        for each in threads:
            each.join()
    assert [each.statuses for each in callers] == [[http.client.OK]] * STREAMS
    return callers
