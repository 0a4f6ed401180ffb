"""Strict parsing of requests that are forwarded byte for byte."""

import collections
from collections.abc import Iterator
from typing import Any

from cheroot.server import ChunkedRFile, HeaderReader

from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.socket_files import FramedRequest, ServerConnection
from gooseberryquay.links.work_pace import SMALL_BYTES, SpareWork, WorkPace

__all__ = ["BodyIncomplete", "StrictConnection", "read_whole_body"]

BAD_REQUEST = "400 Bad Request"
TOKEN_CHARACTERS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)
SINGLE_HEADERS = frozenset({b"Content-Length", b"Host", b"Transfer-Encoding"})


class BodyIncomplete(ValueError):
    """Raised for a body that ends early or is not framed as declared."""


class _HeaderPairs(dict[bytes, bytes]):
    """Store headers by name, and also in received order with repeated ones."""

    def __init__(self) -> None:
        super().__init__()
        self.pairs: list[tuple[bytes, bytes]] = []

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in SINGLE_HEADERS and name in self:
            raise ValueError("a header that must occur once is repeated")
        super().__setitem__(name, value)


class _StrictHeaderReader(HeaderReader):
    """Reject folded lines and malformed names, which servers parse differently."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Read all headers of one request; raises `ValueError` if they are malformed."""
        headers: _HeaderPairs = hdict
        while (line := rfile.readline()) != b"\r\n":
            if not line.endswith(b"\r\n"):
                raise ValueError("a header line does not end with CRLF")
            name, separator, value = line[:-2].partition(b":")
            if not separator or not name or not TOKEN_CHARACTERS.issuperset(name):
                raise ValueError("a header name is malformed")
            value = value.strip(b" \t")
            if b"\r" in value or b"\n" in value or b"\0" in value:
                raise ValueError("a header value is malformed")
            headers[name.title()] = value
            headers.pairs.append((name, value))
        return headers


class StrictRequest(FramedRequest):
    """Parse a request and reject ambiguous ones, to prevent request smuggling."""

    header_reader = _StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers; return False if the request was rejected."""
        self.inheaders = _HeaderPairs()
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            self.close_connection = True
            return False
        length = self.inheaders.get(b"Content-Length")
        coding = self.inheaders.get(b"Transfer-Encoding")
        if length is not None and (coding is not None or not length.isdigit()):
            return self._refuse("the length of the body is ambiguous")
        if coding is not None and coding.lower() != b"chunked":
            return self._refuse("the transfer coding is not supported")
        if b"Host" not in self.inheaders:
            return self._refuse("the Host header is missing")
        tokens = self.inheaders.get(b"Connection", b"").lower().split(b",")
        if b"close" in (each.strip() for each in tokens):
            self.close_connection = True
        return True

    def _refuse(self, message: str) -> bool:
        self.close_connection = True
        self.simple_response(BAD_REQUEST, message)
        return False


class StrictConnection(ServerConnection):
    """Represent a connection whose requests are parsed strictly."""

    RequestHandlerClass = StrictRequest


def read_whole_body(request: Any, spare: SpareWork | None = None) -> bytes:
    """Read the complete body of a request; raises `BodyIncomplete`.

    A body of many small chunks is read slowly; `spare` is shared with other bodies.
    """
    length = request.inheaders.get(b"Content-Length")
    if length is None and not request.chunked_read:
        return b""
    try:
        if not request.chunked_read:
            body: bytes = request.rfile.read()
        else:
            body = b"".join(_read_chunks(request.rfile, WorkPace(spare or SpareWork())))
            # Otherwise they would count as the start of the next request.
            collections.deque(request.rfile.read_trailer_lines(), maxlen=0)
    except (ValueError, IndexError) as error:
        raise BodyIncomplete(str(error)) from error
    if length is not None and len(body) != int(length):
        raise BodyIncomplete("the body ended before its declared length")
    return body


def _read_chunks(rfile: ChunkedRFile, pace: WorkPace) -> Iterator[bytes]:
    """Yield one chunk after the other; the reader's own `read` copies all of them each time."""
    while True:
        rfile._fetch()  # type: ignore[attr-defined]
        chunk, rfile.buffer = rfile.buffer, b""
        if not chunk:
            return
        if len(chunk) < SMALL_BYTES:
            pace.spend(1, NullCallerWatch(), float("inf"))
        yield chunk
