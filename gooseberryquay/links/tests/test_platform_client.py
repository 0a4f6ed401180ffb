import pytest
from result import Err, Ok

from gooseberryquay.contracts import Address
from gooseberryquay.links.platform_client import PlatformClient, PlatformUnreachable, WriteConflict
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.process import find_free_port


@pytest.fixture
def client():
    platform = PlatformStandIn()
    platform.start()
    yield PlatformClient(Address("127.0.0.1", platform.port))
    platform.stop()


def test_conditional_write_has_one_winner(client):
    assert client.write("a/b", "first", 0) == Ok(1)
    match client.write("a/b", "second", 0):
        case Err(WriteConflict(current)):
            assert (current.key, current.value) == ("a/b", "first")
        case other:
            raise AssertionError(other)


def test_missing_object_reads_as_none(client):
    assert client.read("missing") == Ok(None)


def test_watch_returns_a_newer_version_and_ends_without_one(client):
    client.write("key", "value", 0)
    assert client.watch("key", 0, 1.0).unwrap().value == "value"
    assert client.watch("key", 1, 0.1) == Ok(None)


def test_refused_connection_is_proof_that_nothing_was_written():
    client = PlatformClient(Address("127.0.0.1", find_free_port()))
    assert isinstance(client.write("key", "value").unwrap_err(), PlatformUnreachable)
