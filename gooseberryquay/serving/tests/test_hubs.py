"""Entries that follow the store for others, and those that follow them."""

import random
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, Incarnation, UpstreamId, ZoneId
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.hubs import HUBS_PER_CELL, MESH_MAX, HubSelector
from gooseberryquay.serving.object_relay import (
    SUBSTITUTE_S,
    TOO_LARGE_S,
    HubSource,
    ObjectRelay,
    RelayOptions,
)
from gooseberryquay.serving.object_source import Listing, SourceFailure, StoredObject
from gooseberryquay.serving.peer_loads import PeerLoadExchange
from gooseberryquay.serving.tests.builders import MODEL, FakeClock, build_book, build_record
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_record import UpstreamState

GRACE_S = 2.0
TERMS = RelayOptions("servers")
UNSERVED = Address("127.0.0.1", 1)
# Does not get smaller when it is compressed.
NOISE = random.Random(1).randbytes(300).hex()
ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass
class _Members:
    """Know a fixed set of entries."""

    me: int
    peers: list
    sent: list = field(default_factory=list)

    def this_entry(self):
        return self.peers[self.me]

    def live(self):
        return tuple(self.peers)


def _peers(count, port=0):
    return [
        Peer(
            id=EntryId(f"entry-{number}"),
            incarnation=Incarnation(1),
            zone=ZoneId(ZONES[number % 3]),
            control_address=Address("127.0.0.1", port),
        )
        for number in range(count)
    ]


def _choices(count):
    peers = _peers(count)
    return [HubSelector(_Members(each, peers), peers[each].zone) for each in range(count)]


def test_small_fleet_has_only_hubs():
    assert all(each.is_hub() and each.my_hub() is None for each in _choices(MESH_MAX))


def test_large_fleet_has_a_few_hubs_in_each_zone_on_which_all_agree():
    choices = _choices(60)
    hubs = {each.id for each in choices[0].hubs()}
    assert len(hubs) == HUBS_PER_CELL * len(ZONES)
    assert all({each.id for each in choice.hubs()} == hubs for choice in choices)
    assert sum(choice.is_hub() for choice in choices) == len(hubs)


def test_entries_of_a_cell_follow_the_same_hub():
    choices = _choices(60)
    followed = {choice.my_hub().id for choice in choices if not choice.is_hub()}
    assert len(followed) == len(ZONES)


def test_zone_of_many_entries_is_parted_into_cells():
    hubs = _choices(360)[0].hubs()
    assert len(hubs) == HUBS_PER_CELL * len(ZONES) * 3


def test_entries_follow_a_hub_of_their_zone_until_it_fails_them():
    choices = _choices(60)
    for number, choice in enumerate(choices):
        hub = choice.my_hub()
        if hub is None:
            continue
        assert hub.zone == ZONES[number % 3]
        choice.avoid(hub.id)
        assert choice.my_hub().id != hub.id
        for each in choice.hubs():
            choice.avoid(each.id)
        assert choice.my_hub() is None


@pytest.mark.parametrize("count", [MESH_MAX, 60])
def test_each_engine_is_own_engine_to_one_cell_and_all_its_entries_agree(count):
    choices = _choices(count)
    hubs = [each for each in choices if each.is_hub()]
    for number in range(40):
        engine = UpstreamId(f"i-{number}")
        (owner,) = [each for each in hubs if each.owns_engine(engine)]
        hub = owner._membership.this_entry().id
        for choice in choices:
            followed = choice.my_hub()
            assert choice.owns_engine(engine) == (followed is not None and followed.id == hub) or (
                choice is owner
            )


def test_entry_that_knows_no_live_entry_places_on_all_engines_alike():
    peers = _peers(1)
    members = _Members(0, peers)
    members.live = lambda: ()
    assert HubSelector(members, peers[0].zone).owns_engine(UpstreamId("i-1"))


def test_engines_are_shared_anew_when_a_hub_leaves():
    peers = _peers(4)
    members = _Members(0, peers)
    clock = FakeClock()
    choice = HubSelector(members, peers[0].zone, clock)
    before = sum(choice.owns_engine(UpstreamId(f"i-{number}")) for number in range(100))
    members.peers = peers[:2]
    clock.now_s += 1.0
    after = sum(choice.owns_engine(UpstreamId(f"i-{number}")) for number in range(100))
    assert after > before


class _Reader:
    def __init__(self):
        self.listings, self.changes = [], []

    def read_listing(self, listing, is_after_outage):
        self.listings.append(listing)

    def read_change(self, changed, is_after_outage):
        self.changes.append(changed)


