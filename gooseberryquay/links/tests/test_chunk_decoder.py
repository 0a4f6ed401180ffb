import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryquay.links.chunk_decoder import ChunkDecoder, MalformedChunk


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    st.lists(st.integers(1, 30), min_size=1, max_size=20),
)
def test_content_does_not_depend_on_how_the_bytes_are_split(chunks, cuts):
    raw = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
    decoder = ChunkDecoder()
    content = b""
    position = step = 0
    while position < len(raw):
        size = cuts[step % len(cuts)]
        content += decoder.decode(raw[position : position + size])
        position += size
        step += 1
    assert content == b"".join(chunks)
    assert decoder.is_ended


@pytest.mark.parametrize("raw", [b"zz\r\n", b"3\r\nabcXX1\r\n", b"-1\r\n", b"1" * 300])
def test_malformed_coding_is_an_error(raw):
    with pytest.raises(MalformedChunk):
        ChunkDecoder().decode(raw)
