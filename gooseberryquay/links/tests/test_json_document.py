"""Documents of which one part cannot be read."""

import json
import subprocess
import sys
import tracemalloc

import pytest

from gooseberryquay.links.json_document import MemberLimits, parse_document

GOOD = {"metadata": {"name": "i-1", "revision": 4}, "spec": {"slots": 8, "note": "a, {b} \\" "c"}}
NESTED = "[" * 60_000 + "]" * 60_000


def _listing(*items):
    return f'{{"items": [{", ".join(items)}], "has_more": false, "at": 9}}'.encode()


def _odd(value):
    return f'{{"metadata": {{"name": "odd", "revision": 5}}, "spec": {{"slots": {value}, "a": 1}}}}'


@pytest.mark.parametrize("value", [NESTED, "1" * 6000, "[" * 300 + "]" * 300, "tru", '"\\ud800"'])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_one_unreadable_part_does_not_change_the_others(value, place):
    items = [json.dumps(GOOD)] * 2
    items.insert(place, _odd(value))
    document = parse_document(_listing(*items))
    odd = document["items"].pop(place)
    assert document == {"items": [GOOD, GOOD], "has_more": False, "at": 9}
    assert odd["metadata"] == {"name": "odd", "revision": 5}
    assert odd["spec"] == {"slots": None, "a": 1} or odd["spec"] == {"slots": [None], "a": 1}


def test_readable_document_is_as_the_standard_parser_reads_it():
    text = json.dumps({"items": [GOOD, {"spec": None}], "at": 1})
    assert parse_document(text.encode()) == json.loads(text)


def test_bytes_that_are_no_text_only_spoil_their_own_part():
    text = _listing(json.dumps(GOOD), _odd('"\\u00ff"')).replace(b"\\u00ff", b"\xff\xfe")
    assert parse_document(text)["items"][0] == GOOD


@pytest.mark.parametrize("text", [b"", b"nothing", b"{", b'{"items": [', b'{1: 2, "a": }', b"]"])
def test_document_without_any_readable_part_is_rejected(text):
    with pytest.raises(ValueError, match=r"document|member"):
        parse_document(text)


LONG_PARTS = {
    "string": '"' + "n" * 1_000_000 + '"',
    "escapes": '"' + "\\\\" * 500_000 + '"',
    "numbers": "[" + "1," * 499_999 + "1]",
    "empty-objects": "[" + "{}," * 333_332 + "{}]",
    "members": "{" + ",".join(f'"{number}":1' for number in range(90_000)) + "}",
    "nested": "[" * 500_000 + "]" * 500_000,
}
LIMITS = MemberLimits("spec", frozenset({"slots", "note"}), 4096)
MEGABYTE = 1e6


# Guards against memory of many times the document because one part of it is long or unreadable.
@pytest.mark.parametrize("unreadable", ["1" * 6000, "tru", "1"])
@pytest.mark.parametrize("long", LONG_PARTS.values(), ids=LONG_PARTS.keys())
def test_memory_of_a_document_is_not_decided_by_one_long_part(long, unreadable):
    text = _listing(json.dumps(GOOD), _odd(f'{unreadable}, "more": {long}'))
    tracemalloc.start()
    try:
        document = parse_document(text, LIMITS)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert document["items"][0] == GOOD
    assert "more" not in document["items"][1]["spec"]
    assert peak_bytes < 20 * MEGABYTE


def test_long_object_keeps_its_named_members():
    long = _odd(f'3, "note": {LONG_PARTS["string"]}, "more": {LONG_PARTS["string"]}')
    (read,) = parse_document(_listing(long), LIMITS)["items"]
    assert read["metadata"] == {"name": "odd", "revision": 5}
    assert read["spec"] == {"slots": 3, "note": None}


# Guards against a process that ends because a parser overflows the small stack of a thread.
@pytest.mark.parametrize("opening", ["[", '{"a":', '[{"a":'])
@pytest.mark.parametrize("depth", [60, 300, 900, 400_000])
def test_nested_part_does_not_overflow_the_stack_of_a_thread(opening, depth):
    closing = "".join({"[": "]", "{": "}"}[each] for each in reversed(opening) if each in "[{")
    odd = _odd(f"{opening * depth}1{closing * depth}")
    code = (
        "import sys, threading\n"
        "from gooseberryquay.links.http_server import STACK_BYTES\n"
        "from gooseberryquay.links.json_document import parse_document\n"
        "text = sys.stdin.buffer.read()\n"
        "threading.stack_size(STACK_BYTES)\n"
        "thread = threading.Thread(target=lambda: print(len(parse_document(text)['items'])))\n"
        "thread.start()\n"
        "thread.join()\n"
    )
    text = _listing(json.dumps(GOOD), odd)
    ended = subprocess.run(
        [sys.executable, "-c", code], input=text, capture_output=True, check=False
    )
    assert (ended.returncode, ended.stdout.strip()) == (0, b"2")
