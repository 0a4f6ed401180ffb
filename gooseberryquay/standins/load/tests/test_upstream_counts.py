import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.load.upstream_counts import UpstreamCountsDelta
from gooseberryquay.standins.service import ServiceSettings, ServiceStandIn


@pytest.fixture
def services():
    started = [ServiceStandIn(ServiceSettings(delay_s=0.0)) for _ in range(2)]
    for service in started:
        service.start()
    yield started
    for service in started:
        service.stop()


def _post(service, headers):
    client = HttpClient("127.0.0.1", service.port)
    assert client.send("POST", "/operations/post", b"{}", headers).unwrap().status == 200
    client.close()


def test_one_key_on_two_services_is_a_duplicate_and_a_repeated_lookup_is_none(services):
    delta = UpstreamCountsDelta([Address("127.0.0.1", each.port) for each in services])
    _post(services[0], {"Idempotency-Key": "k0"})
    _post(services[1], {"Idempotency-Key": "k0"})
    delta.start()
    for service in services:
        _post(service, {"Idempotency-Key": "k1"})
        _post(service, {"X-Request-Id": "r1"})
    summary = delta.summary()
    assert (summary.runs, summary.duplicate_runs) == (4, 1)
