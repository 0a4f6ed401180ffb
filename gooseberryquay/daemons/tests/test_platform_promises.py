"""Promises of whole entries about operations that run once, over services in trouble."""

import random
import threading
import time
from collections import Counter

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.promise_builders import (
    PROMISES,
    PromiseCallers,
    Services,
    Trouble,
    restart_in_turn,
)
from gooseberryquay.standins.node_platform.site import Site

DURATION_S = 8.0


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=1, services=0)
    yield site
    site.stop()


def _check(callers, services):
    runs = services.runs()
    refused = [
        each
        for each, statuses in callers.statuses.items()
        if runs.get(each) and statuses and all(status in PROMISES for status in statuses)
    ]
    twice = [each for each, count in runs.items() if count > 1]
    statuses = Counter(each for tries in callers.statuses.values() for each in tries)
    print(f"{len(callers.statuses)} requests, {dict(statuses)}, refused {refused}, twice {twice}")
    assert len(callers.statuses) > 100
    assert not refused
    assert not twice


# Trouble, whether entries restart in turn, and whether all tries of a request have one id.
CASES = [(each, is_restarting, True) for each in Trouble for is_restarting in (False, True)]
CASES.append((Trouble.ANSWERS_TWICE_LATE, False, False))


# Guards against postings that run although they were refused with a promise, or run twice.
@pytest.mark.parametrize(("trouble", "is_restarting", "has_one_id"), CASES)
def test_operation_runs_once_and_never_after_a_promise(
    site, tmp_path, trouble, is_restarting, has_one_id
):
    rng = random.Random(trouble.name)
    with (
        Services(site, tmp_path, trouble) as services,
        running_entries(site, tmp_path, 3) as entries,
        PromiseCallers([each.ports.callers for each in entries], has_one_id) as callers,
    ):
        until_s = time.monotonic() + DURATION_S
        restarting = threading.Thread(target=restart_in_turn, args=(entries, until_s))
        if is_restarting:
            restarting.start()
        while time.monotonic() < until_s:
            services.disturb(trouble, rng)
        if is_restarting:
            restarting.join()
    _check(callers, services)
