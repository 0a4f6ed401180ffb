"""Streams without framing whose engine stops at the deadline that the entry gave it."""

import random

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.punctual_engine_builders import PunctualSite
from gooseberryquay.daemons.tests.stream_builders import StreamCaller, read_all

STREAMS = 12
DEADLINE_MS = 600
# Twice as many as an engine makes within the deadline.
EVENTS = 120


@pytest.fixture
def site():
    site = PunctualSite(random.Random(1))
    site.start(engines=3, services=1)
    yield site
    site.stop()


@pytest.mark.parametrize("path", ["/note/1", "/check/1"], ids=["once", "resumable"])
def test_stream_cut_at_its_deadline_does_not_look_complete(site, tmp_path, path):
    callers = [
        StreamCaller(path=path, event_count=EVENTS, deadline_ms=DEADLINE_MS) for _ in range(STREAMS)
    ]
    with running_entries(site, tmp_path, 1) as entries:
        read_all(callers, [entries[0].ports.callers])
    assert site.record.stopped
    assert [each.numbers for each in callers if each.has_ended and not each.is_complete] == []
