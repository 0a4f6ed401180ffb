"""Client connection on a socket that records each send."""

from http.client import InvalidURL

import pytest

from gooseberryquay.links.coalescing_connection import MAX_COALESCED_BYTES, CoalescingConnection


class _Socket:
    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def settimeout(self, timeout_s: float | None) -> None:
        pass

    def sendall(self, data: bytes) -> None:
        self.sent.append(data)


def _send(body: bytes) -> list[bytes]:
    connection = CoalescingConnection("127.0.0.1", 1)
    connection.sock = kept = _Socket()
    connection.request("POST", "/path", body)
    return kept.sent


@pytest.mark.parametrize(("length", "sends"), [(5, 1), (MAX_COALESCED_BYTES + 1, 2)])
def test_short_request_is_sent_in_one_write(length: int, sends: int) -> None:
    sent = _send(b"x" * length)
    head, _, body = b"".join(sent).partition(b"\r\n\r\n")
    assert len(sent) == sends
    assert b"Content-Length: %d" % length in head
    assert body == b"x" * length


def test_failed_request_leaves_no_buffered_bytes_for_the_next() -> None:
    connection = CoalescingConnection("127.0.0.1", 1)
    connection.sock = kept = _Socket()
    with pytest.raises(InvalidURL):
        connection.request("POST", "/bad\npath", b"")
    connection.send(b"next")
    assert kept.sent == [b"next"]
