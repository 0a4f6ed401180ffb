"""Answers to other requests that arrive where the answer to an order is due."""

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import RequestId
from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.upstream_connection import BodyEnd
from gooseberryquay.platform.http_upstream_client import HttpUpstreamClient
from gooseberryquay.platform.tests.answer_builders import answering_upstream
from gooseberryquay.serving.ports import MoveFailure, MoveRefusal, SendOptions
from gooseberryquay.serving.tests.builders import LEDGER, build_call, build_record

ID = "X-Attempt-Id: r-1\r\nX-Response-Seal: s\r\n"
ANSWERS = [
    f"HTTP/1.1 404 Not Found\r\n{ID}Content-Length: 2\r\n\r\n{{}}".encode(),
    f"HTTP/1.1 409 Conflict\r\n{ID}Content-Length: 0\r\n\r\n".encode(),
]


@pytest.mark.parametrize("answer", ANSWERS, ids=["404", "409"])
def test_late_copy_of_an_earlier_answer_does_not_tell_that_an_order_was_refused(answer):
    def respond(connection, request, _number):
        # The engine has stopped the run, and its own answer comes behind the copy.
        connection.sendall(answer if request == 0 else answer + b"HTTP/1.1 200 OK\r\n")

    with answering_upstream(respond) as address:
        client = HttpUpstreamClient(ConnectionPool(1.0, 4.0))
        record = build_record("engine-0", LEDGER, address=address)
        call = build_call()
        options = SendOptions(None, call.deadline_at_s, False)
        response = client.open(record, call, options, NullCallerWatch()).ok_value
        while not isinstance(
            response.read(NullCallerWatch(), call.deadline_at_s).ok_value, BodyEnd
        ):
            pass
        response.finish()
        target = Address("127.0.0.1", 9)
        moved = client.move(record, RequestId("r-2"), target, True, call.deadline_at_s)
    assert moved.err_value == MoveFailure(MoveRefusal.FAILED)


def _copy_answer(name):
    body = f'{{"handle": "{name}", "created": 3}}'
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


def test_late_copy_of_an_earlier_handle_is_not_taken_for_that_of_another_run():
    def respond(connection, request, number):
        own = _copy_answer(f"h-{number}-{request}")
        connection.sendall(own if request == 0 else _copy_answer(f"h-{number}-{request - 1}") + own)

    with answering_upstream(respond) as address:
        client = HttpUpstreamClient(ConnectionPool(1.0, 4.0))
        record, until_s = (
            build_record("engine-0", LEDGER, address=address),
            build_call().deadline_at_s,
        )
        target = Address("127.0.0.1", 9)
        first = client.move(record, RequestId("r-1"), target, True, until_s)
        second = client.move(record, RequestId("r-2"), target, True, until_s)
    assert first.ok_value.handle.name == "h-0-0"
    assert second != first
