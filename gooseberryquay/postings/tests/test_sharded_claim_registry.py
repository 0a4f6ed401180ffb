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

KEPT = 4
OWNER_TIMEOUT_S = 2.0


class LinkedPeers(FixedPeers):
    """Peers that are sent to over kept connections."""

    links = PeerConnections()

    def send(self, to, path, message, timeout_s):
        body = message.model_dump_json().encode()
        return self.links.send(to.control_address, "POST", path, body, timeout_s)


@dataclass
class Pair:
    """Entry 0, whose connections to entry 1 go through a proxy."""

    fleet: Fleet
    desk: PostingExecutor
    proxy: FaultProxy
    service: CountingService

    def build_key(self):
        """Make a key whose shard belongs to entry 1."""
        while True:
            key = build_key()
            shard = locate(build_posting(key), self.fleet.settings).shard
            if choose_owner(shard, tuple(self.fleet.members)).id == "entry-1":
                return key

    def run(self, key, **posting):
        return self.desk.run_once(build_posting(key, **posting), self.service.dispatch(key))

    def run_at_once(self):
        """Run keys over a connection each, by an owner that answers when all of these are open."""
        owner = self.fleet.links[1]
        opened = self.proxy.counts().connections + KEPT - 1
        owner.is_out = True
        with ThreadPoolExecutor(KEPT) as pool:
            keys = [self.build_key() for _ in range(KEPT)]
            runs = [pool.submit(self.run, key) for key in keys]
            deadline_s = time.monotonic() + TIMEOUT_S
            while self.proxy.counts().connections < opened:
                assert time.monotonic() < deadline_s
            owner.is_out = False
            assert all(each.result(TIMEOUT_S).is_ok() for each in runs)
        assert [self.service.runs[key] for key in keys] == [1] * KEPT


@contextmanager
def pair():
    with Fleet(2, owner_timeout_s=OWNER_TIMEOUT_S) as fleet:
        proxy = FaultProxy(Address("127.0.0.1", fleet.servers[1].port))
        proxy.start()
        peers = LinkedPeers(fleet.members[0], [fleet.members[0], build_peer("entry-1", proxy.port)])
        desk = PostingExecutor(fleet.links[0], peers, fleet.settings)
        yield Pair(fleet, desk, proxy, CountingService())
        proxy.stop()


@pytest.mark.parametrize(
    ("direction", "own_writes"), [(Direction.BOTH, 1), (Direction.TO_CALLER, 0)]
)
def test_claim_over_a_silent_connection_is_settled_in_the_log_and_later_ones_by_the_owner(
    direction, own_writes
):
    """The owner never had the claim, or has written it and its answer is lost."""
    with pair() as entry:
        assert entry.run(entry.build_key()).is_ok()
        entry.run_at_once()
        link = entry.fleet.links[0]
        written = link.write_count
        entry.proxy.apply_fault(SilenceConnections(direction=direction))
        key = entry.build_key()
        assert entry.run(key).is_ok()
        assert link.write_count == written + own_writes
        entry.run_at_once()
        assert link.write_count == written + own_writes
    assert entry.service.runs[key] == 1


@pytest.mark.parametrize(
    ("direction", "ran"), [(Direction.BOTH, Ran.NO), (Direction.TO_CALLER, Ran.MAYBE)]
)
def test_claim_over_a_silent_connection_in_an_outage_is_refused_truthfully(direction, ran):
    """The owner never had the claim, or has it and can't say that nobody ran it."""
    with pair() as entry:
        assert entry.run(entry.build_key()).is_ok()
        entry.run_at_once()
        key, link = entry.build_key(), entry.fleet.links[0]
        link.is_out = True
        entry.proxy.apply_fault(SilenceConnections(direction=direction))
        after_response = []
        posting = {"timeout_s": OWNER_TIMEOUT_S + 1.0, "after_response": after_response.append}
        refusal = entry.run(key, **posting).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is ran
        # The claim is made void once the refusal is written, after which it may be told apart.
        for action in after_response:
            action()
        assert refusal.retry_after_s
        assert entry.service.runs[key] == 0
        link.is_out = False
        assert entry.desk.close(TIMEOUT_S)
        assert entry.run(key).is_ok()
    assert entry.service.runs[key] == 1
