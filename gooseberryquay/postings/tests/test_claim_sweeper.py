import time

from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.postings.claim_layout import SharedLayout
from gooseberryquay.postings.claim_sweeper import ClaimSweeper
from gooseberryquay.postings.tests.builders import (
    TIMEOUT_S,
    CountingService,
    Fleet,
    build_key,
    build_posting,
)


class CutPlatform(PlatformClient):
    """Platform link that breaks off after a number of deletions."""

    def __init__(self, link, deletions):
        self._link, self._deletions = link, deletions

    def read(self, key):
        return self._link.read(key)

    def delete(self, key, expected_version):
        self._deletions -= 1
        if self._deletions < 0:
            expected_version = 10**9
        return self._link.delete(key, expected_version)


def test_only_expired_logs_are_deleted_also_after_a_break():
    service = CountingService()
    with Fleet(1, head_bytes_max=1024, shard_count=1, horizon_s=3600.0) as fleet:
        old_keys = [build_key(age_s=3000) for _ in range(12)]
        for key in [*old_keys, build_key(), "untimed"]:
            assert fleet.desks[0].run_once(build_posting(key), service.dispatch(key)).is_ok()
        link, peers = fleet.links[0], fleet.peers[0]
        before = {each.key for each in link.list("claims/").unwrap()}
        now_s = time.time()
        layout = SharedLayout(link, fleet.settings)
        assert layout.wait(time.monotonic() + TIMEOUT_S)
        assert ClaimSweeper(link, peers, layout, 0.0).sweep(now_s) == 0
        cut = ClaimSweeper(CutPlatform(link, 1), peers, layout, 0.0)
        assert cut.sweep(now_s + 1500) == 0
        assert ClaimSweeper(link, peers, layout, 0.0).sweep(now_s + 1500) > 2
        after = {each.key for each in link.list("claims/").unwrap()}
        kept = fleet.desks[0].run_once(build_posting("untimed"), service.dispatch("untimed"))
    assert len(before) > 5 and len(after) == 3
    assert kept.unwrap().body == b'{"run": 1}'
