import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_server import HttpServer, Response
from gooseberryquay.machines.control_budget import ControlBudget, TrafficClass
from gooseberryquay.machines.control_meter import MeteredRouter
from gooseberryquay.machines.peer_connections import PeerConnections

HALF = 25_000


@pytest.fixture
def budgets():
    return ControlBudget(), ControlBudget()


@pytest.fixture
def exchange(budgets):
    """Return a function that sends a body to a router that responds with an equal one."""
    sender, server_budget = budgets
    router = MeteredRouter(server_budget)
    for path in ("/heartbeat", "/peer/claims"):
        router.add("POST", path, lambda request: Response(body=request.body))
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    connections = PeerConnections(sender)

    def send(path):
        body = b"x" * HALF
        to = Address("127.0.0.1", server.port)
        return connections.send(to, "POST", path, body, timeout_s=5.0)

    yield send
    connections.close()
    server.stop()


def test_exchange_is_counted_with_its_answer_at_both_ends(exchange, budgets):
    exchange("/heartbeat").unwrap()
    assert not any(each.allows(TrafficClass.MEMBER_CHANGES) for each in budgets)


def test_claims_of_postings_are_not_control(exchange, budgets):
    exchange("/peer/claims").unwrap()
    assert all(each.allows(TrafficClass.POLL) for each in budgets)
