"""Promises about streams that may run once and whose last move is refused, lost or late."""

import itertools
import random

import pytest

from gooseberryquay.daemons.tests.move_promise_builders import (
    ANSWERS,
    LATE_EVENT_S,
    STREAMS_PER_ENGINE,
    Continuation,
    Plan,
    PlannedSite,
    Refuser,
    broken_promises,
    callers_of,
    read_while_engines_leave,
    summary_of,
)
from gooseberryquay.daemons.tests.peer_move_builders import (
    PEER_PLANS,
    SLOW_COPY_S,
    PeerWay,
    linked_entries,
    read_through_a_peer,
)
from gooseberryquay.daemons.tests.platform_builders import running_entries

REFUSALS = [
    Continuation.MARKED,
    Continuation.UNAVAILABLE,
    Continuation.TOO_MANY,
    Continuation.TIMED_OUT,
    Continuation.MISDIRECTED,
]
AT_ONE = [Continuation.MARKED, Continuation.UNAVAILABLE, Continuation.HANDLE_LOST]
PLANS = [
    *(Plan(each) for each in ANSWERS),
    *(Plan(*each) for each in itertools.product(ANSWERS, REFUSALS)),
    *(
        Plan(*each)
        for each in itertools.product(
            ("handle", "no-room"), AT_ONE, (Refuser.TARGET, Refuser.SOURCE)
        )
    ),
]
# Streams whose run was stopped, of all that were to be moved.
STOPPED_MIN = len(PLANS) // 4


@pytest.fixture
def site():
    site = PlannedSite(random.Random(1))
    yield site
    site.stop()


@pytest.mark.timeout(60)
@pytest.mark.parametrize("first_event_s", [0.0, LATE_EVENT_S], ids=["between", "before-first"])
@pytest.mark.parametrize("is_unframed", [True, False], ids=["unframed", "chunks"])
def test_stream_whose_last_move_fails_is_neither_refused_nor_run_twice(
    site, tmp_path, is_unframed, first_event_s
):
    site.is_unframed, site.first_event_s = is_unframed, first_event_s
    site.start(engines=len(PLANS) // STREAMS_PER_ENGINE + 1, services=1)
    callers = callers_of(site, PLANS)
    with running_entries(site, tmp_path, 1) as entries:
        read_while_engines_leave(site, callers, entries[0].ports.callers)
    print(summary_of(site, callers))
    assert len(site.record.stopped) > STOPPED_MIN
    assert broken_promises(site, callers) == ([], [])


@pytest.mark.timeout(60)
@pytest.mark.parametrize("way", list(PeerWay), ids=lambda each: each.name.lower())
def test_stream_whose_last_move_fails_through_a_peer_is_neither_refused_nor_run_twice(
    site, tmp_path, way
):
    site.is_unframed, site.copy_s = True, SLOW_COPY_S
    site.start(engines=len(PEER_PLANS) // STREAMS_PER_ENGINE + 1, services=3)
    callers = callers_of(site, PEER_PLANS)
    with linked_entries(site, tmp_path, 2) as entries:
        through_peer = read_through_a_peer(site, callers, entries[0], way)
    print(f"{summary_of(site, callers)}, {through_peer} through a peer")
    assert site.record.stopped
    assert through_peer if way is PeerWay.CONTINUATION else site.continuations
    assert broken_promises(site, callers) == ([], [])
