import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.platform.store import StoreClient, StoreObjectSource
from gooseberryquay.platform.store_era import StoreEra, StorePosition
from gooseberryquay.serving.object_source import SourceFailure
from gooseberryquay.standins.node_platform.store import ObjectStore


@pytest.mark.parametrize(
    ("eras", "rises"),
    [
        (["1", "1"], 0),
        (["1", "2"], 1),
        (["1", "3", "4"], 2),
        (["2", "1", "2"], 0),
        (["1", "x", "", "-2", "2"], 1),
        ([], 0),
    ],
)
def test_each_rise_of_the_era_is_noticed_once_and_late_answers_are_not(eras, rises):
    era, noticed = StoreEra(), []
    era.on_rise(lambda: noticed.append(1))
    era.observe([("content-type", "x")])
    for each in eras:
        era.observe([("store-era", each)])
    assert len(noticed) == rises


def test_position_in_a_later_era_is_newer_whatever_its_revision():
    positions = [StorePosition(1, 900), StorePosition(2, 3), StorePosition(2, 4)]
    numbers = [each.encode() for each in positions]
    assert numbers == sorted(numbers)
    assert [StorePosition.decode(each) for each in numbers] == positions


@pytest.fixture
def store():
    store = ObjectStore()
    store.start()
    yield store
    store.stop()


def _source(store, era=None):
    address = Address("127.0.0.1", store.port)
    return StoreObjectSource(ConnectionPool(1.0, 4.0), address, "servers", era or StoreEra())


def test_revision_given_out_twice_does_not_hide_a_change(store):
    """A watch went on from a revision of the former era, and missed what was written below it."""
    source = _source(store)
    store.put("servers", "kept", {})
    copy = store.take_copy()
    for number in range(5):
        store.put("servers", f"lost-{number}", {})
    read = source.list().ok_value
    store.come_back_from(copy)
    for number in range(8):
        store.put("servers", f"new-{number}", {})
    assert source.watch(read.revision, 0.1).err_value is SourceFailure.HISTORY_GONE
    again = source.list().ok_value
    assert {each.name for each in again.objects} >= {f"new-{each}" for each in range(8)}
    assert again.revision > read.revision
    assert source.watch(again.revision, 0.1).ok_value.objects == ()


def test_answer_of_a_former_era_is_not_taken_for_the_newest_list(store):
    era = StoreEra()
    source = _source(store, era)
    assert source.list().is_ok()
    era.observe([("store-era", "9")])
    assert source.list().err_value is SourceFailure.UNREACHABLE


def test_own_record_is_written_again_under_the_revision_of_the_new_era(store):
    client = StoreClient(ConnectionPool(1.0, 4.0), Address("127.0.0.1", store.port), StoreEra())
    copy = store.take_copy()
    assert client.write("notes/a", "{}", 0).is_ok()
    store.come_back_from(copy)
    assert client.write("notes/a", "{}", 0).is_ok()
    (found,) = client.list("notes/").ok_value
    assert client.write("notes/a", '{"n": 3}', found.version).is_ok()
