import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok

from gooseberryquay.contracts import Address
from gooseberryquay.links.http_client import TransportTimeout
from gooseberryquay.machines.peer_connections import PeerConnections

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _serve_then_go_silent(listener):
    """Respond once on each of the first two connections, and always on later ones."""
    silent = [listener.accept()[0], listener.accept()[0]]
    for connection in silent:
        connection.recv(4096)
        connection.sendall(ANSWER)
    with contextlib.suppress(OSError):
        while True:
            later = listener.accept()[0]
            threading.Thread(target=_answer_always, args=(later,), daemon=True).start()


def _answer_always(connection):
    with contextlib.suppress(OSError):
        while connection.recv(4096):
            connection.sendall(ANSWER)


def test_all_connections_to_a_silent_address_are_replaced():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=_serve_then_go_silent, args=(listener,), daemon=True).start()
        connections = PeerConnections()
        to = Address(*listener.getsockname())
        assert all(isinstance(sent, Ok) for sent in _send_two(connections, to))
        match connections.send(to, "POST", "/x", b"", 0.3):
            case Err(TransportTimeout()):
                pass
            case other:
                raise AssertionError(other)
        assert all(isinstance(sent, Ok) for sent in _send_two(connections, to))
        connections.close()


def _send_two(connections, to):
    with ThreadPoolExecutor(2) as threads:
        sent = [threads.submit(connections.send, to, "POST", "/x", b"", 5.0) for _ in range(2)]
        return [each.result() for each in sent]
