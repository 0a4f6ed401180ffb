"""Parse JSON documents of which some parts may be unreadable."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["MemberLimits", "parse_document"]

# A text without its escapes' meaning; possessive, as what is matched once is never given back.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# The next character that opens, closes or separates parts; below their level, the next ones that
# open or close.
_OUTER_TOKEN = re.compile(rb'(?:[^"{}\[\],]++|' + _STRING + rb")*+([{}\[\],])", re.DOTALL)
_INNER_TOKEN = re.compile(
    rb'(?:[^"{}\[\]]++|\{\}|\[\]|' + _STRING + rb")*+([{\[]+|[}\]]+)", re.DOTALL
)
_NAME = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
# Half of a character, which JSON can express and UTF-8 cannot.
_SURROGATE = re.compile("[\ud800-\udfff]")
# Document, list, entry, object, content.
_LEVELS_MAX = 5
# No document that an entry reads is nested more deeply. Parsers in C that recurse for thousands of
# levels overflow the small stacks of this process's threads.
_DEPTH_MAX = 64
_SHORT_DOCUMENT_BYTES = 256 * 1024
# Entries are decoded as a whole if they are short, or if all of their members are read.
_ENTRY_LEVEL = 3
_SHORT_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class MemberLimits:
    """Limit what is read of long objects that are members named `parent`.

    Only the members in `names` are read, and one of more than `bytes_max` is unreadable.
    """

    parent: str
    names: frozenset[str]
    bytes_max: int


def parse_document(text: bytes, limits: MemberLimits | None = None) -> Any:
    """Parse a document; a part that cannot be read is None, the others hold.

    Unless the document is short and sound, its parts are separated first and each is decoded by
    itself, so that none of them decides over the others or over the memory that all take. Raises
    `ValueError` if no part can be read.
    """
    found = _decode(text) if len(text) <= _SHORT_DOCUMENT_BYTES else None
    return found if found is not None else _parse_levels(text.strip(), _LEVELS_MAX, limits)


def _parse_levels(part: bytes, levels: int, limits: MemberLimits | None) -> Any:
    match part[:1]:
        case b"{":
            members = _members_of(part)
            return {name: _parse_member(name, each, levels, limits) for name, each in members}
        case b"[":
            return [_parse_part(each, levels - 1, limits) for each in _split(part)]
        case _:
            raise ValueError("the document cannot be read")


def _parse_member(name: str, part: bytes, levels: int, limits: MemberLimits | None) -> Any:
    if limits is None or name != limits.parent:
        return _parse_part(part, levels - 1, limits)
    try:
        return {
            inner: _decode(each) if len(each) <= limits.bytes_max else None
            for inner, each in _members_of(part)
            if inner in limits.names
        }
    except ValueError:
        return None


def _parse_part(part: bytes, levels: int, limits: MemberLimits | None) -> Any:
    """Parse one part by itself; return None if it cannot be read."""
    if 0 < levels <= _ENTRY_LEVEL and (limits is None or len(part) <= _SHORT_BYTES):
        found = _decode(part)
        if found is not None:
            return found
    if levels > 0:
        try:
            return _parse_levels(part, levels, limits)
        except ValueError:
            pass
    return _decode(part)


def _decode(part: bytes) -> Any:
    """Decode a part; return None if the parser refuses it or a later reader could not follow it."""
    try:
        decoded = json.loads(part.decode("utf-8", errors="replace"))
    except (ValueError, RecursionError):
        return None
    return decoded if _is_plain(part, decoded) else None


def _members_of(part: bytes) -> Iterable[tuple[str, bytes]]:
    for each in _split(part):
        named = _NAME.match(each)
        if named is None:
            raise ValueError("a member of the document has no name")
        name = _decode(named.group(1))
        if isinstance(name, str):
            yield name, each[named.end() :].strip()


def _split(text: bytes) -> Iterator[bytes]:
    """Yield the texts between the brackets and commas of the outermost level."""
    depth, start, position = 0, 1, 0
    while True:
        token = (_OUTER_TOKEN if depth <= 1 else _INNER_TOKEN).match(text, position)
        if token is None:
            raise ValueError("the document ends early")
        position = token.end()
        found = token.group(1)
        if found[0] in b"{[":
            depth += len(found)
        elif found[0] in b"}]":
            depth -= len(found)
            if depth <= 0:
                if depth == 0 and (last := text[start : position - 1].strip()):
                    yield last
                return
        elif depth == 1:
            yield text[start : position - 1].strip()
            start = position


def _is_plain(part: bytes, document: Any) -> bool:
    """Return whether a part is neither nested deeply nor holds half of a character."""
    if part.count(b"[") + part.count(b"{") <= _DEPTH_MAX and b"\\u" not in part:
        return True
    level = [document]
    for _ in range(_DEPTH_MAX):
        if not all(_is_text(each) for each in level if isinstance(each, str)):
            return False
        level = [inner for each in level for inner in _inner_parts(each)]
        if not level:
            return True
    return False


def _inner_parts(part: Any) -> list[Any]:
    match part:
        case dict():
            return [*part.keys(), *part.values()]
        case list():
            return part
        case _:
            return []


def _is_text(text: str) -> bool:
    return text.isascii() or not _SURROGATE.search(text)
