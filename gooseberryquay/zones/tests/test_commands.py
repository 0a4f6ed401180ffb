import json
import subprocess
import sys

import pytest

from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults
from gooseberryquay.zones.configuration_document import CURRENT_KEY
from gooseberryquay.zones.tests.builders import (
    BASE_INI,
    HOST,
    LONG_TIMEOUT_S,
    drain,
    make_upstream,
    zone_back,
    zone_out,
)


@pytest.fixture
def run(platform):
    def run_operator_command(*arguments):
        command = [sys.executable, "-m", "gooseberryquay", *arguments]
        command += [f"--platform={HOST}:{platform.port}", "--author=ada"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    return run_operator_command


@pytest.fixture
def base_path(tmp_path):
    path = tmp_path / "base.ini"
    path.write_text(BASE_INI)
    return path


def test_operator_takes_a_zone_out_of_service(run, base_path, store):
    assert run("config", "apply", str(base_path)).returncode == 0
    done = run("zone", "out", "sask-a", "sask-b", "--json")
    assert (done.returncode, json.loads(done.stdout)["revision"]) == (0, 2)
    assert run("upstream", "drain", "yield-0").returncode == 0
    assert run("upstream", "return", "yield-0").returncode == 0
    configuration = store.read().unwrap().configuration
    assert {zone: state.value for zone, state in configuration.zone_states.items()} == {
        "sask-a": "out",
        "sask-b": "out",
    }
    assert configuration.upstream_orders == {}


def test_failed_checks_conflicts_and_outages_have_distinct_exit_statuses(
    run, base_path, store, platform
):
    assert run("config", "apply", str(base_path)).returncode == 0
    assert run("zone", "out").returncode == 1
    unknown = run("zone", "out", "nowhere")
    assert unknown.returncode == 1
    assert "sask-a, sask-b, sask-c" in unknown.stderr
    store.apply(drain("yield-0"), "grace")
    conflict = run("zone", "out", "sask-a", "--expected_revision=1", "--json")
    assert conflict.returncode == 2
    assert json.loads(conflict.stdout)["winners"][0]["author"] == "grace"
    platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
    assert run("zone", "out", "sask-a").returncode == 3
    lost = LostAnswers(key_prefix=CURRENT_KEY, is_applied=False)
    platform.set_faults(PlatformFaults(lost_answers=lost))
    undecided = run("zone", "out", "sask-a", "--json")
    assert undecided.returncode == 3
    assert json.loads(undecided.stdout)["outcome"] == "undecided"


def test_invalid_base_file_is_not_applied(run, base_path, store):
    base_path.write_text(BASE_INI.replace("zone = sask-a", "zone = nowhere"))
    failed = run("config", "apply", str(base_path), "--json")
    assert failed.returncode == 1
    assert "nowhere" in json.loads(failed.stdout)["problems"][0]
    assert store.read().is_err()


def test_lost_configuration_is_restored_from_the_newest_entry(run, fleet, store, client):
    fleet.add("entry-1", "entry-2")
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
    addresses = [f"{HOST}:{node.port}" for node in fleet.nodes.values()]
    assert run("config", "restore", *addresses).returncode == 2
    stored = client.read(CURRENT_KEY).unwrap()
    assert client.delete(CURRENT_KEY, stored.version).is_ok()
    assert run("config", "restore", *addresses).returncode == 0
    restored = store.read().unwrap().configuration
    assert restored.revision > 2
    assert not restored.may_get_work(make_upstream("yield-0"))
    assert fleet.wait_for_revision(restored.revision, LONG_TIMEOUT_S)
    assert store.apply(zone_back(), "op").is_ok()
    assert fleet.wait_for_revision(restored.revision + 1, LONG_TIMEOUT_S)
