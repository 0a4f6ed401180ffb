import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass

import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.errors import PlatformUnavailable, Ran
from gooseberryquay.machines.peer_connections import PeerConnections
from gooseberryquay.postings import PostingExecutor
from gooseberryquay.postings.posting import locate
from gooseberryquay.postings.sharded_claim_registry import choose_owner
from gooseberryquay.postings.tests.builders import (
    TIMEOUT_S,
    CountingService,
    FixedPeers,
    Fleet,
    build_key,
    build_peer,
    build_posting,
)
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.proxy_messages import Direction, SilenceConnections

CONNECTION_COUNT = 4
OWNER_TIMEOUT_S = 2.0


class PooledPeers(FixedPeers):
    """Peers that are reached over pooled connections."""

    connections = PeerConnections()

    def send(self, to, path, message, timeout_s):
        body = message.model_dump_json().encode()
        return self.connections.send(to.control_address, "POST", path, body, timeout_s)


@dataclass
class ProxiedPair:
    """Entry 0, which connects to entry 1 through a fault proxy."""

    fleet: Fleet
    executor: PostingExecutor
    proxy: FaultProxy
    service: CountingService

    def build_key(self):
        """Build a key whose shard is owned by entry 1."""
        while True:
            key = build_key()
            shard = locate(build_posting(key), self.fleet.settings).shard
            if choose_owner(shard, tuple(self.fleet.members)).id == "entry-1":
                return key

    def run(self, key, **posting):
        return self.executor.run_once(build_posting(key, **posting), self.service.dispatch(key))

    def run_concurrently(self):
        """Run keys concurrently, each over its own connection.

        The owner responds only once all connections are open.
        """
        owner = self.fleet.clients[1]
        opened = self.proxy.counts().connections + CONNECTION_COUNT - 1
        owner.is_unreachable = True
        with ThreadPoolExecutor(CONNECTION_COUNT) as pool:
            keys = [self.build_key() for _ in range(CONNECTION_COUNT)]
            runs = [pool.submit(self.run, key) for key in keys]
            deadline_s = time.monotonic() + TIMEOUT_S
            while self.proxy.counts().connections < opened:
                assert time.monotonic() < deadline_s
            owner.is_unreachable = False
            assert all(each.result(TIMEOUT_S).is_ok() for each in runs)
        assert [self.service.runs[key] for key in keys] == [1] * CONNECTION_COUNT


@contextmanager
def proxied_pair():
    with Fleet(2, owner_timeout_s=OWNER_TIMEOUT_S) as fleet:
        proxy = FaultProxy(Address("127.0.0.1", fleet.servers[1].port))
        proxy.start()
        peers = PooledPeers(fleet.members[0], [fleet.members[0], build_peer("entry-1", proxy.port)])
        executor = PostingExecutor(fleet.clients[0], peers, fleet.settings)
        yield ProxiedPair(fleet, executor, proxy, CountingService())
        proxy.stop()


@pytest.mark.parametrize(
    ("direction", "own_writes"), [(Direction.BOTH, 1), (Direction.TO_CALLER, 0)]
)
def test_claim_over_a_silent_connection_is_resolved_in_the_log_and_later_ones_by_the_owner(
    direction, own_writes
):
    """The owner never received the claim, or appended it and its reply was lost."""
    with proxied_pair() as entry:
        assert entry.run(entry.build_key()).is_ok()
        entry.run_concurrently()
        client = entry.fleet.clients[0]
        written = client.write_count
        entry.proxy.apply_fault(SilenceConnections(direction=direction))
        key = entry.build_key()
        assert entry.run(key).is_ok()
        assert client.write_count == written + own_writes
        entry.run_concurrently()
        assert client.write_count == written + own_writes
    assert entry.service.runs[key] == 1


@pytest.mark.parametrize(
    ("direction", "ran"), [(Direction.BOTH, Ran.NO), (Direction.TO_CALLER, Ran.MAYBE)]
)
def test_claim_over_a_silent_connection_in_an_outage_reports_correctly_whether_it_ran(
    direction, ran
):
    """The owner never received the claim, or received it and cannot confirm that it was not run."""
    with proxied_pair() as entry:
        assert entry.run(entry.build_key()).is_ok()
        entry.run_concurrently()
        key, client = entry.build_key(), entry.fleet.clients[0]
        client.is_unreachable = True
        entry.proxy.apply_fault(SilenceConnections(direction=direction))
        after_response = []
        posting = {"timeout_s": OWNER_TIMEOUT_S + 1.0, "after_response": after_response.append}
        refusal = entry.run(key, **posting).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is ran
        # The claim is revoked only after the refusal is written; then the key can run again.
        for action in after_response:
            action()
        assert refusal.retry_after_s
        assert entry.service.runs[key] == 0
        client.is_unreachable = False
        assert entry.executor.close(TIMEOUT_S)
        assert entry.run(key).is_ok()
    assert entry.service.runs[key] == 1
