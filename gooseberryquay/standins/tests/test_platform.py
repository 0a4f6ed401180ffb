import threading
import time

import pytest
from result import Ok

from gooseberryquay.contracts import Address
from gooseberryquay.ids import ZoneId
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.platform_client import (
    OutcomeUnknown,
    PlatformClient,
    PlatformRefused,
    PlatformUnreachable,
)
from gooseberryquay.links.platform_messages import InstanceEntry
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults
from gooseberryquay.standins.platform_limits import CallKind, PlatformLimits
from gooseberryquay.standins.process import CommandProcess

HOST = "127.0.0.1"


@pytest.fixture
def make_platform():
    started = []

    def make(**limits):
        platform = PlatformStandIn(limits=PlatformLimits(**limits))
        platform.start()
        started.append(platform)
        return platform, PlatformClient(Address(HOST, platform.port), read_timeout_s=0.5)

    yield make
    for platform in started:
        platform.stop()


def test_lost_answers_take_effect_for_the_next_writes_of_a_prefix(make_platform):
    platform, client = make_platform()
    platform.set_faults(PlatformFaults(lost_answers=LostAnswers(count=2, key_prefix="lost/")))
    assert isinstance(client.write("lost/1", "a", 0).unwrap_err(), OutcomeUnknown)
    assert client.write("kept/1", "a", 0) == Ok(1)
    assert isinstance(client.write("lost/2", "a", 0).unwrap_err(), OutcomeUnknown)
    assert client.write("lost/3", "a", 0) == Ok(1)
    assert {each.key for each in client.list("lost/").unwrap()} == {"lost/1", "lost/2", "lost/3"}


def test_lost_change_shows_the_same_failure_but_has_no_effect(make_platform):
    platform, client = make_platform()
    platform.set_faults(PlatformFaults(lost_answers=LostAnswers(is_applied=False)))
    assert isinstance(client.write("key", "a", 0).unwrap_err(), OutcomeUnknown)
    assert client.read("key") == Ok(None)


def test_lost_answers_are_reproducible_by_seed(make_platform):
    platform, client = make_platform()
    outcomes = []
    for _ in range(2):
        lost = LostAnswers(probability=0.5, seed=7)
        platform.set_faults(PlatformFaults(lost_answers=lost))
        outcomes.append([client.write("key", "a").is_ok() for _ in range(20)])
    assert outcomes[0] == outcomes[1]
    assert set(outcomes[0]) == {True, False}


@pytest.mark.parametrize(
    ("outage", "failure_type"),
    [
        (Outage.REFUSE, PlatformRefused),
        (Outage.DROP, PlatformUnreachable),
        (Outage.HANG, PlatformUnreachable),
    ],
)
def test_outage_fails_every_call_and_ends(make_platform, outage, failure_type):
    platform, client = make_platform()
    client.write("key", "a", 0)
    platform.set_faults(PlatformFaults(outage=outage))
    assert isinstance(client.read("key").unwrap_err(), failure_type)
    assert client.write("key", "b").is_err()
    assert client.instances().is_err()
    platform.set_faults(PlatformFaults())
    assert client.read("key").unwrap().value == "a"


def test_outage_breaks_a_waiting_watch(make_platform):
    platform, client = make_platform()
    results = []
    watching = threading.Thread(target=lambda: results.append(client.watch("key", 0, 30.0)))
    watching.start()
    while platform.counts().calls(CallKind.WATCH) == 0:
        time.sleep(0.01)
    platform.set_faults(PlatformFaults(outage=Outage.DROP))
    watching.join(10.0)
    assert results[0].is_err()


def test_calls_over_the_rate_are_refused_with_a_wait(make_platform):
    platform, client = make_platform(writes_per_s=1, reads_per_s=0)
    results = [client.write("key", "a") for _ in range(30)]
    refusals = [answer.unwrap_err() for answer in results if answer.is_err()]
    assert refusals
    assert all(each.status == 429 and each.retry_after_s >= 1 for each in refusals)
    assert client.read("key").is_ok()
    assert platform.counts().calls(CallKind.WRITE, "key") == 30


def test_stale_reads_give_the_previous_version(make_platform):
    platform, client = make_platform()
    client.write("key", "old")
    client.write("key", "new")
    platform.set_faults(PlatformFaults(stale_prefix="key"))
    assert client.read("key").unwrap().value == "old"


def test_deleted_key_never_reuses_a_version(make_platform):
    _, client = make_platform()
    client.write("key", "a", 0)
    assert client.delete("key", 1) == Ok(1)
    assert client.write("key", "b", 0) == Ok(2)


def _entry(name):
    return InstanceEntry(
        id=name, kind="entry", zone=ZoneId("a"), address=Address(HOST, 1), incarnation=1
    )


def test_instance_list_hides_changes_until_the_lag_is_over(make_platform):
    _, client = make_platform(list_lag_s=3600)
    assert client.put_instance(_entry("entry-1")) == Ok(None)
    assert client.instances() == Ok(())


def test_instance_list_shows_changes_after_the_lag(make_platform):
    _, client = make_platform(list_lag_s=0.05)
    client.put_instance(_entry("entry-1"))
    client.put_instance(_entry("entry-2"))
    time.sleep(0.1)
    assert client.instances() == Ok((_entry("entry-1"), _entry("entry-2")))
    client.delete_instance("entry-1")
    time.sleep(0.1)
    assert client.instances() == Ok((_entry("entry-2"),))


def test_weight_readers_share_one_budget(make_platform):
    platform, _ = make_platform(weight_bytes_per_s=1000)
    clients = [HttpClient(HOST, platform.port) for _ in range(2)]
    path = "/weights/yield?offset=0&length=900"
    replies = [client.send("GET", path).unwrap() for client in clients * 10]
    assert len(replies[0].body) == 900
    refused = next(each for each in replies if each.status == 429)
    assert int(refused.headers["retry-after"]) >= 1


def test_process_accepts_faults_over_http():
    with CommandProcess("standin", "platform", "--writes_per_s=0") as process:
        control = PlatformControl(Address(HOST, process.port))
        client = PlatformClient(Address(HOST, process.port))
        control.set_faults(PlatformFaults(lost_answers=LostAnswers(count=1)))
        assert isinstance(client.write("key", "a", 0).unwrap_err(), OutcomeUnknown)
        assert client.read("key").unwrap().value == "a"
        assert control.counts().calls(CallKind.READ) == 1
