"""Whole entries beside a record that another writer left in the list of upstreams."""

import json
import random
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries, send_request
from gooseberryquay.standins.node_platform.site import Site

SEEN_S = 1.0
NESTED = "[" * 60_000 + "]" * 60_000
SERVER = {"service": "ledger", "address": "127.0.0.1:9", "zone": "zone-a", "state": "ready"}


ODD_VALUES = {
    "nested": NESTED,
    "nested-a-little": "[" * 400 + "]" * 400,
    "digits": "1" * 6000,
    "infinite": "1e999",
    "not-a-number": "NaN",
    "digits-40": "1" * 40,
    "half-a-character": '"\\ud800"',
}
# Bytes of an object are at most 1 MiB, `value_bytes` of the platform.
LONG_VALUES = {
    "string": '"' + "n" * 1_000_000 + '"',
    "escapes": '"' + "\\\\" * 500_000 + '"',
    "numbers": "[" + "1," * 499_999 + "1]",
    "empty-objects": "[" + "{}," * 333_332 + "{}]",
    "members": "{" + ",".join(f'"{number}":1' for number in range(90_000)) + "}",
}
# `limits.memory_mb` of the deployments.
MEMORY_MB_MAX = 150


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=2, services=2)
    yield site
    site.stop()


def _served_share(entries):
    statuses = [
        send_request(each.ports.callers, "/read/1", b"x").status for each in entries for _ in "1234"
    ]
    return statuses.count(200) / len(statuses)


def _replace_services(site):
    """Replace all services, so that only entries that still read the list can serve."""
    for each in list(site.services):
        site.add_service()
        site.remove(each)


@pytest.mark.parametrize("field", ["slots", "note"])
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES.keys())
def test_one_odd_record_does_not_end_the_reading_of_the_list(site, tmp_path, value, field):
    with running_entries(site, tmp_path, 2) as entries:
        text = json.dumps({**SERVER, field: 0})
        site.store.put_text("servers", "odd", text.replace(f'"{field}": 0', f'"{field}": {value}'))
        time.sleep(SEEN_S)
        _replace_services(site)
        time.sleep(SEEN_S)
        assert _served_share(entries) == 1.0
        for each in entries:
            each.restart()
        time.sleep(SEEN_S)
        assert _served_share(entries) == 1.0


# Guards against entries that are killed for their memory because of one long record.
@pytest.mark.parametrize("kind", ["servers", "evacuations", "streams"])
@pytest.mark.parametrize("value", LONG_VALUES.values(), ids=LONG_VALUES.keys())
def test_one_long_record_does_not_decide_over_the_memory_of_entries(site, tmp_path, value, kind):
    text = json.dumps({**SERVER, "slots": 0, "note": 0})
    text = text.replace('"slots": 0', f'"slots": {"1" * 6000}')
    with running_entries(site, tmp_path, 2) as entries:
        site.store.put_text(kind, "odd", text.replace('"note": 0', f'"note": {value}'))
        time.sleep(SEEN_S)
        _replace_services(site)
        time.sleep(SEEN_S)
        assert _served_share(entries) == 1.0
        for each in entries:
            each.restart()
        time.sleep(SEEN_S)
        assert _served_share(entries) == 1.0
        assert max(each.process.peak_memory_mb() for each in entries) < MEMORY_MB_MAX
