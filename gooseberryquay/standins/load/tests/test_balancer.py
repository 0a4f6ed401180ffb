import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.standins.load.balancer import Balancer
from gooseberryquay.standins.process import find_free_port
from gooseberryquay.standins.tests.builders import wait_until


@pytest.fixture
def entry():
    router = Router()
    router.status = 200
    router.add("GET", "/readyz", lambda _request: Response(status=router.status))
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    yield Address("127.0.0.1", server.port), router
    server.stop()


def test_unready_entries_are_left_out_until_they_are_ready(entry):
    address, router = entry
    dead = Address("127.0.0.1", find_free_port())
    balancer = Balancer([address, dead], poll_s=0.02)
    assert balancer.rotate_targets(1) == (dead, address)
    balancer.start(stopped=lambda: False)
    wait_until(lambda: balancer.rotate_targets(1) == (address,))
    router.status = 503
    wait_until(lambda: balancer.rotate_targets(0) == (address, dead))
    router.status = 200
    wait_until(lambda: balancer.rotate_targets(1) == (address,))
