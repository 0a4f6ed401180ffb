"""Callers of HTTP/1.0, to whom a stream ends with its connection."""

import re
import threading
import time
from dataclasses import dataclass

from gooseberryquay.daemons.tests.limit_builders import encode_request
from gooseberryquay.links.tests.unframed_builders import connect_with_small_buffer

TIMEOUT_S = 10.0
NUMBER = re.compile(rb"^id: (\d+)$", re.MULTILINE)


@dataclass
class UnframedCaller:
    """Read one stream to the end of its connection.

    It reads nothing for `pause_s` once the first events have arrived.
    """

    id: str
    kind: str = "note"
    event_count: int = 20
    pause_s: float = 0.0
    received: bytes = b""
    is_reset: bool = False

    def read(self, port):
        """Send the request and read its response."""
        data = encode_request(self.kind, self.id, self.event_count)
        with connect_with_small_buffer(port) as connection:
            connection.sendall(data.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1))
            try:
                self.received = connection.recv(65536)
                time.sleep(self.pause_s)
                while part := connection.recv(65536):
                    self.received += part
            except ConnectionResetError:
                self.is_reset = True
        return self

    @property
    def has_begun(self):
        return self.received.startswith(b"HTTP/1.1 200 ")

    @property
    def looks_complete(self):
        return self.has_begun and not self.is_reset

    @property
    def is_whole(self):
        numbers = [int(each) for each in NUMBER.findall(self.received)]
        return numbers == list(range(1, self.event_count + 1))


def start_reading(callers, port):
    """Let all callers read at the same time; return their threads."""
    threads = [threading.Thread(target=each.read, args=(port,), daemon=True) for each in callers]
    for each in threads:
        each.start()
    return threads


def join(threads):
    """Wait until all callers have read to the end."""
    for each in threads:
        each.join(2 * TIMEOUT_S)
        assert not each.is_alive(), "a caller got neither a whole answer nor the end"
