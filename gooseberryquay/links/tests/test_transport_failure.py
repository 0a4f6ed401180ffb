from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.transport_failure import ConnectionBroken
from gooseberryquay.standins.process import find_free_port


def test_refused_connection_is_broken_and_not_a_timeout():
    client = HttpClient("127.0.0.1", find_free_port())
    failure = client.send("GET", "/").unwrap_err()
    assert isinstance(failure, ConnectionBroken)
    assert not failure.was_sent
