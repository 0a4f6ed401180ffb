import time
from concurrent.futures import ThreadPoolExecutor

from gooseberryquay.postings.claim_log import ClaimLog
from gooseberryquay.postings.claim_log_copy import ClaimLogCopy
from gooseberryquay.postings.records import Claimed
from gooseberryquay.postings.tests.builders import TIMEOUT_S, FaultyPlatform
from gooseberryquay.standins.platform import PlatformStandIn


def wait_until(is_reached):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not is_reached():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_claim_is_not_refused_for_a_key_that_is_not_in_the_log_yet():
    """The first claim is pending but never written, so that the second key is within the limit."""
    platform = PlatformStandIn()
    platform.start()
    client = FaultyPlatform(platform.port)
    client.is_unreachable = client.is_read_only = True
    log = ClaimLog(ClaimLogCopy(client, "untimed/0", 1024), write_interval_s=0.0, keys_max=1)
    claims = [Claimed(key=name, token=name, fingerprint="", at_s=0) for name in ("a", "b")]
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(log.append, claims[0], time.monotonic() + 3.0)
        wait_until(lambda: len(log._pending) == 1)
        second = pool.submit(log.append, claims[1], time.monotonic() + TIMEOUT_S)
        wait_until(lambda: len(log._pending) == 2)
        client.is_unreachable = False
        assert first.result(TIMEOUT_S).is_err()
        client.is_read_only = False
        assert second.result(TIMEOUT_S).unwrap().is_held_by("b")
    platform.stop()
