import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from random import Random

import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.errors import Ran
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.postings.tests.builders import TIMEOUT_S, build_settings
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.posting_fleet.fleet import PostingFleet, build_key
from gooseberryquay.standins.posting_fleet.history import (
    ScheduleOptions,
    TimedService,
    run_schedule,
)

DELAY_S = 5.0


@contextmanager
def serving(dispatch_delay_s=0.0, service_delay_s=0.0):
    platform, service = PlatformStandIn(), TimedService(service_delay_s)
    platform.start()
    service.start()
    settings = build_settings(running_s=0.1)
    ports = [platform.port] * 2
    fleet = PostingFleet(ports, service.port, settings=settings, dispatch_delay_s=dispatch_delay_s)
    fleet.start()
    try:
        yield fleet, service, platform
    finally:
        fleet.stop()
        with ThreadPoolExecutor() as pool:
            list(pool.map(lambda each: each.stop(), (platform, service)))


def wait_until(is_reached):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not is_reached():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def wait_for_claim(platform):
    """Wait until a claim is stored on the platform."""
    client = PlatformClient(Address("127.0.0.1", platform.port))
    wait_until(lambda: client.list("claims/timed-").unwrap())


def test_holder_stopped_between_claim_and_dispatch_runs_alone_when_continued():
    with (
        serving(dispatch_delay_s=DELAY_S) as (fleet, service, platform),
        ThreadPoolExecutor() as pool,
    ):
        key = build_key(Random(1))
        held = pool.submit(fleet.post, 0, key)
        wait_for_claim(platform)
        fleet.pause(0)
        duplicate = fleet.post(1, key).unwrap()
        assert (duplicate.failure, duplicate.ran) == ("unknown_outcome", Ran.MAYBE)
        fleet.resume(0)
        answer = held.result(TIMEOUT_S).unwrap()
        assert answer.failure is None
        assert fleet.post(1, key).unwrap().body == answer.body
        assert len(service.run_times_s[key]) == 1


def test_entry_killed_between_claim_and_dispatch_leaves_the_key_claimed():
    with (
        serving(dispatch_delay_s=DELAY_S) as (fleet, service, platform),
        ThreadPoolExecutor() as pool,
    ):
        key = build_key(Random(2))
        pool.submit(fleet.post, 0, key)
        wait_for_claim(platform)
        fleet.kill(0)
        fleet.restart(0)
        for number in (0, 1):
            duplicate = fleet.post(number, key).unwrap()
            assert (duplicate.failure, duplicate.ran) == ("unknown_outcome", Ran.MAYBE)
        assert key not in service.run_times_s


def test_entry_killed_between_dispatch_and_record_is_not_followed_by_a_second_run():
    with serving(service_delay_s=1.0) as (fleet, service, _platform), ThreadPoolExecutor() as pool:
        key = build_key(Random(3))
        pool.submit(fleet.post, 0, key)
        wait_until(lambda: key in service.run_times_s)
        fleet.kill(0)
        fleet.restart(0)
        for number in (0, 1):
            duplicate = fleet.post(number, key).unwrap()
            assert (duplicate.failure, duplicate.ran) == ("unknown_outcome", Ran.MAYBE)
        assert len(service.run_times_s[key]) == 1


@pytest.mark.parametrize("seed", [7])
def test_history_under_a_seeded_fault_schedule(seed):
    verdict = run_schedule(ScheduleOptions(seed, postings=30, nodes=3))
    assert verdict.is_right(), str(verdict)
    assert verdict.answers["answered"] > 0
