import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.standins.keeper_fleet import KeeperFleet
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.tests.builders import HOST, make_declaration


@pytest.fixture
def platform():
    standin = PlatformStandIn()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(platform):
    return PlatformClient(Address(HOST, platform.port), read_timeout_s=1.0)


@pytest.fixture
def store(client):
    return ConfigurationStore(client)


@pytest.fixture
def fleet(platform):
    keepers = KeeperFleet(Address(HOST, platform.port), make_declaration())
    yield keepers
    keepers.stop()
