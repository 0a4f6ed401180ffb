from gooseberryquay.ids import GenerationId
from gooseberryquay.links.event_validator import DONE_EVENT, EventValidator

GENERATION = GenerationId("yield-1~ab~cd")


def _event(index, generation=GENERATION):
    return f'id: {generation}/{index}\ndata: {{"n":{index}}}\n\n'.encode()


def test_events_split_at_any_byte_are_passed_on_complete():
    data = _event(0) + _event(1) + _event(2) + DONE_EVENT
    for cut in range(len(data)):
        validator = EventValidator(GENERATION)
        parts = [validator.consume(data[:cut]), validator.consume(data[cut:])]
        assert b"".join(part.events for part in parts) == data
        assert sum(part.token_count for part in parts) == 3
        assert parts[-1].is_done


def test_repeated_events_are_dropped():
    validator = EventValidator(GENERATION)
    validator.consume(_event(0) + _event(1))
    assert validator.consume(_event(0) + _event(1) + _event(2)).events == _event(2)


def test_skipped_event_breaks_the_connection():
    validated = EventValidator(GENERATION).consume(_event(0) + _event(2))
    assert validated.is_broken
    assert validated.events == _event(0)


def test_event_of_another_generation_breaks_the_connection():
    validated = EventValidator(GENERATION).consume(_event(0) + _event(1, "yield-1~ab~other"))
    assert validated.is_broken
    assert validated.events == _event(0)


def test_comment_is_not_passed_on():
    validator = EventValidator(GENERATION)
    assert validator.consume(b": ping\n\n" + _event(0)).events == _event(0)


def test_partial_event_of_a_replaced_connection_is_discarded():
    validator = EventValidator(GENERATION)
    validator.consume(_event(0) + _event(1)[:5])
    validator.discard_partial_event()
    assert validator.consume(_event(1)).events == _event(1)


def _chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def test_chunk_with_exactly_the_next_event_is_accepted():
    validator = EventValidator(GENERATION)
    assert validator.accept_single_event(_chunk(_event(0)))
    assert validator.accept_single_event(_chunk(_event(1)))
    assert validator.next_index == 2


def test_any_other_chunk_is_left_to_full_validation():
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
        validator = EventValidator(GENERATION)
        assert not validator.accept_single_event(raw), raw
        assert validator.next_index == 0
