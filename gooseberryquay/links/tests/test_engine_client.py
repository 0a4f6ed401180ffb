import socket
import threading

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import GenerationId, ServiceId, UpstreamId, ZoneId
from gooseberryquay.links.engine_client import EngineClient

ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
)


def _answer_once_on_each_connection(listener, kept):
    while True:
        try:
            connection = listener.accept()[0]
        except OSError:
            return
        kept.append(connection)
        connection.recv(65536)
        connection.sendall(ANSWER)


def test_resume_does_not_use_a_kept_connection_that_went_silent():
    kept = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(
            target=_answer_once_on_each_connection, args=(listener, kept), daemon=True
        ).start()
        declaration = UpstreamDeclaration(
            id=UpstreamId("engine-1"),
            service=ServiceId("model"),
            zone=ZoneId("zone-a"),
            address=Address(*listener.getsockname()),
        )
        link = EngineClient(declaration)
        first = link.start("/v1/completions", GenerationId("g"), 0, b"{}", 5.0).unwrap()
        assert list(first.buffers())
        first.release()
        resumed = link.resume(GenerationId("g"), 0, 1.0).unwrap()
        assert resumed.status == 200
        assert len(kept) == 2
        resumed.close()
        link.close()
