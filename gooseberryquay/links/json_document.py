"""Parse JSON documents of which some parts may be unreadable."""

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["MemberLimits", "parse_document"]

# A text without its escapes' meaning; possessive, as what is matched once is never given back.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# The next character that opens, closes or separates parts; below their level, the next ones that
# open or close.
_OUTER_TOKEN = re.compile(rb'(?:[^"{}\[\],]|' + _STRING + rb")*+([{}\[\],])", re.DOTALL)
_INNER_TOKEN = re.compile(
    rb'(?:[^"{}\[\]]|\{\}|\[\]|' + _STRING + rb")*+([{\[]+|[}\]]+)", re.DOTALL
)
_NAME = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
# Document, list, entry, object, content.
_LEVELS_MAX = 5
# No document that an entry reads is nested more deeply.
_DEPTH_MAX = 64
# White space before a document is rare and short.
_LEAD_BYTES = 64
# A part that is not longer is decoded as a whole.
_SHORT_BYTES = 16 * 1024

# Undecoded text of one part, without a copy where the parser found it.
_Part = msgspec.Raw | bytes
_MEMBERS = msgspec.json.Decoder(dict[str, msgspec.Raw])
_ELEMENTS = msgspec.json.Decoder(list[msgspec.Raw])
_ANY = msgspec.json.Decoder()


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

    Parts are separated first and each is decoded by itself, so that none of them decides over the
    others or over the memory that the document takes. Raises `ValueError` if no part can be read.
    """
    try:
        return _parse_levels(text, _LEVELS_MAX, limits)
    except RecursionError:
        raise ValueError("the document cannot be read") from None


def _parse_levels(part: _Part, levels: int, limits: MemberLimits | None) -> Any:
    match bytes(memoryview(part)[:_LEAD_BYTES]).lstrip()[:1]:
        case b"{":
            members = _members_of(part)
            return {name: _parse_member(name, each, levels, limits) for name, each in members}
        case b"[":
            return [_parse_part(each, levels - 1, limits) for each in _elements_of(part)]
        case _:
            raise ValueError("the document cannot be read")


def _parse_member(name: str, part: _Part, levels: int, limits: MemberLimits | None) -> Any:
    if limits is None or name != limits.parent:
        return _parse_part(part, levels - 1, limits)
    try:
        members = _members_of(part)
    except (ValueError, RecursionError):
        return None
    return {
        inner: _parse_part(each, 0, None) if memoryview(each).nbytes <= limits.bytes_max else None
        for inner, each in members
        if inner in limits.names
    }


def _parse_part(part: _Part, levels: int, limits: MemberLimits | None) -> Any:
    """Parse one part by itself; return None if it cannot be read."""
    if levels > 0 and memoryview(part).nbytes <= _SHORT_BYTES:
        found = _decode(part)
        if found is not None:
            return found
    if levels > 0:
        try:
            return _parse_levels(part, levels, limits)
        except (ValueError, RecursionError):
            pass
    return _decode(part)


def _decode(part: _Part) -> Any:
    """Decode a part; return None if the parser refuses it or a later reader could not follow it."""
    try:
        decoded = _ANY.decode(part)
    except (ValueError, RecursionError):
        return None
    return decoded if _is_shallow(decoded) else None


def _members_of(part: _Part) -> Iterable[tuple[str, _Part]]:
    try:
        return _MEMBERS.decode(part).items()
    except (ValueError, RecursionError):
        return [_member_of(each) for each in _split(bytes(part).strip())]


def _member_of(text: bytes) -> tuple[str, bytes]:
    named = _NAME.match(text)
    if named is None:
        raise ValueError("a member of the document has no name")
    return str(_ANY.decode(named.group(1))), text[named.end() :]


def _elements_of(part: _Part) -> Sequence[_Part]:
    try:
        return _ELEMENTS.decode(part)
    except (ValueError, RecursionError):
        return list(_split(bytes(part).strip()))


def _split(text: bytes) -> Iterator[bytes]:
    """Yield the texts between the brackets and commas of the outermost level.

    For documents that the parser refuses; takes memory only for the part in hand.
    """
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
                if depth == 0 and (last := text[start : position - 1]).strip():
                    yield last
                return
        elif depth == 1:
            yield text[start : position - 1]
            start = position


def _is_shallow(document: Any) -> bool:
    """Return whether a later reader of a part can follow how deeply it is nested."""
    level = [document]
    for _ in range(_DEPTH_MAX):
        level = [inner for each in level for inner in _inner_parts(each)]
        if not level:
            return True
    return False


def _inner_parts(part: Any) -> list[Any]:
    match part:
        case dict():
            return [each for each in part.values() if isinstance(each, dict | list)]
        case list():
            return [each for each in part if isinstance(each, dict | list)]
        case _:
            return []
