from gooseberryquay.ids import GenerationId
from gooseberryquay.links.event_validator import DONE_EVENT, EventCheck

GENERATION = GenerationId("yield-1~ab~cd")


def _event(index, generation=GENERATION):
    return f'id: {generation}/{index}\ndata: {{"n":{index}}}\n\n'.encode()


def test_events_split_at_any_byte_are_passed_whole():
    data = _event(0) + _event(1) + _event(2) + DONE_EVENT
    for cut in range(len(data)):
        check = EventCheck(GENERATION)
        parts = [check.take(data[:cut]), check.take(data[cut:])]
        assert b"".join(part.events for part in parts) == data
        assert sum(part.token_count for part in parts) == 3
        assert parts[-1].is_done


def test_repeated_events_are_dropped():
    check = EventCheck(GENERATION)
    check.take(_event(0) + _event(1))
    assert check.take(_event(0) + _event(1) + _event(2)).events == _event(2)


def test_skipped_event_breaks_the_connection():
    checked = EventCheck(GENERATION).take(_event(0) + _event(2))
    assert checked.is_broken
    assert checked.events == _event(0)


def test_event_of_another_generation_breaks_the_connection():
    checked = EventCheck(GENERATION).take(_event(0) + _event(1, "yield-1~ab~other"))
    assert checked.is_broken
    assert checked.events == _event(0)


def test_comment_is_not_passed_on():
    check = EventCheck(GENERATION)
    assert check.take(b": ping\n\n" + _event(0)).events == _event(0)


def test_partial_event_of_a_replaced_connection_is_forgotten():
    check = EventCheck(GENERATION)
    check.take(_event(0) + _event(1)[:5])
    check.start_connection()
    assert check.take(_event(1)).events == _event(1)


def _chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def test_chunk_with_just_the_next_event_is_recognized():
    check = EventCheck(GENERATION)
    assert check.is_next_alone(_chunk(_event(0)))
    assert check.is_next_alone(_chunk(_event(1)))
    assert check.next_index == 2


def test_any_other_chunk_gets_a_closer_look():
    whole = _chunk(_event(0))
    others = [
        b"",
        whole[:-1],
        whole + b"5",
        _chunk(_event(0) + _event(1)),
        _chunk(_event(1)),
        _chunk(_event(0, "yield-1~ab~other")),
        b"f" + whole,
        _chunk(_event(0)[:-1]),
        _chunk(DONE_EVENT),
        b"zz\r\n" + _event(0) + b"\r\n",
    ]
    for raw in others:
        check = EventCheck(GENERATION)
        assert not check.is_next_alone(raw), raw
        assert check.next_index == 0
