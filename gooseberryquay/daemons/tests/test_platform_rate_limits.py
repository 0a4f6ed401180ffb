"""Upstreams that state a request rate for all entries together, sent to by whole entries."""

import random

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


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=3, services=3)
    yield site
    site.stop()


@pytest.mark.parametrize("count", [4, 12])
@pytest.mark.parametrize("path", ["/check/1", "/note/1", "/read/1", "/post/1"])
def test_upstreams_that_state_a_rate_get_no_more_from_all_entries(site, tmp_path, path, count):
    limited = list(upstreams_of(site, path).values())[:2]
    with running_entries(site, tmp_path, count) as entries:
        load = SteadyLoad(caller_ports(entries), path)
        load.run(STABLE_WINDOW_S)
        since_s = state_limits(limited)
        load.run(STABLE_WINDOW_S + 2 * WINDOW_S)
    assert_within_limit(site, limited, since_s)


@pytest.mark.parametrize("path", ["/check/1", "/read/1", "/post/1"])
def test_rate_stated_in_refusals_only_is_kept(site, tmp_path, path):
    limited = list(upstreams_of(site, path).values())[:2]
    with running_entries(site, tmp_path, 4) as entries:
        load = SteadyLoad(caller_ports(entries), path)
        load.run(STABLE_WINDOW_S)
        for each in limited:
            each.faults.shed_share = 1.0
        since_s = state_limits(limited)
        load.run(STABLE_WINDOW_S + 2 * WINDOW_S)
    assert_within_limit(site, limited, since_s)
