"""An order whose answer has a status that is none of HTTP's may still take effect."""

import pytest
from result import Ok

from gooseberryquay.ids import FencingNumber
from gooseberryquay.links.tests.status_builders import (
    FRAMINGS,
    ODD_STATUSES,
    AnsweringServer,
    build_answer,
)
from gooseberryquay.machines.fenced_order_connection import OrderConnection
from gooseberryquay.machines.fenced_order_messages import (
    FencedOrder,
    OrderKind,
    OrderOutcomeUnknown,
)
from gooseberryquay.machines.tests.member_builders import build_declaration

TIMEOUT_S = 2.0


def _status(answer):
    with AnsweringServer(lambda _request: answer) as server:
        upstream = build_declaration("yield-1", server.address.port)
        order = FencedOrder(fencing_number=FencingNumber(1), order=OrderKind.ROLE, name="new")
        with OrderConnection(
            upstream, delivery_s=TIMEOUT_S, response_timeout_s=TIMEOUT_S
        ) as connection:
            assert connection.connect() == Ok(None)
            assert connection.send(order) == Ok(None)
            return connection.status()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_order_with_an_odd_answer_is_not_final(status, framing):
    assert isinstance(_status(build_answer(status, framing)).unwrap_err(), OrderOutcomeUnknown)


def test_order_with_an_answer_that_breaks_off_is_not_final():
    cut = build_answer(200, "chunks")[:-5]
    assert isinstance(_status(cut).unwrap_err(), OrderOutcomeUnknown)


@pytest.mark.parametrize("status", [200, 409, 500, 599])
def test_proper_status_is_read_as_it_is(status):
    assert _status(build_answer(status)) == Ok(status)
