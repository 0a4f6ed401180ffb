"""Store that comes back from a copy: what is lost, written again and counted anew."""

import http.client
import json
import threading
import time

import pytest

from gooseberryquay.standins.node_platform.store import ObjectStore

WAIT_MS = 3000


@pytest.fixture
def store():
    store = ObjectStore()
    store.start()
    yield store
    store.stop()


def _call(store, path, method="GET", body=None):
    connection = http.client.HTTPConnection("127.0.0.1", store.port, timeout=5.0)
    connection.request(method, f"/api/objects/{path}", json.dumps(body) if body else None)
    response = connection.getresponse()
    document = json.loads(response.read())
    connection.close()
    return response.status, int(response.getheader("store-era")), document


def test_writes_of_entries_since_the_copy_are_lost_and_those_of_others_written_again(store):
    store.put("config", "main", {"version": 1})
    copy = store.take_copy()
    _call(store, "suspects", "POST", {"metadata": {"name": "1"}, "spec": {}})
    store.put("config", "main", {"version": 2})
    store.come_back_from(copy)
    assert _call(store, "suspects/1")[:2] == (404, 2)
    assert _call(store, "config/main")[2]["spec"] == {"version": 2}


def test_revisions_are_given_out_again_in_the_next_era(store):
    copy = store.take_copy()
    _call(store, "suspects", "POST", {"metadata": {"name": "1"}, "spec": {}})
    revision = _call(store, "suspects/1")[2]["metadata"]["revision"]
    store.come_back_from(copy)
    assert store.put("evacuations", "zone-b", {}) == revision


@pytest.mark.parametrize("is_waiting", [True, False])
def test_watch_from_a_revision_that_is_lost_is_gone(store, is_waiting):
    copy = store.take_copy()
    _call(store, "suspects", "POST", {"metadata": {"name": "1"}, "spec": {}})
    at = _call(store, "config")[2]["at"]
    if is_waiting:
        threading.Timer(0.3, store.come_back_from, (copy,)).start()
    else:
        store.come_back_from(copy)
    began_at_s = time.monotonic()
    assert _call(store, f"config?watch={at}&wait_ms={WAIT_MS}")[:2] == (410, 2)
    assert time.monotonic() - began_at_s < WAIT_MS / 1000.0
