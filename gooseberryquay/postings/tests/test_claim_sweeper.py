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


class FailingDeletions(PlatformClient):
    """Platform client whose deletions fail after a number of successful ones."""

    def __init__(self, client, deletions):
        self._client, self._deletions = client, deletions

    def read(self, key):
        return self._client.read(key)

    def delete(self, key, expected_version):
        self._deletions -= 1
        if self._deletions < 0:
            expected_version = 10**9
        return self._client.delete(key, expected_version)


def test_only_expired_logs_are_deleted_also_after_an_interrupted_sweep():
    service = CountingService()
    with Fleet(1, head_bytes_max=1024, shard_count=1, horizon_s=3600.0) as fleet:
        old_keys = [build_key(age_s=3000) for _ in range(12)]
        for key in [*old_keys, build_key(), "untimed"]:
            assert fleet.executors[0].run_once(build_posting(key), service.dispatch(key)).is_ok()
        client, peers = fleet.clients[0], fleet.peers[0]
        before = {each.key for each in client.list("claims/").unwrap()}
        now_s = time.time()
        layout = SharedLayout(client, fleet.settings)
        assert layout.wait(time.monotonic() + TIMEOUT_S)
        assert ClaimSweeper(client, peers, layout, 0.0).sweep(now_s) == 0
        interrupted = ClaimSweeper(FailingDeletions(client, 1), peers, layout, 0.0)
        assert interrupted.sweep(now_s + 1500) == 0
        assert ClaimSweeper(client, peers, layout, 0.0).sweep(now_s + 1500) > 2
        after = {each.key for each in client.list("claims/").unwrap()}
        answer = fleet.executors[0].run_once(build_posting("untimed"), service.dispatch("untimed"))
    assert len(before) > 5 and len(after) == 3
    assert answer.unwrap().body == b'{"run": 1}'
