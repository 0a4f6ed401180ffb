import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.tests.member_builders import Member
from gooseberryquay.standins.platform import PlatformStandIn


@pytest.fixture
def fleet():
    """Return a function that adds members; they are stopped at the end of the test."""
    members = []

    def add(name, *seeds, **options):
        members.append(Member(name, tuple(each.address for each in seeds), **options))
        return members[-1]

    yield add
    for member in members:
        member.stop()


@pytest.fixture
def platform_standin():
    standin = PlatformStandIn()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def platform(platform_standin):
    return PlatformClient(Address("127.0.0.1", platform_standin.port))
