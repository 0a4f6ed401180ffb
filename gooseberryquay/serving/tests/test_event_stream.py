import time

import pytest

from gooseberryquay.serving.event_stream import EventSplitter
from gooseberryquay.serving.tests.builders import event, events


def test_events_are_returned_once_complete_for_any_chunk_size():
    stream = events(1, 4)
    for size in range(1, len(stream)):
        splitter = EventSplitter()
        found = []
        for start in range(0, len(stream), size):
            found += splitter.feed(stream[start : start + size])
        assert [each.number for each in found] == [1, 2, 3, 4]
        assert b"".join(each.raw for each in found) == stream
        assert splitter.remainder() == b""


def test_partial_event_stays_in_the_buffer():
    splitter = EventSplitter()
    assert [each.id for each in splitter.feed(event(1) + b"id: 2\nda")] == ["1"]
    assert splitter.remainder() == b"id: 2\nda"


def test_id_is_found_after_other_lines():
    (found,) = EventSplitter().feed(b"x-versions: 3\nid: 12\ndata: id: 5\n\n")
    assert found.number == 12


def test_event_without_a_numeric_id_has_no_number():
    first, second = EventSplitter().feed(b"data: a\n\nid: b-7\ndata: c\n\n")
    assert (first.id, first.number, second.id, second.number) == (None, None, "b-7", None)


def test_event_without_end_raises_an_error():
    splitter = EventSplitter()
    with pytest.raises(ValueError):
        for _ in range(40):
            splitter.feed(b"x" * 65536)


# Guards against work that grows with the square of an event that never ends.
@pytest.mark.parametrize("piece", [b"x" * 1400, b"data: 1\n" * 175, b"\r\n\r" * 460])
def test_work_on_an_event_without_end_grows_with_its_bytes(piece):
    splitter = EventSplitter()
    began_at_s = time.thread_time()
    with pytest.raises(ValueError, match="maximum size"):
        while True:
            splitter.feed(piece)
    assert time.thread_time() - began_at_s < 1.0


@pytest.mark.parametrize("boundary", [b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n"])
def test_boundary_that_arrives_byte_by_byte_ends_the_event(boundary):
    splitter = EventSplitter()
    events = [each for byte in b"id: 1" + boundary for each in splitter.feed(bytes([byte]))]
    assert [each.raw for each in events] == [b"id: 1" + boundary]
    assert not splitter.remainder()
