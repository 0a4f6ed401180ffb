"""Strict parsing of requests that are forwarded byte for byte."""

from typing import Any

from cheroot.server import HeaderReader

from gooseberryquay.links.request_body import BodyIncomplete, BodyRefused, read_whole_body
from gooseberryquay.links.socket_files import FramedRequest, ServerConnection
from gooseberryquay.machines.caller_ledger import Phase

__all__ = ["BodyIncomplete", "BodyRefused", "StrictConnection", "read_whole_body"]

BAD_REQUEST = "400 Bad Request"
REQUEST_TIMEOUT = "408 Request Timeout"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TOKEN_CHARACTERS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)
SINGLE_HEADERS = frozenset({b"Content-Length", b"Host", b"Transfer-Encoding"})


class _HeaderPairs(dict[bytes, bytes]):
    """Store headers by name, and also in received order with repeated ones."""

    def __init__(self) -> None:
        super().__init__()
        self.pairs: list[tuple[bytes, bytes]] = []
        self.expects_continue = False

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name == b"Expect" and value == b"100-continue":
            # Kept from the server, which would ask for the body at once.
            self.expects_continue = True
            return
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

    def send_continue(self) -> None:
        """Ask a caller that waits for it to send the body, once there is room for it."""
        if self.inheaders.expects_continue:
            self.conn.wfile.write(CONTINUE)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Write a response of the server; a head that a limit has cut short is not malformed.

        Status 408 guarantees that the request was not run, so none is given once its head was read.
        """
        exchange = self.conn.exchange
        is_cut = exchange is not None and exchange.ended_by is not None
        if is_cut and exchange.phase is Phase.HEAD and not self.ready:
            status, msg = REQUEST_TIMEOUT, ""
        super().simple_response(status, msg)

    def _refuse(self, message: str) -> bool:
        self.close_connection = True
        self.simple_response(BAD_REQUEST, message)
        return False


class StrictConnection(ServerConnection):
    """Represent a connection whose requests are parsed strictly."""

    RequestHandlerClass = StrictRequest
