"""Whole entries beside engines whose answers are bytes without end."""

import random
import time

import pytest

from gooseberryquay.daemons.tests.endless_builders import (
    Endless,
    Postings,
    send_without_end,
    start_streams_in_trouble,
)
from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.standins.node_platform.site import Site

STREAMS = 4
POSTINGS_PER_S = 15.0
DURATION_S = 6.0
# Of a route of postings: half of its timeout.
ANSWERED_S_MAX = 1.0
# Of one processor, for the streams and the postings together.
PROCESSOR_SHARE_MAX = 0.4
# `limits.memory_mb` of the deployments.
MEMORY_MB_MAX = 150


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=4, services=2)
    yield site
    site.stop()


# Guards against answers whose work per byte holds up all other requests of a process.
@pytest.mark.parametrize("endless", Endless, ids=lambda each: each.name)
def test_answers_without_end_do_not_hold_up_other_requests(site, tmp_path, endless):
    for each in site.engines.values():
        send_without_end(each, endless)
    with running_entries(site, tmp_path, 1) as (entry,):
        start_streams_in_trouble(entry.ports.callers, STREAMS)
        time.sleep(0.5)
        cpu_s, began_at_s = entry.process.cpu_s(), time.monotonic()
        postings = Postings(entry.ports.callers, POSTINGS_PER_S)
        postings.run(DURATION_S)
        share = (entry.process.cpu_s() - cpu_s) / (time.monotonic() - began_at_s)
        peak_mb = entry.process.peak_memory_mb()
    print(
        f"{endless.name}: longest {max(postings.took_s):.2f} s, share {share:.2f}, {peak_mb:.0f} MB"
    )
    assert max(postings.took_s) < ANSWERED_S_MAX
    assert share < PROCESSOR_SHARE_MAX
    assert peak_mb < MEMORY_MB_MAX
