"""Decoding of the platform's formats, and confinement of its names to the adapter."""

import ast
import random
from dataclasses import replace
from pathlib import Path

import pytest
from result import Err

import gooseberryquay
from gooseberryquay.contracts.fields import Address
from gooseberryquay.platform.documents import read_routing, read_upstream
from gooseberryquay.platform.settings_file import read_settings
from gooseberryquay.platform.tests.builders import CONFIGURATION, SERVER, SETTINGS, stored
from gooseberryquay.serving.route import KeyCheck, RouteKind
from gooseberryquay.serving.upstream_record import UpstreamState

PACKAGE = Path(gooseberryquay.__file__).parent
COMPOSITION_ROOTS = {"daemons/platform_entry.py", "daemons/platform_commands.py"}
PLATFORM_NAMES = (
    "x-attempt-id",
    "x-response-seal",
    "x-expect-instance",
    "x-not-executed",
    "x-kv-backup",
    "kv-from",
    "kv-move",
    "route_kind",
    "api_keys",
    "fleetbench",
)


def _modules():
    for path in PACKAGE.rglob("*.py"):
        name = str(path.relative_to(PACKAGE))
        if not name.startswith("platform/") and "/tests/" not in name:
            yield name, path


def test_nothing_but_the_composition_root_imports_the_adapter():
    found = set()
    for name, path in _modules():
        for node in ast.walk(ast.parse(path.read_text())):
            module = getattr(node, "module", None) or ""
            names = [each.name for each in getattr(node, "names", [])]
            if any(each.startswith("gooseberryquay.platform") for each in [module, *names]):
                found.add(name)
    assert found == COMPOSITION_ROOTS


def test_platform_names_occur_only_in_the_adapter():
    found = {
        (name, word)
        for name, path in _modules()
        if not name.startswith("standins/node_platform")
        for word in PLATFORM_NAMES
        if word in path.read_text().lower()
    }
    assert found == set()


def test_settings_file_is_read_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_text(SETTINGS + "new.field=x\nnot a line\n")
    settings = read_settings(str(path)).ok_value
    assert settings.caller_address == Address("10.1.0.19", 8740)
    assert len(settings.seeds) == 3
    assert (settings.bounds.grace_s, settings.bounds.evacuation_s) == (8.0, 5.0)


@pytest.mark.parametrize("line", ["zone=", "platform.address=", "bounds.grace_s="])
def test_problem_names_the_missing_or_malformed_field(tmp_path, line):
    name = line[:-1]
    path = tmp_path / "settings.conf"
    kept = [each for each in SETTINGS.splitlines() if not each.startswith(line)]
    path.write_text("\n".join([*kept, f"{name}=?"]) if name != "zone" else "\n".join(kept))
    problem = read_settings(str(path)).err_value
    assert problem.key == name


def test_missing_settings_file_is_a_problem():
    assert isinstance(read_settings("/nonexistent/settings.conf"), Err)


def test_settings_file_that_is_no_text_is_a_problem(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_bytes(b"node_name=\xff\xfe\n")
    assert isinstance(read_settings(str(path)), Err)


def test_configuration_is_decoded_with_its_splits_keys_and_engines():
    table = read_routing(stored(CONFIGURATION))
    quick, long = table.routes
    assert (quick.kind, quick.is_resumable, quick.timeout_s) == (RouteKind.STREAMING, True, 6.0)
    assert [each.weight for each in long.destinations] == [90, 10]
    assert table.workspace_of("key-b").id == "studio"
    engine = table.services["model"].engine
    assert (engine.memory_tokens, engine.tokens_per_event, engine.can_move) == (34196, 4, True)
    assert table.services["ledger"].engine is None


# Guards against a configuration whose last API keys are revoked and that then needs none.
@pytest.mark.parametrize("tenants", [[], [{"name": "studio", "api_keys": []}]])
def test_tenants_without_keys_are_not_absent_tenants(tenants):
    table = read_routing(stored({**CONFIGURATION, "tenants": tenants}))
    route = table.routes[0]
    assert table.check_key("key-a", route) is KeyCheck.UNKNOWN
    assert table.check_key(None, route) is KeyCheck.UNKNOWN
    assert table.check_key(None, replace(route, is_public=True)) is KeyCheck.PUBLIC_ROUTE
    without = {name: part for name, part in CONFIGURATION.items() if name != "tenants"}
    assert read_routing(stored(without)).check_key(None, route) is KeyCheck.NOT_NEEDED


# Guards against a share of 0 that is taken for the whole, and against one route without services
# that keeps a configuration, and the keys it revokes, from coming into force.
@pytest.mark.parametrize(
    ("split", "services"),
    [
        ([], set()),
        ([{"service": "model", "weight": 0}], set()),
        ([{"service": "model", "weight": 0.0}, {"service": "ledger", "weight": 0}], set()),
        ([{"service": "model", "weight": 0}, {"service": "ledger", "weight": 1}], {"ledger"}),
    ],
)
def test_service_without_a_share_gets_no_requests(split, services):
    quick, long = CONFIGURATION["routes"]
    table = read_routing(stored({**CONFIGURATION, "routes": [quick, {**long, "split": split}]}))
    route = next(each for each in table.routes if each.name == long["name"])
    rng = random.Random(1)
    assert {route.pick_service(rng) for _ in range(50)} - {None} == services
    assert table.check_key("revoked", route) is KeyCheck.UNKNOWN


# Guards against connections that an upstream does not accept and that count as not limited.
@pytest.mark.parametrize(("stated", "connections"), [(0, 0), (-1, 0), (5, 5), (None, None)])
def test_limit_of_no_connections_is_a_limit(stated, connections):
    service = {"name": "ledger"} | ({} if stated is None else {"max_conns": stated})
    table = read_routing(stored({**CONFIGURATION, "services": [service]}))
    assert table.services["ledger"].connections_max == connections


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"routes": None},
        {"routes": [{"name": "r"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "route_kind": "else"}]},
        {"services": [{"name": 3}]},
        {"tenants": None},
        {"tenants": [{"name": "studio", "api_keys": None}]},
        {"tenants": [{"name": "studio"}]},
    ],
)
def test_malformed_configuration_is_none(change):
    assert read_routing(stored({**CONFIGURATION, **change})) is None


def test_upstream_record_is_decoded():
    record = read_upstream(stored(SERVER, "i-1"))
    assert (record.id, record.state) == ("i-1", UpstreamState.READY)
    assert record.address == Address("10.128.0.9", 8080)
    assert record.cold_left_s == 1.5


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": "nowhere"},
        {"address": None},
        {"service": 4},
        {"cold_left_ms": "soon"},
        {"zone": []},
        {"slots": 10**400},
        {"slots": 10**9},
    ],
)
def test_malformed_upstream_record_is_ignored(change):
    assert read_upstream(stored({**SERVER, **change}, "i-1")) is None


def test_upstream_record_without_content_is_ignored():
    assert read_upstream(stored(None, "i-1")) is None
