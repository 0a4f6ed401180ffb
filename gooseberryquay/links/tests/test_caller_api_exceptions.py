"""Exceptions of request handlers never become a status that promises "not run"."""

import json

import pytest

from gooseberryquay.links.caller_api import CallerApi
from gooseberryquay.links.execution_proof import PROMISES_NOT_EXECUTED
from gooseberryquay.links.http_server import HttpServer
from gooseberryquay.links.in_flight import InFlightCounter
from gooseberryquay.links.tests.caller_api_builders import (
    BODY_BYTES_MAX,
    AcceptingState,
    build_configuration,
    exchange,
)


@pytest.mark.parametrize(
    "error", [TimeoutError("timed out"), OSError("timed out"), ConnectionResetError(), KeyError()]
)
def test_exception_of_a_request_that_may_have_run_promises_nothing(error):
    def handler(_request, _context):
        raise error

    in_flight = InFlightCounter()
    api = CallerApi(build_configuration, AcceptingState(), in_flight, BODY_BYTES_MAX)
    api.add_work("POST", "/work", handler)
    server = HttpServer("127.0.0.1", 0, api)
    server.start()
    try:
        head, _, body = exchange(server.port, "/work").partition(b"\r\n\r\n")
    finally:
        server.stop()
    assert int(head.split(b" ")[1]) not in PROMISES_NOT_EXECUTED
    assert json.loads(body)["error"]["ran"] == "maybe"
    assert in_flight.count == 0
