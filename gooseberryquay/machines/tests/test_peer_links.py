import socket
import threading

from result import Ok

from gooseberryquay.contracts import Address
from gooseberryquay.links.http_client import LinkTimeout
from gooseberryquay.machines.peer_links import PeerLinks

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _serve_then_go_silent(listener):
    """Answer the first request of each connection and none after it."""
    kept = []
    while True:
        connection, _ = listener.accept()
        kept.append(connection)
        connection.recv(4096)
        connection.sendall(ANSWER)


def test_silent_connection_is_replaced():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=_serve_then_go_silent, args=(listener,), daemon=True).start()
        links = PeerLinks()
        to = Address(*listener.getsockname())
        assert isinstance(links.send(to, "POST", "/x", b"", 5.0), Ok)
        assert isinstance(links.send(to, "POST", "/x", b"", 0.3).unwrap_err(), LinkTimeout)
        assert isinstance(links.send(to, "POST", "/x", b"", 5.0), Ok)
        links.close()
