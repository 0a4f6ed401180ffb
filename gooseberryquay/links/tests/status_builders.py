"""Answers with a status that is none of HTTP's, and a server that sends them."""

import re
import threading

from gooseberryquay.links.tests.scripted_server import ScriptedServer

LENGTH = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.IGNORECASE)
# No final answer follows the interim ones.
NO_FINAL_STATUS = ["100", "101", "199"]
TOO_HIGH = ["600", "700", "999"]
MALFORMED = ["000", "001", "099", "0200", "20", "2e2", "-01", "+20", "+200", "2_00", "\xb200", ""]
ODD_STATUSES = [*TOO_HIGH, *MALFORMED, *NO_FINAL_STATUS]
FRAMINGS = ["length", "chunks", "close"]


def build_answer(status, framing="length", body=b"body", headers=()):
    """Return the bytes of a connection's only answer; each header is a line."""
    lines = [f"HTTP/1.1 {status} Odd".encode("latin-1"), b"Connection: close", *headers]
    match framing:
        case "length":
            lines.append(b"Content-Length: %d" % len(body))
        case "chunks":
            lines.append(b"Transfer-Encoding: chunked")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class AnsweringServer:
    """Answer each request with the bytes that `answer_to` returns for it, then close."""

    def __init__(self, answer_to):
        self.requests = []
        self._answer_to = answer_to
        self._lock = threading.Lock()
        self._server = ScriptedServer(self._serve)

    @property
    def address(self):
        return self._server.address

    def _serve(self, connection, _number):
        received = b""
        while not _is_whole(received):
            part = connection.recv(65536)
            if not part:
                return
            received += part
        with self._lock:
            self.requests.append(received)
        connection.sendall(self._answer_to(received))

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self._server.stop()


def _is_whole(request):
    head, separator, body = request.partition(b"\r\n\r\n")
    length = LENGTH.search(head + separator)
    return bool(separator) and len(body) >= (int(length[1]) if length else 0)
