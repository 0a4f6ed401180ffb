"""Promises about streams that may run once, over engines that are processes in trouble."""

import random
import threading
import time
from collections import Counter

import pytest

from gooseberryquay.daemons.tests.engine_process_builders import Engines, EngineTrouble
from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.promise_builders import (
    PROMISES,
    PromiseCallers,
    restart_in_turn,
)
from gooseberryquay.standins.node_platform.site import Site

DURATION_S = 3.0
ENTRIES = 2
# Trouble, and whether entries restart in turn.
CASES = [
    (EngineTrouble.KILLED, False),
    (EngineTrouble.LEAVES_FROZEN, True),
]


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=0, services=1)
    yield site
    site.stop()


@pytest.mark.timeout(60)
@pytest.mark.parametrize(("trouble", "is_restarting"), CASES)
def test_stream_over_an_engine_in_trouble_is_neither_refused_nor_run_twice(
    site, tmp_path, trouble, is_restarting
):
    rng = random.Random(trouble.name)
    with (
        Engines(site, tmp_path, trouble) as engines,
        running_entries(site, tmp_path, ENTRIES) as entries,
        PromiseCallers([each.ports.callers for each in entries], False, "/note/1") as callers,
    ):
        until_s = time.monotonic() + DURATION_S
        restarting = threading.Thread(target=restart_in_turn, args=(entries, until_s))
        if is_restarting:
            restarting.start()
        while time.monotonic() < until_s:
            engines.disturb(trouble, rng)
        if is_restarting:
            restarting.join()
    moved = sum(each.log.read_text().count('"generation moved"') for each in entries)
    runs = engines.runs()
    refused = [
        each
        for each, statuses in callers.statuses.items()
        if runs.get(each) and set(statuses) <= PROMISES
    ]
    twice = [each for each, count in runs.items() if count > 1]
    statuses = Counter(each for tries in callers.statuses.values() for each in tries)
    print(f"{len(callers.statuses)} requests, {dict(statuses)}, {moved} moved")
    assert statuses[200]
    assert moved or trouble is not EngineTrouble.LEAVES_FROZEN
    assert (refused, twice) == ([], [])
