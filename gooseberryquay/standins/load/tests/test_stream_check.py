from gooseberryquay.standins.generation import token_text
from gooseberryquay.standins.load.stream_check import StreamCheck


def _event(index, generation="gen", text_of="gen"):
    return f'id: {generation}/{index}\ndata: {{"text":"{token_text(text_of, index)}"}}\n\n'.encode()


def test_events_cut_at_any_byte_are_counted_once():
    stream = b"".join(_event(index) for index in range(12)) + b"data: [DONE]\n\n"
    for size in (1, 7, 50, len(stream)):
        check = StreamCheck()
        parts = [stream[start : start + size] for start in range(0, len(stream), size)]
        assert sum(check.feed(part) for part in parts) == 12
        assert check.is_done
        assert check.last_event_id == "gen/11"


def test_wrong_tokens_are_told_apart():
    check = StreamCheck()
    check.feed(_event(0) + _event(0) + _event(2))
    check.feed(_event(3, generation="other", text_of="other"))
    check.feed(_event(3, text_of="other"))
    counts = check.counts
    assert (counts.duplicate, counts.out_of_order, counts.foreign) == (1, 1, 2)


def test_error_event_is_named():
    check = StreamCheck()
    check.feed(_event(0) + b'event: error\ndata: {"error":{"type":"generation_lost"}}\n\n')
    assert check.error_type == "generation_lost"