class _Direct:
    def __init__(self):
        self.calls = []
        self.listing = Ok(Listing((), 77))

    def list(self):
        self.calls.append("list")
        return self.listing

    def watch(self, revision, wait_s):
        self.calls.append(revision)
        return Err(SourceFailure.REFUSED)

    def interrupt(self, is_behind):
        self.calls.append("interrupt")


def _object(name, revision, is_deleted=False):
    return StoredObject(name, revision, {"state": "ready"}, is_deleted)


@contextmanager
def _relay(is_hub, terms=TERMS):
    router = Router()
    clock = FakeClock()
    served = ObjectRelay(
        terms,
        reader=_Reader(),
        is_current=lambda: served.is_well,
        known_revision=lambda: served.known,
        outage_grace_s=GRACE_S,
        clock=clock,
    )
    served.clock = clock
    served.is_well, served.known = True, 6
    served.add_routes(router)
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    peers = _peers(60, server.port)
    me = next(n for n, each in enumerate(_choices(60)) if each.is_hub() is is_hub)
    hubs = HubSelector(_Members(me, peers), peers[me].zone)
    direct = _Direct()
    source = HubSource(terms, direct, hubs, ConnectionPool(0.5, 2.0), DecisionLog(), clock=clock)
    yield served, source, direct
    server.stop()


@pytest.fixture
def relay():
    """Give a relay that serves on a port, and a source of an entry that follows hubs."""
    with _relay(False) as parts:
        yield parts


@pytest.fixture
def hub_relay():
    """Give a relay that serves on a port, and a source of an entry that is a hub itself."""
    with _relay(True) as parts:
        yield parts


def test_changes_reach_an_entry_through_its_hub(relay):
    served, source, direct = relay
    served.read_listing(Listing((_object("i-1", 5),), 5), False)
    listing = source.list().ok_value
    assert [each.name for each in listing.objects] == ["i-1"]
    served.read_change(_object("i-2", 6), False)
    served.read_change(_object("i-1", 6, is_deleted=True), True)
    changes = source.watch(listing.revision, 1.0).ok_value
    assert [(each.name, each.is_doubtful) for each in changes.objects] == [
        ("i-2", False),
        ("i-1", True),
    ]
    assert direct.calls == []


def test_hub_that_has_lost_the_store_sends_its_entries_to_the_store(relay):
    served, source, direct = relay
    served.read_listing(Listing((), 5), False)
    revision = source.list().ok_value.revision
    served.is_well = False
    assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
    assert source.list().ok_value.revision == 77
    assert direct.calls == ["list"]


def test_hub_that_listed_anew_has_its_entries_list_anew(relay):
    served, source, _ = relay
    served.read_listing(Listing((), 5), False)
    revision = source.list().ok_value.revision
    served.read_listing(Listing((_object("i-3", 9),), 9), True)
    assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
    assert source.list().ok_value.is_doubtful


def test_doubt_of_a_hubs_list_ends_when_what_lapsed_is_back(relay):
    """An engine that had left was taken for lapsed, minutes after the outage: its streams were cut.

    Large scale-2, small: the list of a hub from 8.3 s was still doubtful at 25.3 s.
    """
    served, source, _ = relay
    served.read_listing(Listing((_object("i-3", 5),), 5), True)
    assert source.list().ok_value.is_doubtful
    served.clock.now_s += GRACE_S + 0.1
    assert not source.list().ok_value.is_doubtful


def test_list_of_a_hub_that_is_behind_what_is_known_is_not_taken(relay):
    """An engine that the store had listed was taken for gone by the older list of a hub."""
    served, source, direct = relay
    served.is_well = False
    direct.listing = Ok(Listing((_object("i-4", 9),), 9, store_revision=9))
    assert source.list().ok_value.objects[0].name == "i-4"
    served.is_well, served.known = True, 8
    served.read_listing(Listing((), 8), False)
    source._hubs._avoided_until_s.clear()
    assert source.list().ok_value.objects[0].name == "i-4"
    served.known = 10
    source._hubs._avoided_until_s.clear()
    assert source.list().ok_value.objects == ()


def test_entry_asks_a_second_hub_before_the_store(relay):
    served, source, direct = relay
    served.read_listing(Listing((), 5), False)
    first = source._hubs.my_hub()
    source._hubs._membership.peers = [
        each.model_copy(update={"control_address": UNSERVED}) if each == first else each
        for each in source._hubs._membership.peers
    ]
    source._hubs._refreshed_at_s = float("-inf")
    assert source.list().ok_value.store_revision == 6
    assert direct.calls == []


