import pytest

from gooseberryquay.serving.event_stream import EventCutter
from gooseberryquay.serving.tests.builders import event, events


def test_events_are_given_once_they_are_whole_however_the_bytes_are_cut():
    stream = events(1, 4)
    for size in range(1, len(stream)):
        cutter = EventCutter()
        found = []
        for start in range(0, len(stream), size):
            found += cutter.feed(stream[start : start + size])
        assert [each.number for each in found] == [1, 2, 3, 4]
        assert b"".join(each.raw for each in found) == stream
        assert cutter.rest() == b""


def test_half_an_event_stays_behind():
    cutter = EventCutter()
    assert [each.id for each in cutter.feed(event(1) + b"id: 2\nda")] == ["1"]
    assert cutter.rest() == b"id: 2\nda"


def test_id_is_found_behind_other_lines():
    (found,) = EventCutter().feed(b"x-versions: 3\nid: 12\ndata: id: 5\n\n")
    assert found.number == 12


def test_event_without_a_numeric_id_has_no_number():
    first, second = EventCutter().feed(b"data: a\n\nid: b-7\ndata: c\n\n")
    assert (first.id, first.number, second.id, second.number) == (None, None, "b-7", None)


def test_endless_event_is_refused():
    cutter = EventCutter()
    with pytest.raises(ValueError):
        for _ in range(40):
            cutter.feed(b"x" * 65536)
