"""Rates stated by all upstreams or ended again, and entries that freeze or restart meanwhile."""

import random
import signal
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.rate_limit_builders import (
    STABLE_WINDOW_S,
    WINDOW_S,
    SteadyLoad,
    assert_within_limit,
    caller_ports,
    state_limits,
    upstreams_of,
)
from gooseberryquay.standins.node_platform.site import Site

# Far below the time that the routes allow.
IMMEDIATE_S = 1.0


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=3, services=3)
    yield site
    site.stop()


@pytest.mark.parametrize("path", ["/check/1", "/note/1", "/read/1", "/post/1"])
def test_callers_are_refused_at_once_while_all_upstreams_state_a_rate(site, tmp_path, path):
    limited = list(upstreams_of(site, path).values())
    with running_entries(site, tmp_path, 4) as entries:
        load = SteadyLoad(caller_ports(entries), path)
        load.run(STABLE_WINDOW_S)
        since_s = state_limits(limited, 1.0)
        load.run(STABLE_WINDOW_S)
        load.responses.clear()
        load.run(2 * WINDOW_S)
    assert_within_limit(site, limited, since_s, 1.0)
    refused = [each for each in load.responses if each.status != 200]
    assert refused
    assert all(each.status == 503 and float(each.retry_after) > 0.0 for each in refused)
    assert sum(each.took_s > IMMEDIATE_S for each in refused) <= 0.05 * len(refused)
    # What the upstreams accept is also largely used.
    served = len(load.responses) - len(refused)
    assert served >= 0.5 * len(limited) * 2 * WINDOW_S


@pytest.mark.parametrize("path", ["/check/1", "/read/1"])
def test_upstream_gets_its_usual_share_once_it_states_no_rate(site, tmp_path, path):
    limited = list(upstreams_of(site, path).values())[:2]
    with running_entries(site, tmp_path, 4) as entries:
        load = SteadyLoad(caller_ports(entries), path)
        load.run(WINDOW_S)
        usual = {each.id: len(site.record.arrivals[each.id]) for each in limited}
        since_s = state_limits(limited)
        load.run(STABLE_WINDOW_S + WINDOW_S)
        assert_within_limit(site, limited, since_s)
        state_limits(limited, None)
        load.run(STABLE_WINDOW_S)
        ended_at_s = time.monotonic()
        load.run(WINDOW_S)
    for each in limited:
        late = [at_s for at_s in site.record.arrivals[each.id] if at_s >= ended_at_s]
        assert len(late) >= 0.5 * usual[each.id]


def _freeze(entry):
    entry.process.send_signal(signal.SIGSTOP)
    time.sleep(STABLE_WINDOW_S)
    entry.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("path", ["/check/1", "/read/1"])
def test_entries_that_freeze_keep_to_the_rate_with_the_others(site, tmp_path, path):
    limited = list(upstreams_of(site, path).values())[:2]
    with running_entries(site, tmp_path, 4) as entries:
        load = SteadyLoad(caller_ports(entries), path)
        load.run(STABLE_WINDOW_S)
        since_s = state_limits(limited)
        load.run(STABLE_WINDOW_S)
        freezes = [threading.Thread(target=_freeze, args=(each,)) for each in entries[2:]]
        for each in freezes:
            each.start()
        load.run(2 * WINDOW_S)
        for each in freezes:
            each.join()
    assert_within_limit(site, limited, since_s)


def test_entry_that_restarts_keeps_to_the_rate_with_the_others(site, tmp_path):
    limited = list(site.services.values())[:2]
    with running_entries(site, tmp_path, 4) as entries:
        load = SteadyLoad(caller_ports(entries), "/read/1")
        load.run(STABLE_WINDOW_S)
        since_s = state_limits(limited)
        load.run(STABLE_WINDOW_S)
        for each in entries[2:]:
            each.restart()
        load.run(2 * WINDOW_S)
    assert_within_limit(site, limited, since_s)