def test_configuration_too_large_for_a_hubs_link_is_read_from_the_store_for_a_while():
    with _relay(False, RelayOptions("config", 10.0, cell_bytes_max=200)) as parts:
        served, source, direct = parts
        content = {"routes": NOISE}
        served.read_listing(Listing((StoredObject("main", 5, content, False),), 5), False)
        assert source.list().ok_value.revision == 77
        assert source.watch(77, 1.0) == Err(SourceFailure.REFUSED)
        assert direct.calls == ["list", 77]
        served.clock.now_s += TOO_LARGE_S
        assert source.watch(77, 1.0) == Err(SourceFailure.HISTORY_GONE)


def test_configuration_that_grows_too_large_for_a_hubs_link_is_read_from_the_store():
    with _relay(False, RelayOptions("config", 10.0, cell_bytes_max=200)) as parts:
        served, source, direct = parts
        served.read_listing(Listing((), 5), False)
        revision = source.list().ok_value.revision
        served.read_change(StoredObject("main", 6, {"routes": NOISE}, False), False)
        assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
        assert source.list().ok_value.revision == 77


def test_entry_that_cannot_reach_the_store_gets_what_is_too_large_from_a_hub():
    """Entries that the store refused for 9 s kept their configuration (large trouble-1, small)."""
    with _relay(False, RelayOptions("config", 10.0, cell_bytes_max=200)) as parts:
        served, source, direct = parts
        content = {"routes": NOISE}
        served.read_listing(Listing((StoredObject("main", 5, content, False),), 5), False)
        assert source.list().ok_value.revision == 77
        direct.listing = Err(SourceFailure.REFUSED)
        listing = source.list().ok_value
        assert [each.name for each in listing.objects] == ["main"]
        served.read_change(StoredObject("main", 6, content, False), False)
        assert len(source.watch(listing.revision, 1.0).ok_value.objects) == 1


def test_limit_of_a_relayed_list_is_shared_by_the_cell():
    small, large = _choices(12)[0], _choices(60)[0]
    assert (small.cell_size(), large.cell_size()) == (4, 20)


def test_poll_of_a_quiet_kind_ends_when_another_kind_leaves_the_hub(relay):
    """A hub that had died held the long poll for configurations beyond their bound."""
    served, source, _ = relay
    quiet = HubSource(
        RelayOptions("servers", 10.0),
        _Direct(),
        source._hubs,
        ConnectionPool(0.5, 2.0),
        DecisionLog(),
    )
    served._terms = RelayOptions("servers", 10.0)
    served.read_listing(Listing((), 5), False)
    revision = quiet.list().ok_value.revision
    source.list()
    threading.Timer(0.3, lambda: source.interrupt(is_behind=True)).start()
    began_at_s = time.monotonic()
    assert quiet.watch(revision, 20.0) == Err(SourceFailure.HISTORY_GONE)
    assert 0.2 < time.monotonic() - began_at_s < 2.0


def test_hub_that_cannot_reach_the_store_follows_another_hub(hub_relay):
    """A hub cut from the store for 12 s kept sending to engines that its peers knew had left."""
    served, source, direct = hub_relay
    served.read_listing(Listing((_object("i-5", 5),), 5), False)
    direct.listing = Err(SourceFailure.UNREACHABLE)
    listing = source.list().ok_value
    assert [each.name for each in listing.objects] == ["i-5"]
    assert source.is_on_fallback_hub
    served.read_change(_object("i-6", 6), False)
    assert [each.name for each in source.watch(listing.revision, 1.0).ok_value.objects] == ["i-6"]


def test_hub_goes_back_to_the_store_in_time_or_when_another_watch_regains_it(hub_relay):
    served, source, direct = hub_relay
    served.read_listing(Listing((), 5), False)
    direct.listing = Err(SourceFailure.UNREACHABLE)
    revision = source.list().ok_value.revision
    source.interrupt(is_behind=False)
    assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
    revision = source.list().ok_value.revision
    served.clock.now_s += SUBSTITUTE_S
    assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
    direct.listing = Ok(Listing((), 77))
    assert source.list().ok_value.revision == 77
    assert not source.is_on_fallback_hub


def test_hub_without_store_and_without_other_hubs_tells_why_it_has_no_list(hub_relay):
    served, source, direct = hub_relay
    served.is_well = False
    direct.listing = Err(SourceFailure.REFUSED)
    assert source.list() == Err(SourceFailure.REFUSED)


def test_entry_that_is_behind_leaves_its_hub(relay):
    served, source, _ = relay
    served.read_listing(Listing((), 5), False)
    revision = source.list().ok_value.revision
    left = source._hubs.my_hub()
    source.interrupt(is_behind=True)
    began_at_s = time.monotonic()
    assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
    assert time.monotonic() - began_at_s < 0.5
    assert source._hubs.my_hub() != left


