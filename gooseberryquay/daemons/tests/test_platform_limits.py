"""An entry with more callers than it has threads or descriptors for."""

import json
import random
import time

import pytest

from gooseberryquay.daemons.tests.limit_builders import (
    encode_request,
    limit_children,
    open_connections,
)
from gooseberryquay.daemons.tests.platform_builders import running_entries, send_request
from gooseberryquay.links.tests.raw_caller import RawCallers
from gooseberryquay.standins.node_platform.site import Site

DESCRIPTORS = 160
SILENT_CALLERS = 400
SPAN_S = 3.0
# Callers allow a second for a connection to be established.
READ_WITHIN_S = 1.0
PROMISES = {408, 421, 429, 503}


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=2, services=2)
    yield site
    site.stop()


def _call(entry, count, is_keeping=False):
    encoders = [lambda id: encode_request("post", id), lambda id: encode_request("read", id)]
    callers = RawCallers(entry.ports.callers, encoders, is_keeping, count=count)
    callers.start()
    time.sleep(SPAN_S)
    callers.join()
    return callers


def _check(site, callers):
    assert len(callers.sent) > callers.count
    assert callers.unanswered() == []
    assert [each for each in callers.sent if each.took_s > READ_WITHIN_S] == []
    refused = [each for each in callers.sent if each.status in PROMISES]
    assert [each for each in refused if site.record.runs_of(f"post-{each.id}")] == []


def _messages(entry):
    return {json.loads(each)["message"] for each in entry.log.read_text().splitlines()}


def test_silent_callers_beyond_the_descriptors_shut_out_nobody(site, tmp_path, monkeypatch):
    """Guard against an entry that cannot accept and therefore serves no open connection either."""
    limit_children(monkeypatch, tmp_path, f"-n {DESCRIPTORS}")
    with running_entries(site, tmp_path, 1) as entries:
        with open_connections(entries[0].ports.callers, SILENT_CALLERS):
            callers = _call(entries[0], count=8)
        _check(site, callers)
        assert {each.status for each in callers.sent} == {200}
        assert send_request(entries[0].ports.callers, "/post/after", b"{}").status == 200


def test_busy_callers_beyond_the_descriptors_are_answered(site, tmp_path, monkeypatch):
    """Guard against upstreams that count as gone since the entry cannot open a connection."""
    limit_children(monkeypatch, tmp_path, f"-n {DESCRIPTORS}")
    with running_entries(site, tmp_path, 1) as entries:
        _check(site, _call(entries[0], count=DESCRIPTORS))
        assert not _messages(entries[0]) & {"upstream crashed", "request failed"}
        assert send_request(entries[0].ports.callers, "/post/after", b"{}").status == 200
