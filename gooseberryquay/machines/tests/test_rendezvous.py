from collections import Counter

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.rendezvous import first_owners, owner_of
from gooseberryquay.machines.subset import SubsetRule
from gooseberryquay.machines.tests.member_builders import build_declaration, build_peer

KEYS = [f"key-{number}" for number in range(1000)]


def test_losing_a_peer_moves_only_its_keys():
    peers = [build_peer(f"entry-{number}") for number in range(8)]
    lost = peers[3]
    rest = [peer for peer in peers if peer is not lost]
    for key in KEYS:
        if owner_of(key, peers) != lost:
            assert owner_of(key, rest) == owner_of(key, peers)
        else:
            assert owner_of(key, rest) == first_owners(key, peers, 2)[1]


def test_restart_keeps_the_keys_of_an_entry():
    before = [build_peer("entry-1"), build_peer("entry-2")]
    after = [build_peer("entry-1", port=2, incarnation=9), build_peer("entry-2")]
    assert all(owner_of(key, before).id == owner_of(key, after).id for key in KEYS)


def test_subsets_cover_every_upstream():
    upstreams = [build_declaration(f"engine-{number}") for number in range(200)]
    readers = Counter()
    for number in range(100):
        subset = SubsetRule(EntryId(f"entry-{number}"), 30).choose(upstreams)
        assert len(subset) == 30
        readers.update(each.id for each in subset)
    assert len(readers) == 200
