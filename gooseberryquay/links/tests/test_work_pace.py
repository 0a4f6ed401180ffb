"""Work that the small pieces of answers cause."""

import threading
import time

from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.work_pace import (
    PIECES_AT_ONCE,
    PIECES_PER_S,
    SPARE_PIECES_PER_S,
    SpareWork,
    WorkPace,
)

CALLER = NullCallerWatch()


class _LeftCaller:
    def is_disconnected(self):
        return True


def _pieces_in(pace, duration_s, until_s=float("inf")):
    began_at_s = time.monotonic()
    count = 0
    while time.monotonic() - began_at_s < duration_s:
        pace.spend(10, CALLER, until_s)
        count += 10
    return count


def test_pieces_of_all_answers_together_are_bounded():
    spare = SpareWork()
    counts = []
    answers = [
        threading.Thread(target=lambda: counts.append(_pieces_in(WorkPace(spare), 1.0)))
        for _ in range(4)
    ]
    for each in answers:
        each.start()
    for each in answers:
        each.join()
    assert sum(counts) < 1.2 * (4 * (PIECES_AT_ONCE + PIECES_PER_S) + 2 * SPARE_PIECES_PER_S)


def test_events_of_a_sound_engine_never_wait():
    pace = WorkPace(SpareWork())
    pace.spare.take(SPARE_PIECES_PER_S)
    began_at_s = time.monotonic()
    pace.spend(150, CALLER, began_at_s + 10.0)
    assert time.monotonic() - began_at_s < 0.05


def test_answer_does_not_wait_beyond_its_deadline_or_for_a_caller_that_has_left():
    pace = WorkPace(SpareWork())
    began_at_s = time.monotonic()
    pace.spend(100_000, CALLER, began_at_s + 0.1)
    pace.spend(100_000, _LeftCaller(), began_at_s + 10.0)
    assert time.monotonic() - began_at_s < 0.5
