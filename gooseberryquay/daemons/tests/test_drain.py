"""A leaving entry takes only what can end before it exits, and answers what is open then."""

import pytest

from gooseberryquay.daemons.tests.builders import (
    BackgroundStream,
    small_plan,
    stream,
    wait_until,
)
from gooseberryquay.standins.local_fleet import LocalFleet

NOTICE_S = 3.0
DRAIN_S = 1.0
LONG_TOKENS = 2000
# Several times what a busy machine needs to write an answer or to end a process.
SLACK_S = 8.0


@pytest.fixture
def fleet():
    limits = {"leave_notice_s": NOTICE_S, "drain_timeout_s": DRAIN_S}
    with LocalFleet(small_plan(engines=1, limits=limits)) as running:
        wait_until(lambda: stream(running.entry_addresses()[0], 2).is_done)
        yield running


def test_entry_exits_after_its_drain_while_a_stream_goes_on(fleet):
    first, second = fleet.entry_addresses()
    running = BackgroundStream(first, LONG_TOKENS).wait_for_tokens(2)
    fleet.terminate("entry-1")
    assert fleet.process("entry-1").wait(NOTICE_S + DRAIN_S + SLACK_S) == 0
    got = running.join()
    assert got.is_broken and not got.is_done
    rest = stream(second, LONG_TOKENS, last_event_id=got.last_event_id, stop_after=2)
    assert rest.indexes()[0] == got.indexes()[-1] + 1
