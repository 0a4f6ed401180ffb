"""API keys that operators take away from connected callers."""

import random
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries, send_request
from gooseberryquay.standins.node_platform.site import KEY, Site, build_route

OTHER_KEY = "other-key"
REQUESTS = 5
# Bound of the settings (`bounds.config_apply_ms`).
CONFIG_APPLY_S = 2.0
OK = 200
UNAUTHORIZED = 401
UNAVAILABLE = 503


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=1, services=2)
    yield site
    site.stop()


def _tenant(name, *keys):
    return {"name": name, "api_keys": list(keys), "priority": 1}


def _statuses(entries, key):
    return {
        send_request(each.ports.callers, "/read/1", b"x", key=key).status
        for each in entries
        for _ in range(REQUESTS)
    }


# Guards against requests that run without a key once the last API keys are revoked.
@pytest.mark.parametrize(
    "tenants",
    [
        [_tenant("studio")],
        [_tenant("studio"), _tenant("archive")],
        [_tenant("studio"), _tenant("archive", OTHER_KEY)],
        [],
    ],
)
def test_requests_need_a_key_after_the_last_one_was_revoked(site, tmp_path, tenants):
    site.configure(keys=(KEY, OTHER_KEY))
    with running_entries(site, tmp_path, 2) as entries:
        assert _statuses(entries, KEY) == {OK}
        site.configure(tenants=[_tenant("studio", OTHER_KEY)])
        site.configure(tenants=tenants)
        time.sleep(CONFIG_APPLY_S)
        assert _statuses(entries, KEY) == {UNAUTHORIZED}
        assert _statuses(entries, "never-held") == {UNAUTHORIZED}
        assert _statuses(entries, "") == {UNAUTHORIZED}
        is_held = any(OTHER_KEY in each["api_keys"] for each in tenants)
        assert _statuses(entries, OTHER_KEY) == {OK if is_held else UNAUTHORIZED}
        site.configure()
        time.sleep(CONFIG_APPLY_S)
        assert _statuses(entries, KEY) == {OK}


def test_requests_need_no_key_if_the_configuration_has_no_tenants(site, tmp_path):
    site.configure(tenants=None)
    with running_entries(site, tmp_path, 1) as entries:
        assert _statuses(entries, KEY) == {OK}
        assert _statuses(entries, "") == {OK}


# Guards against a route without a service that keeps a configuration from coming into force.
@pytest.mark.parametrize("split", [[], [{"service": "ledger", "weight": 0}]])
def test_route_whose_split_is_emptied_is_refused_and_the_revoked_key_too(site, tmp_path, split):
    site.configure(keys=(KEY, OTHER_KEY))
    with running_entries(site, tmp_path, 1) as entries:
        emptied = build_route("/read/", "idempotent", "ledger", 2) | {"service": None}
        site.configure(keys=(OTHER_KEY,), routes=[emptied | {"split": split}])
        time.sleep(CONFIG_APPLY_S)
        assert _statuses(entries, KEY) == {UNAUTHORIZED}
        assert _statuses(entries, OTHER_KEY) == {UNAVAILABLE}