def test_hub_that_loses_the_store_ends_the_polls_that_wait(relay):
    served, source, _ = relay
    served.read_listing(Listing((), 5), False)
    revision = source.list().ok_value.revision
    threading.Timer(0.2, lambda: setattr(served, "is_well", False)).start()
    began_at_s = time.monotonic()
    assert source.watch(revision, 1.0) == Err(SourceFailure.HISTORY_GONE)
    assert time.monotonic() - began_at_s < 0.9


def test_entry_behind_a_hub_knows_how_far_the_hub_has_read_the_store(relay):
    """A zone that was taken back before an entry came left it behind its hub for good."""
    served, source, _ = relay
    served.known = 24
    served.read_listing(Listing((), 5), False)
    assert source.list().ok_value.store_revision == 24


def test_entry_keeps_its_hub_when_another_watch_regains_the_store(relay):
    """Entries left one hub after the other, and called the store, after a single cut call."""
    served, source, direct = relay
    served.read_listing(Listing((), 5), False)
    revision = source.list().ok_value.revision
    source.interrupt(is_behind=False)
    assert source.watch(revision, 1.0).is_ok()
    assert direct.calls == []


def _exchanges(count, books=None):
    peers = _peers(count)
    found = []
    for number in range(count):
        members = _Members(number, peers)
        found.append(
            PeerLoadExchange(
                loads=LoadTable(),
                membership=members,
                hubs=HubSelector(members, peers[number].zone),
                leaving=books[number].leaving_notices if books else list,
                on_leaving=books[number].announce_leave if books else lambda *_notice: None,
                clock=FakeClock(),
            )
        )
    return found


def _tell(sender, receiver):
    to = receiver._membership.this_entry().id
    message = sender._message_to(to).model_dump_json(by_alias=True).encode()
    assert receiver._hear(message) == sender._membership.this_entry().id


def test_every_entry_hears_the_load_of_all_others_once_through_hubs():
    exchanges = _exchanges(30)
    for number, each in enumerate(exchanges):
        each._loads.start(Run(f"r-{number}", "engine-1", 0.0, prompt_tokens=100))
    for _ in range(2):
        _tell_through_hubs(exchanges)
    assert [each.of("engine-1").runs for each in exchanges] == [29] * 30
    assert exchanges[0].of("engine-1").unread_tokens == 2900


def _tell_through_hubs(exchanges):
    by_id = {each._membership.this_entry().id: each for each in exchanges}
    hubs = [each for each in exchanges if each._hubs.is_hub()]
    members = [each for each in exchanges if not each._hubs.is_hub()]
    for member in members:
        _tell(member, by_id[member._hubs.my_hub().id])
    for hub in hubs:
        for other in hubs:
            if other is not hub:
                _tell(hub, other)
    for member in members:
        _tell(by_id[member._hubs.my_hub().id], member)


def test_engine_that_told_one_entry_of_its_leave_is_left_by_all_while_the_store_is_away():
    """Streams that had begun before were cut, as only the list told the other entries."""
    books = [build_book([build_record("i-1"), build_record("i-2")]) for _ in range(30)]
    exchanges = _exchanges(30, books)
    books[7].announce_leave("i-1", 1)
    _tell_through_hubs(exchanges)
    assert all([each.record.id for each in registry.usable(MODEL)] == ["i-2"] for registry in books)


def test_leave_is_told_no_longer_once_the_list_says_so_or_another_incarnation_has_come():
    first, second = (build_book([build_record("i-1"), build_record("i-2")]) for _ in range(2))
    exchanges = _exchanges(2, [first, second])
    for upstream in ("i-1", "i-2"):
        first.announce_leave(upstream, 1)
    first.apply_record(build_record("i-1", state=UpstreamState.DRAINING))
    second.apply_record(build_record("i-2", born_ms=2))
    _tell(*exchanges)
    assert len(second.usable(MODEL)) == 2
    assert first.leaving_notices() == [("i-2", 1)]


def test_load_of_a_silent_entry_fades():
    first, second = _exchanges(2)
    first._loads.start(Run("r", "engine-1", 0.0, prompt_tokens=100))
    _tell(first, second)
    assert second.of("engine-1").runs == 1
    second._clock.now_s += 10.0
    assert second.of("engine-1").runs == 0


def test_malformed_load_is_not_heard():
    (exchange,) = _exchanges(1)
    assert exchange._hear(b"{") is None
    assert exchange._hear(b'{"e": 4}') is None
